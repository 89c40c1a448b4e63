"""Which target gets a call: untried, reachable and not barred by a quarantine."""

from collections.abc import Callable
from functools import partial

from ....state.catalog import Target
from ..crashes.crash_suspects import CrashSuspects, Handling
from ..fleet.fleet_view import FleetView
from ..pending_request import PendingRequest
from .load_balancer import Availability, LoadBalancer, TargetRecord

__all__ = ["TargetChoice"]

MIN_DRAWN_TARGETS = 16
"""Targets of a service from which not all of them are looked at for each call."""


class TargetChoice:
    """Chooses among the targets that a request may be sent to.

    Parameters
    ----------
    fleet_view : FleetView
        Configuration and targets.
    load_balancer : LoadBalancer
        Chooses by load.
    availability : callable
        Returns whether the relay beside a target can be sent to.
    suspects : CrashSuspects
        Knows the requests that are not to be sent.
    fingerprint : callable
        Returns the fingerprint of a request from its head, body and workspace.
    """

    def __init__(
        self,
        *,
        fleet_view: FleetView,
        load_balancer: LoadBalancer,
        availability: Callable[[Target], Availability],
        suspects: CrashSuspects,
        fingerprint: Callable[[bytes, bytes, str], bytes],
    ) -> None:
        self.fleet_view = fleet_view
        self.load_balancer = load_balancer
        self.availability = availability
        self.suspects = suspects
        self.fingerprint = fingerprint

    def candidates(self, now: float, pending: PendingRequest) -> list[Target]:
        """Return the untried targets; silent or draining ones only if none is up.

        Targets that only rejected the call are returned if no other is left.
        """
        usable = [
            target
            for target in self.fleet_view.usable.get(pending.service, ())
            if not self._is_quarantined(now, pending, target)
        ]
        untried = [t for t in usable if t.name not in pending.tried_targets]
        rejected = [t for t in usable if t.name in pending.rejected_by]
        by_availability: dict[Availability, list[Target]] = {
            each: [] for each in Availability
        }
        for target in untried or rejected:
            by_availability[self.availability(target)].append(target)
        return (
            by_availability[Availability.UP]
            or by_availability[Availability.SILENT]
            or by_availability[Availability.DRAINING]
        )

    def choose(self, now: float, pending: PendingRequest) -> TargetRecord | None:
        """Return the target for a call, None if there is no candidate."""
        route = pending.request.route
        usable = self.fleet_view.usable.get(pending.service, ())
        if len(usable) >= MIN_DRAWN_TARGETS:
            record = self.load_balancer.draw(
                now, route, usable, partial(self._is_untried_and_up, now, pending)
            )
            if record is not None:
                return record
        return self.load_balancer.choose(now, route, self.candidates(now, pending))

    def held_for(self, now: float, pending: PendingRequest) -> float:
        """Return the seconds for which no target may get a request; 0 if one may."""
        usable = self.fleet_view.usable.get(pending.service, ())
        if not pending.fingerprint:
            return 0.0
        return min(
            (
                self.suspects.retry_after(now, pending.fingerprint, release)
                for release in {target.release for target in usable}
            ),
            default=0.0,
        )

    def _is_untried_and_up(
        self, now: float, pending: PendingRequest, target: Target
    ) -> bool:
        return (
            target.name not in pending.tried_targets
            and self.availability(target) is Availability.UP
            and not self._is_quarantined(now, pending, target)
        )

    def _is_quarantined(
        self, now: float, pending: PendingRequest, target: Target
    ) -> bool:
        """Return whether a target does not get a request, as it crashed others."""
        if not self.suspects.quarantines:
            return False
        if not pending.fingerprint:
            request = pending.request
            pending.fingerprint = self.fingerprint(
                request.head, request.body, request.workspace
            )
        handling = self.suspects.handling(now, pending.fingerprint, target.release)
        return handling is Handling.REFUSED

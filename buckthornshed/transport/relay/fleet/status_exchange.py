"""Status reports between relays, and the admission shares computed from them."""

import math
from collections.abc import Callable, Mapping

import msgspec

from ....coordination.relay.admission.call_graph import CallGraph
from ....coordination.relay.admission.controller import AdmissionController
from ....coordination.relay.admission.offered_rates import OfferedRates
from ....coordination.relay.limiter.concurrency_limiter import ConcurrencyLimiter
from ....protocol.relay_messages import Status
from ...logs import log_event

__all__ = ["StatusExchange"]

BUSY_LOAD = 0.5
"""Load of the local target from which every status is broadcast."""
UNLOADED_BROADCAST_INTERVAL = 4
"""Number of statuses of which one is broadcast while no service is overloaded."""
CALL_GRAPH_INTERVAL = 4
"""Number of statuses of which one includes the downstream calls, if they changed."""
STATUS_RECIPIENTS = 32
"""Relays that get one status under load; the next ones get the next status.

In a larger fleet each relay knows a sample of the others, which changes all the time.
"""
STATUS_RECIPIENTS_IN_CALM = 16
CLEAR_CALLS_CHANGE = 0.1
"""Relative change of the mean calls of a run from which other relays are told."""
MIN_LOGGED_SHARE_CHANGE = 0.15
"""Change of an admission share from which the shares are logged."""


class StatusExchange:
    """Reports the status of the local target and updates the admission shares.

    Parameters
    ----------
    instance : str
        Name of this instance.
    service : str
        Service of the local target.
    limiter : ConcurrencyLimiter
        Concurrency limiter of the local target.
    graph : CallGraph
        Downstream calls of each route.
    broadcast : callable
        Sends a status to all relays.
    send_in_turn : callable
        Sends a status to a number of relays, to the next ones each time.

    Attributes
    ----------
    offered : OfferedRates
        Rates of new client requests at this relay.
    admission : AdmissionController
        Admission control by the statuses of all relays.
    """

    def __init__(
        self,
        *,
        instance: str,
        service: str,
        limiter: ConcurrencyLimiter,
        graph: CallGraph,
        broadcast: Callable[[Status], None],
        send_in_turn: Callable[[Status, int], None],
    ) -> None:
        self.instance = instance
        self.service = service
        self.limiter = limiter
        self.graph = graph
        self.broadcast = broadcast
        self.send_in_turn = send_in_turn
        self.latest: Status | None = None
        self.offered = OfferedRates()
        self.admission = AdmissionController(graph=graph)
        self.reported_calls: dict[str, dict[str, float]] = {}
        self.logged_shares: dict[str, float] = {}
        self.report_count = 0

    def report(
        self,
        now: float,
        target: str,
        usable: Mapping[str, int],
        unreachable: frozenset[str],
    ) -> None:
        """Compute the local status, update the admission shares, broadcast if due.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        target : str
            Name of the local target, empty if it is not known.
        usable : mapping
            Number of targets of each service that accept work and can be reached.
        unreachable : frozenset of str
            Names of the targets that cannot be reached.
        """
        self.report_count += 1
        calls = self._changed_calls()
        limiter = self.limiter
        status = Status(
            service=self.service,
            target=target,
            load=round(limiter.load, 2),
            slots=round(limiter.usable_slots, 2),
            call_times={
                route: round(seconds, 4)
                for route, seconds in limiter.call_time_estimates(now).items()
            },
            offered={r: round(v, 1) for r, v in self.offered.update(now).items()},
            calls=calls,
            rejection_rate=round(limiter.capacity.rejection_rate, 2),
            rate_limit=limiter.rate_limiter.rate,
        )
        self.latest = status
        self.admission.report(now, self.instance, status)
        self.admission.update_shares(now, usable, unreachable)
        limiter.capacity.shedding = self.service in self.admission.saturated
        self._log_shares()
        periodic_due = self.report_count % UNLOADED_BROADCAST_INTERVAL == 0
        limited = any(share < 1.0 for share in self.admission.shares.values())
        if calls is not None:
            self.broadcast(status)
        elif limiter.load >= BUSY_LOAD or limited:
            self.send_in_turn(status, STATUS_RECIPIENTS)
        elif periodic_due:
            self.send_in_turn(status, STATUS_RECIPIENTS_IN_CALM)

    def receive(self, now: float, instance: str, status: Status) -> None:
        """Process the status of another relay."""
        self.admission.report(now, instance, status)
        if status.calls is not None:
            self.graph.merge(status.calls)

    def status_for_new_peer(self) -> Status | None:
        """Return the latest status with the downstream calls, None before the first."""
        if self.latest is None:
            return None
        return msgspec.structs.replace(self.latest, calls=self.graph.learned_calls())

    def _changed_calls(self) -> dict[str, dict[str, float]] | None:
        if self.report_count % CALL_GRAPH_INTERVAL:
            return None
        calls = self.graph.learned_calls()
        if not _differ_clearly(calls, self.reported_calls):
            return None
        self.reported_calls = calls
        return calls

    def _log_shares(self) -> None:
        shares = {r: s for r, s in self.admission.shares.items() if s < 1.0}
        names = self.logged_shares.keys() | shares.keys()
        largest_change = max(
            (abs(shares.get(n, 1.0) - self.logged_shares.get(n, 1.0)) for n in names),
            default=0.0,
        )
        if largest_change < MIN_LOGGED_SHARE_CHANGE:
            return
        self.logged_shares = shares
        limiter = self.limiter
        log_event(
            "shares_moved",
            shares=" ".join(f"{n}:{s:.2f}" for n, s in sorted(shares.items())),
            saturated=" ".join(sorted(self.admission.saturated)),
            slots=round(limiter.usable_slots, 1),
            calls_per_second=round(limiter.calls_per_second, 1),
            correction=round(limiter.capacity.correction, 2),
            rejecting=round(limiter.capacity.rejection_rate, 2),
            running=limiter.running,
            waiting=limiter.queue_length,
            mean_ms=round(limiter.call_times.mean * 1e3, 1),
        )


def _differ_clearly(
    calls: Mapping[str, Mapping[str, float]], known: Mapping[str, Mapping[str, float]]
) -> bool:
    """Return whether mean calls of runs differ in more than small changes."""
    if calls.keys() != known.keys():
        return True
    return any(
        called.keys() != known[route].keys()
        or any(
            not math.isclose(count, known[route][name], rel_tol=CLEAR_CALLS_CHANGE)
            for name, count in called.items()
        )
        for route, called in calls.items()
    )

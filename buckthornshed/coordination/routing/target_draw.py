"""The choice of a target for a call, by what the answers of the targets told.

Two candidates are drawn by their slots and the cheaper one is taken, first among the
targets of the own failure domain; a farther one is taken when it is cheaper by more
than the distance is worth. See docs/design/routing.md.
"""

import math
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from ...protocol.messages import Fault, NodeSignal
from ...state.objects import Target
from ...state.random_source import RandomSource
from .ranking import TargetView

__all__ = ["DISTANCE_FACTORS", "Router", "TargetSnapshot"]

DISTANCE_FACTORS = (1.0, 1.5, 3.0)
DRAWS = 8
TYPICAL_WEIGHT = 0.02
TYPICAL_LATENCY_S = 0.01


class TargetSnapshot(NamedTuple):
    """One target as a dump of the router shows it."""

    target: str
    distance: int
    in_flight: int
    load: float
    latency: float
    leaving: bool
    ejected: bool


class Tier(NamedTuple):
    """The targets at one distance, and the most slots that one of them has."""

    views: list[TargetView]
    most_slots: int


class Router:
    """The targets of one service as one node sees them.

    Parameters
    ----------
    service : str
        Name of the service.
    local_domain : str
        Failure domain of this node.
    region_of : callable
        Returns the region of a failure domain, or None if it is not configured.
    rng : RandomSource
        Source of random numbers.
    """

    def __init__(
        self,
        *,
        service: str,
        local_domain: str,
        region_of: Callable[[str], str | None],
        rng: RandomSource,
    ) -> None:
        self.service = service
        self.local_domain = local_domain
        self.region_of = region_of
        self.rng = rng
        self.views: dict[str, TargetView] = {}
        self.tiers: dict[str | None, list[Tier]] = {}
        self.typical = TYPICAL_LATENCY_S

    def update(self, now: float, targets: Mapping[str, Target]) -> None:
        """Take the targets of the service from a new configuration.

        What was learned of a target holds on as long as its object is the same. A
        target that joins later counts as cold.
        """
        cold_since = now if self.views else -math.inf
        self.views = {
            name: self._view(name, target, cold_since)
            for name, target in sorted(targets.items())
            if target["service"] == self.service and not target.get("retired", False)
        }
        self._sort_tiers()

    def choose(
        self,
        now: float,
        *,
        exclude: Collection[str] = (),
        provider: str | None = None,
        level: int | None = None,
    ) -> str | None:
        """Return the target for a call, or None if none is left.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        exclude : collection of str
            Targets that this call has tried.
        provider : str or None
            The provider whose targets are meant; None for all.
        level : int or None
            Admission level of the call; targets known to refuse it come last.
        """
        best, best_cost = None, math.inf
        tiers = self.tiers.get(provider, [])
        for distance, tier in enumerate(tiers):
            factor = DISTANCE_FACTORS[distance]
            if not tier.views or best_cost <= factor * self.typical:
                continue
            view, cost = self._draw_two(now, tier, exclude, level)
            if view is not None and cost * factor < best_cost:
                best, best_cost = view, cost * factor
        if best is not None:
            return best.name
        return self._fallback(now, tiers, exclude)

    def sent(self, now: float, target: str) -> None:
        """Note that a call goes to ``target``."""
        view = self.views.get(target)
        if view is not None:
            view.sent(now)

    def answered(
        self, now: float, target: str, signal: NodeSignal, latency: float | None
    ) -> None:
        """Note an answer of ``target``, its signal, and the seconds that it took.

        ``latency`` is None unless the outcome is ``COMPLETE``.
        """
        view = self.views.get(target)
        if view is None:
            return
        view.answered(now, signal, latency)
        if latency is not None:
            self.typical += TYPICAL_WEIGHT * (latency - self.typical)

    def failed(self, now: float, target: str, fault: Fault) -> None:
        """Note that an exchange with ``target`` ended without an answer."""
        view = self.views.get(target)
        if view is None:
            return
        view.ended()
        view.record.failed(now, self.rng)

    def cancelled(self, now: float, target: str) -> None:
        """Note that this node itself gave up a call to ``target``."""
        view = self.views.get(target)
        if view is not None:
            view.ended()

    def mark_leaving(self, now: float, target: str) -> None:
        """Note that ``target`` drains; an answer of a new incarnation revokes it."""
        view = self.views.get(target)
        if view is not None:
            view.leaving = True

    def snapshot(self, now: float) -> list[TargetSnapshot]:
        """Return what is known of each target."""
        return [
            TargetSnapshot(
                target=name,
                distance=view.distance,
                in_flight=view.in_flight,
                load=view.load(now),
                latency=view.latency,
                leaving=view.leaving,
                ejected=not view.record.admits(now, 0),
            )
            for name, view in self.views.items()
        ]

    def _view(self, name: str, target: Target, cold_since: float) -> TargetView:
        known = self.views.get(name)
        if known is not None and known.target == target:
            return known
        view = TargetView(name=name, target=target, distance=self._distance(target))
        view.cold_since = cold_since
        return view

    def _distance(self, target: Target) -> int:
        domain = target["failure_domain"]
        if domain == self.local_domain:
            return 0
        region = self.region_of(domain)
        return 1 if region and region == self.region_of(self.local_domain) else 2

    def _sort_tiers(self) -> None:
        providers = {view.target["provider"] for view in self.views.values()}
        self.tiers = {provider: self._tiers_of(provider) for provider in providers}
        self.tiers[None] = self._tiers_of(None)

    def _tiers_of(self, provider: str | None) -> list[Tier]:
        tiers: list[list[TargetView]] = [[] for _ in DISTANCE_FACTORS]
        for view in self.views.values():
            if provider in (None, view.target["provider"]):
                tiers[view.distance].append(view)
        return [
            Tier(views, max((view.slots for view in views), default=1))
            for views in tiers
        ]

    def _draw_two(
        self, now: float, tier: Tier, exclude: Collection[str], level: int | None
    ) -> tuple[TargetView | None, float]:
        """Draw two usable targets by weight; return the cheaper one and its cost."""
        if len(tier.views) == 1:
            return self._scan(now, tier, exclude, level)
        random = self.rng.random
        found: TargetView | None = None
        found_cost = math.inf
        for _ in range(DRAWS):
            view = tier.views[int(random() * len(tier.views))]
            if view is found or random() * tier.most_slots > view.weight(now):
                continue
            if not _fits(now, view, exclude, level):
                continue
            cost = view.cost(now, self.typical)
            if found is not None:
                return (view, cost) if cost < found_cost else (found, found_cost)
            found, found_cost = view, cost
        if found is not None:
            return found, found_cost
        return self._scan(now, tier, exclude, level)

    def _scan(
        self, now: float, tier: Tier, exclude: Collection[str], level: int | None
    ) -> tuple[TargetView | None, float]:
        best, best_cost = None, math.inf
        for view in tier.views:
            if _fits(now, view, exclude, level):
                cost = view.cost(now, self.typical)
                if cost < best_cost:
                    best, best_cost = view, cost
        return best, best_cost

    def _fallback(
        self, now: float, tiers: list[Tier], exclude: Collection[str]
    ) -> str | None:
        """Return a target though all are shedding or ejected; never a leaving one."""
        views = [
            view
            for tier in tiers
            for view in tier.views
            if view.name not in exclude and not view.leaving
        ]
        best = min(views, key=lambda view: self._last_resort(now, view), default=None)
        return None if best is None else best.name

    def _last_resort(self, now: float, view: TargetView) -> tuple[float, float]:
        ejected = not view.record.admits(now, view.in_flight)
        until = view.record.until if ejected else 0.0
        return (until, view.cost(now, self.typical))


def _fits(
    now: float, view: TargetView, exclude: Collection[str], level: int | None
) -> bool:
    if view.name in exclude or not view.usable(now):
        return False
    return level is None or not view.refuses(now, level)

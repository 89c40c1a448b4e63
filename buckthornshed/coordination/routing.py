"""The choice of a target for a call, by what the answers of the targets told.

Two candidates are drawn by their slots and the cheaper one is taken, first among the
targets of the own failure domain; a farther one is taken when it is cheaper by more
than the distance is worth. See docs/design/routing.md.
"""

import math
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from ..protocol.messages import Fault, NodeSignal
from ..state.objects import Target
from ..state.random_source import RandomSource
from .ranking import TargetView

__all__ = ["DISTANCE_FACTORS", "Router", "TargetSnapshot"]

DISTANCE_FACTORS = (1.0, 1.5, 3.0)
DRAWS = 4
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
        self.tiers: dict[str | None, list[list[str]]] = {}
        self.largest: dict[str | None, list[int]] = {}
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
        best, best_cost = None, float("inf")
        tiers = self.tiers.get(provider, [])
        for distance, names in enumerate(tiers):
            if not names:
                continue
            name = self._draw_two(now, names, provider, distance, exclude, level)
            if name is None:
                continue
            cost = self._cost(now, name) * DISTANCE_FACTORS[distance]
            if cost < best_cost:
                best, best_cost = name, cost
        return best or self._fallback(now, tiers, exclude)

    def sent(self, now: float, target: str) -> None:
        """Note that a call goes to ``target``."""
        view = self.views.get(target)
        if view is not None:
            view.sent()

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
        view = TargetView(target=target, distance=self._distance(target))
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
        self.largest = {
            provider: [
                max((self.views[name].slots for name in names), default=1)
                for names in tiers
            ]
            for provider, tiers in self.tiers.items()
        }

    def _tiers_of(self, provider: str | None) -> list[list[str]]:
        tiers: list[list[str]] = [[] for _ in DISTANCE_FACTORS]
        for name, view in self.views.items():
            if provider in (None, view.target["provider"]):
                tiers[view.distance].append(name)
        return tiers

    def _cost(self, now: float, name: str) -> float:
        return self.views[name].cost(now, self.typical)

    def _draw_two(
        self,
        now: float,
        names: list[str],
        provider: str | None,
        distance: int,
        exclude: Collection[str],
        level: int | None,
    ) -> str | None:
        """Draw two usable targets by weight and return the cheaper one."""
        largest = self.largest[provider][distance]
        found: str | None = None
        for _ in range(2 * DRAWS):
            name = names[int(self.rng.random() * len(names))]
            view = self.views[name]
            if name == found or self.rng.random() * largest > view.weight(now):
                continue
            if not self._fits(now, name, exclude, level):
                continue
            if found is None:
                found = name
                continue
            return min(found, name, key=lambda each: self._cost(now, each))
        return found or self._scan(now, names, exclude, level)

    def _scan(
        self, now: float, names: list[str], exclude: Collection[str], level: int | None
    ) -> str | None:
        fitting = [name for name in names if self._fits(now, name, exclude, level)]
        return min(fitting, key=lambda each: self._cost(now, each), default=None)

    def _fits(
        self, now: float, name: str, exclude: Collection[str], level: int | None
    ) -> bool:
        view = self.views[name]
        if name in exclude or not view.usable(now):
            return False
        return level is None or not view.refuses(now, level)

    def _fallback(
        self, now: float, tiers: list[list[str]], exclude: Collection[str]
    ) -> str | None:
        """Return a target though all are shedding or ejected; never a leaving one."""
        names = [
            name
            for names in tiers
            for name in names
            if name not in exclude and not self.views[name].leaving
        ]
        return min(names, key=lambda each: self._last_resort(now, each), default=None)

    def _last_resort(self, now: float, name: str) -> tuple[bool, float, float]:
        view = self.views[name]
        ejected = not view.record.admits(now, view.in_flight)
        until = view.record.until if ejected else 0.0
        return (ejected, until, self._cost(now, name))

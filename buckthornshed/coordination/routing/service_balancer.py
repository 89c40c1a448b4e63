"""Load balancing of the calls to one service.

For each locality the balancer samples two targets in proportion to their slots and
takes the one with the lower cost (power of two choices). It prefers targets in the
failure domain of the node. A target in another failure domain is chosen only if its
cost, multiplied by the factor of its distance, is lower; it is not considered while
the best cost so far is at most that factor times the mean latency of the service.
See docs/design/routing.md.
"""

import math
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from ...protocol.messages import Fault, NodeSignal
from ...state.objects import Target
from ...state.random_source import RandomSource
from .target_state import TargetState

__all__ = ["DISTANCE_FACTORS", "ServiceBalancer", "TargetSnapshot"]

DISTANCE_FACTORS = (1.0, 1.5, 3.0)
MAX_SAMPLES = 8
MEAN_LATENCY_EWMA_WEIGHT = 0.02
INITIAL_MEAN_LATENCY_S = 0.01


class TargetSnapshot(NamedTuple):
    """State of one target as shown in the dump of a node."""

    target: str
    distance: int
    in_flight: int
    load: float
    latency: float
    leaving: bool
    ejected: bool


class LocalityTier(NamedTuple):
    """The targets at one distance and the largest number of slots among them."""

    targets: list[TargetState]
    max_slots: int


class ServiceBalancer:
    """Balances the calls of one node over the targets of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    local_domain : str
        Failure domain of this node.
    region_of : callable
        Returns the region of a failure domain, or None if no region is configured.
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
        self.targets: dict[str, TargetState] = {}
        self.tiers: dict[str | None, list[LocalityTier]] = {}
        self.mean_latency = INITIAL_MEAN_LATENCY_S

    def update(self, now: float, targets: Mapping[str, Target]) -> None:
        """Apply the targets of the service from a new configuration.

        The measurements of a target are kept as long as its configuration object is
        unchanged. Targets that are added after the first update begin with slow start.
        """
        slow_start_since = now if self.targets else -math.inf
        self.targets = {
            name: self._target_state(name, target, slow_start_since)
            for name, target in sorted(targets.items())
            if target["service"] == self.service and not target.get("retired", False)
        }
        self._rebuild_tiers()

    def choose(
        self,
        now: float,
        *,
        exclude: Collection[str] = (),
        provider: str | None = None,
        level: int | None = None,
    ) -> str | None:
        """Return the target for a call, or None if no target remains.

        If all remaining targets are shedding or ejected, the call goes to one of them
        nevertheless; draining targets get no calls.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        exclude : collection of str
            Targets that must not be chosen.
        provider : str or None
            Provider whose targets may be chosen; None for all providers.
        level : int or None
            Admission level of the call. Targets that are expected to refuse it are
            chosen only if no other target remains.
        """
        best, best_cost = None, math.inf
        tiers = self.tiers.get(provider, [])
        for distance, tier in enumerate(tiers):
            factor = DISTANCE_FACTORS[distance]
            if not tier.targets or best_cost <= factor * self.mean_latency:
                continue
            state, cost = self._pick_of_two(now, tier, exclude, level)
            if state is not None and cost * factor < best_cost:
                best, best_cost = state, cost * factor
        if best is not None:
            return best.name
        return self._fallback(now, tiers, exclude)

    def record_send(self, now: float, target: str) -> None:
        """Record a call that is sent to ``target``."""
        state = self.targets.get(target)
        if state is not None:
            state.record_send(now)

    def record_answer(
        self, now: float, target: str, signal: NodeSignal, latency: float | None
    ) -> None:
        """Record an answer of ``target`` with its signal and its latency in seconds.

        ``latency`` is None unless the outcome is ``COMPLETE``.
        """
        state = self.targets.get(target)
        if state is None:
            return
        state.record_answer(now, signal, latency)
        if latency is not None:
            self.mean_latency += MEAN_LATENCY_EWMA_WEIGHT * (
                latency - self.mean_latency
            )

    def record_failure(self, now: float, target: str, fault: Fault) -> None:
        """Record that an exchange with ``target`` ended without an answer."""
        state = self.targets.get(target)
        if state is None:
            return
        state.record_end()
        state.ejection.record_failure(now, self.rng)

    def record_cancellation(self, now: float, target: str) -> None:
        """Record that this node cancelled a call to ``target``."""
        state = self.targets.get(target)
        if state is not None:
            state.record_end()

    def mark_draining(self, now: float, target: str) -> None:
        """Send no calls to ``target`` until one of its answers clears the flag."""
        state = self.targets.get(target)
        if state is not None:
            state.draining = True

    def snapshot(self, now: float) -> list[TargetSnapshot]:
        """Return the state of each target."""
        return [
            TargetSnapshot(
                target=name,
                distance=state.distance,
                in_flight=state.in_flight,
                load=state.load(now),
                latency=state.latency,
                leaving=state.draining,
                ejected=not state.ejection.allows_call(now, 0),
            )
            for name, state in self.targets.items()
        ]

    def _target_state(
        self, name: str, target: Target, slow_start_since: float
    ) -> TargetState:
        current = self.targets.get(name)
        if current is not None and current.target == target:
            return current
        state = TargetState(name=name, target=target, distance=self._distance(target))
        state.slow_start_since = slow_start_since
        return state

    def _distance(self, target: Target) -> int:
        domain = target["failure_domain"]
        if domain == self.local_domain:
            return 0
        region = self.region_of(domain)
        return 1 if region and region == self.region_of(self.local_domain) else 2

    def _rebuild_tiers(self) -> None:
        providers = {state.target["provider"] for state in self.targets.values()}
        self.tiers = {provider: self._tiers_of(provider) for provider in providers}
        self.tiers[None] = self._tiers_of(None)

    def _tiers_of(self, provider: str | None) -> list[LocalityTier]:
        tiers: list[list[TargetState]] = [[] for _ in DISTANCE_FACTORS]
        for state in self.targets.values():
            if provider in (None, state.target["provider"]):
                tiers[state.distance].append(state)
        return [
            LocalityTier(states, max((state.slots for state in states), default=1))
            for states in tiers
        ]

    def _pick_of_two(
        self,
        now: float,
        tier: LocalityTier,
        exclude: Collection[str],
        level: int | None,
    ) -> tuple[TargetState | None, float]:
        """Sample up to two eligible targets by weight; return the cheaper and its cost.

        If no sample is eligible, all targets of the tier are compared.
        """
        if len(tier.targets) == 1:
            return self._cheapest(now, tier, exclude, level)
        random = self.rng.random
        first: TargetState | None = None
        first_cost = math.inf
        for _ in range(MAX_SAMPLES):
            state = tier.targets[int(random() * len(tier.targets))]
            if state is first or random() * tier.max_slots > state.weight(now):
                continue
            if not _is_eligible(now, state, exclude, level):
                continue
            cost = state.cost(now, self.mean_latency)
            if first is not None:
                return (state, cost) if cost < first_cost else (first, first_cost)
            first, first_cost = state, cost
        if first is not None:
            return first, first_cost
        return self._cheapest(now, tier, exclude, level)

    def _cheapest(
        self,
        now: float,
        tier: LocalityTier,
        exclude: Collection[str],
        level: int | None,
    ) -> tuple[TargetState | None, float]:
        best, best_cost = None, math.inf
        for state in tier.targets:
            if _is_eligible(now, state, exclude, level):
                cost = state.cost(now, self.mean_latency)
                if cost < best_cost:
                    best, best_cost = state, cost
        return best, best_cost

    def _fallback(
        self, now: float, tiers: list[LocalityTier], exclude: Collection[str]
    ) -> str | None:
        """Return the best target that is not draining, even if shedding or ejected.

        Targets that are not ejected come first, then the ejected ones by the end of
        their ejection.
        """
        states = [
            state
            for tier in tiers
            for state in tier.targets
            if state.name not in exclude and not state.draining
        ]
        best = min(
            states, key=lambda state: self._fallback_order(now, state), default=None
        )
        return None if best is None else best.name

    def _fallback_order(self, now: float, state: TargetState) -> tuple[float, float]:
        ejected = not state.ejection.allows_call(now, state.in_flight)
        ejected_until = state.ejection.ejected_until if ejected else 0.0
        return (ejected_until, state.cost(now, self.mean_latency))


def _is_eligible(
    now: float, state: TargetState, exclude: Collection[str], level: int | None
) -> bool:
    if state.name in exclude or not state.usable(now):
        return False
    return level is None or not state.refuses(now, level)

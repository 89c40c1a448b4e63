"""Admission levels, and the admission thresholds that other nodes report.

The level of a call orders calls by importance: by priority first, then by a hash of
the request id, so that every node orders the same requests in the same way. A node
refuses calls whose level is below its threshold; a threshold of 0 refuses none.
"""

from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from ...state.table import BoundedTable

__all__ = [
    "HASH_BUCKETS",
    "LEVELS",
    "PRIORITIES",
    "DownstreamThresholds",
    "admission_level",
]

PRIORITIES = 16
"""Number of priorities."""

HASH_BUCKETS = 256
"""Number of request hash buckets, and so of levels, within a priority."""

LEVELS = PRIORITIES * HASH_BUCKETS
"""Number of levels; calls of the greatest level are refused last."""

THRESHOLD_HOLD_S = 0.5
"""Seconds for which a reported threshold applies in full."""

THRESHOLD_DECAY_S = 1.0
"""Seconds over which a reported threshold then decays to 0."""

MINIMUM_CACHE_S = 0.05
"""Seconds for which the minimum threshold of a route is cached."""


def admission_level(priority: int, request_id: bytes) -> int:
    """Return the level of a call, 0 to ``LEVELS - 1``, the same at each node.

    Parameters
    ----------
    priority : int
        Priority of the call; 0 is the most important.
    request_id : bytes
        Identifier of the client request.
    """
    band = PRIORITIES - 1 - min(max(priority, 0), PRIORITIES - 1)
    return band * HASH_BUCKETS + xxh3_64_intdigest(request_id) % HASH_BUCKETS


class ReportedThreshold(NamedTuple):
    """A threshold and the time of its report, in seconds of the monotonic clock."""

    threshold: int
    reported_at: float

    def value_at(self, now: float) -> int:
        """Return the threshold at ``now``, after its decay."""
        age = now - self.reported_at
        if age <= THRESHOLD_HOLD_S:
            return self.threshold
        return int(
            self.threshold
            * max(0.0, 1.0 - (age - THRESHOLD_HOLD_S) / THRESHOLD_DECAY_S)
        )


class TargetThresholds:
    """Reported thresholds of the known targets of one route, and their minimum."""

    def __init__(self) -> None:
        self.targets: dict[str, ReportedThreshold] = {}
        self.minimum = 0
        self.computed_at = float("-inf")

    def put(self, target: str, value: ReportedThreshold) -> None:
        """Record the threshold of ``target``."""
        self.targets[target] = value
        if value.threshold < self.minimum:
            self.minimum = value.threshold

    def remove(self, target: str) -> None:
        """Remove the threshold of ``target``."""
        self.targets.pop(target, None)
        self.computed_at = float("-inf")

    def minimum_at(self, now: float) -> int:
        """Return the minimum threshold, cached for ``MINIMUM_CACHE_S``."""
        if not 0.0 <= now - self.computed_at < MINIMUM_CACHE_S:
            values = self.targets.values()
            self.minimum = min((value.value_at(now) for value in values), default=0)
            self.computed_at = now
        return self.minimum


class DownstreamThresholds:
    """Admission thresholds of downstream routes, as their targets report them.

    Each answer of a target carries its threshold. A reported threshold applies for a
    while and then decays to 0, so that calls reach a target without recent answers
    again, the most important ones first, and its recovery is noticed.

    Parameters
    ----------
    entries : int
        Maximum number of pairs of route and target; reports of others are dropped.
    """

    def __init__(self, *, entries: int) -> None:
        self.live_reports: BoundedTable[tuple[str, str], None] = BoundedTable(
            entries=entries
        )
        self.routes: dict[str, TargetThresholds] = {}
        self.overflow_count = 0

    def record(self, now: float, route: str, target: str, threshold: int) -> None:
        """Record the threshold that an answer of ``target`` carried."""
        self._expire(now)
        pair = (route, target)
        if self.live_reports.full and pair not in self.live_reports:
            self.overflow_count += 1
            return
        self.live_reports.put(
            pair, None, expires=now + THRESHOLD_HOLD_S + THRESHOLD_DECAY_S
        )
        if route not in self.routes:
            self.routes[route] = TargetThresholds()
        value = ReportedThreshold(min(max(threshold, 0), LEVELS - 1), now)
        self.routes[route].put(target, value)

    def target_threshold(self, now: float, route: str, target: str) -> int:
        """Return the threshold of ``target`` for ``route``, 0 if it is unknown."""
        reports = self.routes.get(route)
        value = None if reports is None else reports.targets.get(target)
        return 0 if value is None else value.value_at(now)

    def route_threshold(self, now: float, route: str) -> int:
        """Return the minimum threshold over the known targets of ``route``."""
        self._expire(now)
        reports = self.routes.get(route)
        return 0 if reports is None else reports.minimum_at(now)

    def _expire(self, now: float) -> None:
        for entry in self.live_reports.expire(now):
            route, target = entry.key
            self.routes[route].remove(target)
            if not self.routes[route].targets:
                del self.routes[route]

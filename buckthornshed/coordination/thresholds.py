"""Admission levels, and the thresholds that other nodes report.

The level of a call is its importance: priority first, then a hash of the request,
so that every node orders the same requests in the same way. A threshold refuses
the calls whose level is below it; 0 refuses none.
"""

from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from ..state.table import BoundedTable

__all__ = ["BUCKETS", "LEVELS", "RANKS", "DownstreamThresholds", "level"]

RANKS = 16
"""Number of priority ranks."""

BUCKETS = 256
"""Number of request hashes within a rank."""

LEVELS = RANKS * BUCKETS
"""Number of levels; the greatest is refused last."""

FRESH_S = 0.5
"""Seconds for which a reported threshold holds in full."""

FADE_S = 1.0
"""Seconds after that in which it falls to 0."""


def level(priority: int, request_id: bytes) -> int:
    """Return the importance of a call, 0 to ``LEVELS - 1``, the same at each node.

    Parameters
    ----------
    priority : int
        Rank, 0 is the most important.
    request_id : bytes
        Identity of the client request.
    """
    rank = RANKS - 1 - min(max(priority, 0), RANKS - 1)
    return rank * BUCKETS + xxh3_64_intdigest(request_id) % BUCKETS


class LearnedThreshold(NamedTuple):
    """A threshold and when it was reported, in seconds."""

    threshold: int
    learned: float


class DownstreamThresholds:
    """What the nodes of other services refuse, learned from their answers.

    A learned threshold holds for a while and then fades to 0, so that calls
    reach a silent node again, the most important first, and its recovery is seen.

    Parameters
    ----------
    entries : int
        Targets remembered at once; further ones are not learned.
    """

    def __init__(self, *, entries: int) -> None:
        self.learned: BoundedTable[tuple[str, str], LearnedThreshold] = BoundedTable(
            entries=entries
        )
        self.targets: dict[str, set[str]] = {}
        self.refused_full = 0

    def learn(self, now: float, service: str, target: str, threshold: int) -> None:
        """Note the threshold that an answer of ``target`` carried."""
        self._forget(now)
        name = (service, target)
        if self.learned.full and name not in self.learned:
            self.refused_full += 1
            return
        value = LearnedThreshold(min(max(threshold, 0), LEVELS - 1), now)
        self.learned.put(name, value, expires=now + FRESH_S + FADE_S)
        self.targets.setdefault(service, set()).add(target)

    def of_target(self, now: float, service: str, target: str) -> int:
        """Return what ``target`` refuses, as far as is known."""
        entry = self.learned.get((service, target))
        if entry is None:
            return 0
        age = now - entry.learned
        kept = min(1.0, max(0.0, 1.0 - (age - FRESH_S) / FADE_S))
        return int(entry.threshold * kept)

    def of_service(self, now: float, service: str) -> int:
        """Return what every known target of ``service`` refuses."""
        self._forget(now)
        targets = self.targets.get(service, ())
        known = (self.of_target(now, service, target) for target in targets)
        return min(known, default=0)

    def _forget(self, now: float) -> None:
        for entry in self.learned.expire(now):
            service, target = entry.key
            self.targets[service].discard(target)
            if not self.targets[service]:
                del self.targets[service]

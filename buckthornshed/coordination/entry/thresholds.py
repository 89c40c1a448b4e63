"""Admission levels, and the thresholds that other nodes report.

The level of a call is its importance: priority first, then a hash of the request,
so that every node orders the same requests in the same way. A threshold refuses
the calls whose level is below it; 0 refuses none.
"""

from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from ...state.table import BoundedTable

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


REFRESH_S = 0.05
"""Seconds for which the least threshold of a service is kept."""


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

    def at(self, now: float) -> int:
        """Return what is left of the threshold at ``now``."""
        age = now - self.learned
        if age <= FRESH_S:
            return self.threshold
        return int(self.threshold * max(0.0, 1.0 - (age - FRESH_S) / FADE_S))


class ServiceThresholds:
    """The thresholds of the known targets of one service, and the least of them."""

    def __init__(self) -> None:
        self.targets: dict[str, LearnedThreshold] = {}
        self.least = 0
        self.computed = float("-inf")

    def put(self, target: str, value: LearnedThreshold) -> None:
        """Note the threshold of ``target``."""
        self.targets[target] = value
        if value.threshold < self.least:
            self.least = value.threshold

    def drop(self, target: str) -> None:
        """Forget ``target``."""
        self.targets.pop(target, None)
        self.computed = float("-inf")

    def least_at(self, now: float) -> int:
        """Return the least threshold, computed anew at most once an interval."""
        if not 0.0 <= now - self.computed < REFRESH_S:
            values = self.targets.values()
            self.least = min((value.at(now) for value in values), default=0)
            self.computed = now
        return self.least


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
        self.known: BoundedTable[tuple[str, str], None] = BoundedTable(entries=entries)
        self.services: dict[str, ServiceThresholds] = {}
        self.refused_full = 0

    def learn(self, now: float, service: str, target: str, threshold: int) -> None:
        """Note the threshold that an answer of ``target`` carried."""
        self._forget(now)
        name = (service, target)
        if self.known.full and name not in self.known:
            self.refused_full += 1
            return
        self.known.put(name, None, expires=now + FRESH_S + FADE_S)
        if service not in self.services:
            self.services[service] = ServiceThresholds()
        value = LearnedThreshold(min(max(threshold, 0), LEVELS - 1), now)
        self.services[service].put(target, value)

    def of_target(self, now: float, service: str, target: str) -> int:
        """Return what ``target`` refuses, as far as is known."""
        learned = self.services.get(service)
        value = None if learned is None else learned.targets.get(target)
        return 0 if value is None else value.at(now)

    def of_service(self, now: float, service: str) -> int:
        """Return what every known target of ``service`` refuses."""
        self._forget(now)
        learned = self.services.get(service)
        return 0 if learned is None else learned.least_at(now)

    def _forget(self, now: float) -> None:
        for entry in self.known.expire(now):
            service, target = entry.key
            self.services[service].drop(target)
            if not self.services[service].targets:
                del self.services[service]

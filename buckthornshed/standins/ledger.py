"""The record of what really ran at a target, by which promises are judged."""

from collections import deque
from typing import Literal, NamedTuple

__all__ = ["Entry", "Ledger", "TargetCounters"]

CAPACITY = 1_000_000

End = Literal["running", "completed", "failed", "cancelled"]


class Entry(NamedTuple):
    """One run of a request, from the moment it got a slot.

    Parameters
    ----------
    run : int
        Number of the run at this target, from 0.
    request : str
        The request id of the caller.
    key : str
        The idempotency key, or an empty string.
    route : str
        Method and path prefix.
    start, end : float
        Seconds of the machine's monotonic clock; ``end`` is 0 while it runs.
    outcome : str
        How it ended.
    leaving_s : float
        Seconds since the target began to leave, 0 before.
    """

    run: int
    request: str
    key: str
    route: str
    start: float
    end: float
    outcome: End
    leaving_s: float


class TargetCounters(NamedTuple):
    """Requests that did not run, and work at the edges of the target."""

    received: int = 0
    shed: int = 0
    expired: int = 0
    abandoned: int = 0
    probes: int = 0
    connections: int = 0
    refused_connections: int = 0
    calls_below: int = 0
    retries_below: int = 0
    busy_s: float = 0.0


class Ledger:
    """Entries by run, of which the oldest fall out beyond the capacity."""

    def __init__(self, *, capacity: int = CAPACITY) -> None:
        self.entries: deque[Entry] = deque(maxlen=capacity)
        self.runs = 0
        self.counters = TargetCounters()

    def start(
        self, *, request: str, key: str, route: str, now: float, leaving_s: float
    ) -> int:
        """Record that a request runs and return the number of the run."""
        run = self.runs
        self.runs += 1
        entry = Entry(run, request, key, route, now, 0.0, "running", leaving_s)
        self.entries.append(entry)
        return run

    def end(self, run: int, outcome: End, *, now: float) -> None:
        """Record how a run ended."""
        index = run - (self.runs - len(self.entries))
        if index < 0:
            return
        entry = self.entries[index]
        self.entries[index] = entry._replace(end=now, outcome=outcome)
        busy = self.counters.busy_s + now - entry.start
        self.counters = self.counters._replace(busy_s=busy)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        value = getattr(self.counters, name) + by
        self.counters = self.counters._replace(**{name: value})

    def since(self, run: int) -> list[Entry]:
        """Return the entries from a run on."""
        return [entry for entry in self.entries if entry.run >= run]

"""Record of the runs of a target, used to check the guarantees."""

from collections import deque
from collections.abc import Iterable
from typing import IO, Literal, NamedTuple

import msgspec

__all__ = ["Entry", "Ledger", "TargetCounters", "read_journal"]

DEFAULT_CAPACITY = 1_000_000

RunOutcome = Literal["running", "completed", "failed", "cancelled"]


class Entry(NamedTuple):
    """One run of a request, from the time it got a slot.

    Parameters
    ----------
    run : int
        Number of the run at this target, starting at 0.
    request : str
        Request id of the caller.
    key : str
        Idempotency key, or an empty string.
    route : str
        Method and path prefix of the route.
    start, end : float
        Times of the machine's monotonic clock, seconds; ``end`` is 0 during the
        run.
    outcome : str
        ``running``, or how the run ended.
    leaving_s : float
        Seconds from the start of draining to the start of the run, 0 before
        draining.
    """

    run: int
    request: str
    key: str
    route: str
    start: float
    end: float
    outcome: RunOutcome
    leaving_s: float


class TargetCounters(NamedTuple):
    """Counters of a target.

    Parameters
    ----------
    received : int
        Requests other than health probes.
    shed, expired, abandoned : int
        Requests that did not run because the queue was full, the deadline had passed,
        or the client disconnected while they were queued.
    probes : int
        Health probes.
    connections, refused_connections : int
        Accepted and refused connections.
    calls_below, retries_below : int
        Downstream calls and their retries.
    busy_s : float
        Total time of ended runs, seconds.
    """

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
    """Entries of the latest runs, and counters.

    Parameters
    ----------
    capacity : int
        Maximum number of entries; the oldest are dropped beyond it.
    journal : binary file or None
        Receives each entry as a line of JSON when a run starts and when it ends, so
        that the record survives a killed target.
    """

    def __init__(
        self, *, capacity: int = DEFAULT_CAPACITY, journal: IO[bytes] | None = None
    ) -> None:
        self.journal = journal
        self.entries: deque[Entry] = deque(maxlen=capacity)
        self.runs = 0
        self.counters = TargetCounters()

    def start(
        self, *, request: str, key: str, route: str, now: float, leaving_s: float
    ) -> int:
        """Record the start of a run and return its number."""
        run = self.runs
        self.runs += 1
        entry = Entry(run, request, key, route, now, 0.0, "running", leaving_s)
        self.entries.append(entry)
        self.write(entry)
        return run

    def write(self, entry: Entry) -> None:
        """Write an entry to the journal, if there is one."""
        if self.journal is not None:
            self.journal.write(msgspec.json.encode(entry) + b"\n")

    def end(self, run: int, outcome: RunOutcome, *, now: float) -> None:
        """Record the end of a run, unless its entry was dropped."""
        index = run - (self.runs - len(self.entries))
        if index < 0:
            return
        entry = self.entries[index]._replace(end=now, outcome=outcome)
        self.entries[index] = entry
        self.write(entry)
        busy = self.counters.busy_s + now - entry.start
        self.counters = self.counters._replace(busy_s=busy)

    def count(self, name: str, by: int = 1) -> None:
        """Increase a counter."""
        value = getattr(self.counters, name) + by
        self.counters = self.counters._replace(**{name: value})

    def entries_since(self, run: int) -> list[Entry]:
        """Return the entries with run numbers from ``run`` on."""
        return [entry for entry in self.entries if entry.run >= run]


def read_journal(lines: Iterable[bytes]) -> list[Entry]:
    """Return the last state of each entry in a journal.

    An incomplete last line, which a killed target may leave, is skipped.
    """
    entries: dict[int, Entry] = {}
    for line in lines:
        if line.endswith(b"\n"):
            entry = msgspec.json.decode(line, type=Entry)
            entries[entry.run] = entry
    return list(entries.values())

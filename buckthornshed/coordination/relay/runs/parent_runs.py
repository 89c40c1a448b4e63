"""Which run at the local target may have made a request that arrives at its relay.

A target makes calls only while it runs requests, and all of these pass the relay beside
it. Identifiers of calls are opaque: one that consists of that of a run, a full stop and
a suffix names its parent, all others say nothing. A request without a key can then be a
call only while some run is in progress, or one whose end is not known may be.
"""

from enum import Enum, auto
from typing import NamedTuple

from ....protocol.relay_messages import CallMessage

__all__ = ["NO_CALLER", "CallOrigin", "Caller", "ParentRuns", "Run", "RunEnd"]

PARENT_SEPARATOR = b"."
"""Separates the identifier of a run from the suffix in those of its calls."""
LATE_CALL_S = 1.0
"""Time after the end of a run within which a call that it has made may still arrive."""
MAX_ENDED_RUNS = 2_048


class RunEnd(Enum):
    """How a run ended, as far as the relay knows."""

    NOT_RUN = auto()
    """The target has not begun it."""
    ANSWERED = auto()
    """The target has answered it, and makes no more calls for it."""
    FAILED = auto()
    """The target has given it up; calls that it no longer needs may be on the way."""
    UNKNOWN = auto()
    """Nobody waits for it any more, but the target may run it until its deadline."""


class CallOrigin(Enum):
    """What may have made a request."""

    NAMED = "the run that its identifier names"
    UNNAMED = "one of the runs in progress, if any run"
    ENDED = "a run that has ended, if any run"
    NO_RUN = "no run of the local target"


class Run(NamedTuple):
    """A run in progress; `deadline` is in seconds of the monotonic clock."""

    message: CallMessage
    deadline: float


class Caller(NamedTuple):
    """What may have made a request; `parent` is the run that it names, if any."""

    origin: CallOrigin
    parent: Run | None = None


UNNAMED_CALLER = Caller(CallOrigin.UNNAMED)
ENDED_CALLER = Caller(CallOrigin.ENDED)
NO_CALLER = Caller(CallOrigin.NO_RUN)


class ParentRuns:
    """Runs at the local target, those in progress and those that ended of late.

    Attributes
    ----------
    running : dict
        Runs in progress by number.
    named : dict
        The latest run in progress by the identifier of its request.
    ended : dict
        By the identifier of its request, the time until which calls of a run that has
        ended may arrive.
    unfinished_until : float
        Time until which the target may run what nobody waits for any more.
    """

    def __init__(self) -> None:
        self.running: dict[int, Run] = {}
        self.named: dict[bytes, Run] = {}
        self.ended: dict[bytes, float] = {}
        self.unfinished_until = 0.0
        self.retried_share = 0.0

    def begin(self, number: int, run: Run) -> None:
        """Record that a run has been sent to the target."""
        self.running[number] = run
        self.named[run.message.request_id] = run
        self.ended.pop(run.message.request_id, None)

    def end(self, now: float, number: int, end: RunEnd) -> None:
        """Record the end of a run."""
        run = self.running.pop(number)
        request_id = run.message.request_id
        if self.named.get(request_id) is run:
            del self.named[request_id]
        if end is RunEnd.NOT_RUN:
            return
        if len(self.ended) >= MAX_ENDED_RUNS:
            self.ended.pop(next(iter(self.ended)))
        self.ended[request_id] = max(now, run.deadline) + LATE_CALL_S
        if end is RunEnd.UNKNOWN:
            self.expect_calls(self.ended[request_id])
        elif end is RunEnd.FAILED:
            self.expect_calls(now + LATE_CALL_S)

    def expect_calls(self, until: float) -> None:
        """Record that calls of runs that this relay does not know may arrive."""
        self.unfinished_until = max(self.unfinished_until, until)

    def find(self, now: float, request_id: bytes) -> Caller:
        """Return what may have made a request without a key."""
        parent_id, _, _ = request_id.rpartition(PARENT_SEPARATOR)
        if parent_id:
            parent = self.named.get(parent_id)
            if parent is not None:
                return Caller(CallOrigin.NAMED, parent)
            if now < self.ended.get(parent_id, now):
                return ENDED_CALLER
        if self.running:
            return UNNAMED_CALLER
        return ENDED_CALLER if now < self.unfinished_until else NO_CALLER

    # What holds for a call of which only is known that some run in progress made it.

    def highest_rank(self) -> int:
        """Return the rank of the most important run, so that none is refused early."""
        return min(run.message.rank for run in self.running.values())

    def latest_deadline(self) -> float:
        """Return the time after which no run waits for a call."""
        return max(run.deadline for run in self.running.values())

    def next_is_retry(self) -> bool:
        """Return whether the next call counts as one of a retried run.

        Of many calls as large a share does as of the runs in progress.
        """
        retried = sum(run.message.is_retry for run in self.running.values())
        self.retried_share += retried / len(self.running)
        if self.retried_share < 1.0:
            return False
        self.retried_share -= 1.0
        return True

"""State machine of the runs that may have made a call, against a plain model."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from buckthornshed.coordination.relay.runs.parent_runs import (
    LATE_CALL_S,
    CallOrigin,
    ParentRuns,
    Run,
    RunEnd,
)
from buckthornshed.protocol.relay_messages import CallMessage

IDS = st.sampled_from([b"a", b"b", b"a.b", b"", b"."])
SUFFIXES = st.sampled_from([b"", b".1", b".b", b".1.2"])


class ParentRunsMachine(RuleBasedStateMachine):
    """Begins and ends runs; the model keeps all of them."""

    def __init__(self):
        super().__init__()
        self.runs = ParentRuns()
        self.now = 0.0
        self.number = 0
        self.running: dict[int, Run] = {}
        self.unfinished: list[float] = []
        self.ended: list[tuple[bytes, float]] = []

    @rule(request_id=IDS, rank=st.integers(0, 9), left=st.floats(0.1, 5.0))
    def begin(self, request_id, rank, left):
        message = CallMessage(
            1, "t", "r", rank, True, False, left, request_id, b"", b"", "w"
        )
        self.number += 1
        self.running[self.number] = Run(message, self.now + left)
        self.runs.begin(self.number, self.running[self.number])

    @precondition(lambda self: self.running)
    @rule(data=st.data(), end=st.sampled_from(RunEnd))
    def end(self, data, end):
        number = data.draw(st.sampled_from(sorted(self.running)))
        run = self.running.pop(number)
        self.runs.end(self.now, number, end)
        ends_at = max(self.now, run.deadline) + LATE_CALL_S
        if end is not RunEnd.NOT_RUN:
            self.ended.append((run.message.request_id, ends_at))
        if end is RunEnd.UNKNOWN:
            self.unfinished.append(ends_at)
        if end is RunEnd.FAILED:
            self.unfinished.append(self.now + LATE_CALL_S)

    @rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(run_id=IDS, suffix=SUFFIXES)
    def find(self, run_id, suffix):
        caller = self.runs.find(self.now, run_id + suffix)
        if caller.parent is not None:
            # A parent runs, and the identifier names it.
            assert caller.origin is CallOrigin.NAMED
            assert caller.parent in self.running.values()
            named = caller.parent.message.request_id + b"."
            assert (run_id + suffix).startswith(named)
        if caller.origin is CallOrigin.NO_RUN:
            # Only what cannot be a call may be refused as not allowed.
            assert not self.running
            assert all(until <= self.now for until in self.unfinished)
        if caller.origin is CallOrigin.UNNAMED:
            assert self.running
        if caller.origin is CallOrigin.ENDED:
            # A run that ended explains it: one that is named, or may go on unseen.
            ends = [
                until
                for ended_id, until in self.ended
                if ended_id and (run_id + suffix).rpartition(b".")[0] == ended_id
            ]
            assert any(self.now < until for until in [*ends, *self.unfinished])

    @invariant()
    def fallbacks_lie_within_the_runs(self):
        if self.running:
            runs = self.running.values()
            assert self.runs.highest_rank() == min(r.message.rank for r in runs)
            assert self.runs.latest_deadline() == max(r.deadline for r in runs)
        assert len(self.runs.running) == len(self.running)


TestParentRuns = ParentRunsMachine.TestCase

"""What is told of a request agrees with what ran, along a chain of hops.

A chain of nodes, each with its target; a target calls the next node. The scheduler
delays, duplicates and reorders answers, loses them, and cuts connections.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from buckthornshed.coordination.outcomes.integrity import (
    HOP_OUTCOMES,
    Accepted,
    Exchanges,
    HopEvent,
    Progress,
    hop_outcome,
)
from buckthornshed.protocol.messages import Answer
from buckthornshed.protocol.outcome import Outcome

HOPS = 3
INDEX = st.integers(min_value=0, max_value=2**16)
REFUSALS = (HopEvent.REFUSED, HopEvent.CANCELLED, HopEvent.EXPIRED)
LOWER_EVENTS = {
    Outcome.COMPLETE: HopEvent.LOWER_COMPLETE,
    Outcome.NOT_RUN: HopEvent.LOWER_NOT_RUN,
    Outcome.FAILED: HopEvent.LOWER_FAILED,
    Outcome.UNKNOWN: HopEvent.LOWER_UNKNOWN,
}


class Work:
    """One call at one hop: its target's run, and the exchange that it waits for."""

    def __init__(self, *, hop, request, above):
        self.hop = hop
        self.request = request
        self.above = above
        self.exchange = 0
        self.progress = Progress.HELD
        self.ended = False


class Outcomes(RuleBasedStateMachine):
    """Requests that enter at hop 0 of a chain."""

    def __init__(self):
        super().__init__()
        self.exchanges = self.make_exchanges()
        self.work: list[Work] = []
        self.waiting: dict[int, tuple[Work, int]] = {}
        self.answers: list[tuple[int, Answer]] = []
        self.ran: dict[int, set[int]] = {}
        self.told: dict[int, Outcome] = {}
        self.connections = 0
        self.closed: set[int] = set()
        self.requests = 0

    def make_exchanges(self):
        return Exchanges(entries=1000, first=1)

    def outcome(self, progress, event):
        return hop_outcome(progress, event)

    @rule()
    def enter(self):
        self.requests += 1
        self.call(0, self.requests, None)

    def call(self, hop, request, above):
        work = Work(hop=hop, request=request, above=above)
        self.work.append(work)
        if above is not None:
            self.connections += 1
            work.exchange = self.exchanges.reserve()
            self.exchanges.start(
                work.exchange,
                request_id=request.to_bytes(16, "big"),
                target=str(hop),
                connection=self.connections,
                deadline=1.0,
            )
            self.exchanges.sent(work.exchange)
            self.waiting[work.exchange] = (above, self.connections)

    def held(self):
        return [each for each in self.work if each.progress is Progress.HELD]

    def started(self):
        waiting = {above for above, _ in self.waiting.values()}
        return [each for each in self.work if each not in waiting and not each.ended]

    @precondition(lambda self: self.held())
    @rule(which=INDEX, event=st.sampled_from(REFUSALS))
    def refuse(self, which, event):
        work = self.held()[which % len(self.held())]
        self.end(work, self.outcome(work.progress, event))

    @precondition(lambda self: self.held())
    @rule(which=INDEX, deeper=st.booleans())
    def start(self, which, deeper):
        work = self.held()[which % len(self.held())]
        if work.ended:
            return
        work.progress = Progress.STARTED
        self.ran.setdefault(work.request, set()).add(work.hop)
        assert self.told.get(work.request) is not Outcome.NOT_RUN
        if deeper and work.hop + 1 < HOPS:
            self.call(work.hop + 1, work.request, work)

    @precondition(lambda self: self.started())
    @rule(which=INDEX, event=st.sampled_from(HopEvent))
    def finish(self, which, event):
        work = self.started()[which % len(self.started())]
        targets = (HopEvent.TARGET_ANSWERED, HopEvent.TARGET_FAILED)
        faults = (HopEvent.FAULT_SENT, HopEvent.ANSWER_INVALID, HopEvent.CANCELLED)
        if work.progress is Progress.STARTED and event in targets + faults:
            self.end(work, self.outcome(work.progress, event))

    def end(self, work, outcome):
        if work.ended:
            return
        work.ended = True
        self.work.remove(work)
        if work.above is None:
            self.tell(work.request, outcome)
            return
        body = work.request.to_bytes(16, "big")
        answer = Answer(work.exchange, outcome, status=200, body=body)
        connection = self.waiting.get(work.exchange, (None, 0))[1]
        self.answers.append((connection, answer))

    def tell(self, request, outcome):
        self.told[request] = outcome
        if outcome is Outcome.NOT_RUN:
            assert request not in self.ran, "not run was told of work that ran"
        if outcome is Outcome.COMPLETE:
            assert 0 in self.ran[request], "work was told that never ran"

    @precondition(lambda self: self.answers)
    @rule(which=INDEX, twice=st.booleans(), lost=st.booleans())
    def deliver(self, which, twice, lost):
        entry = self.answers[which % len(self.answers)]
        if not twice:
            self.answers.remove(entry)
        connection, answer = entry
        if lost or connection in self.closed:
            return
        taken = self.exchanges.answered(connection, answer)
        if not isinstance(taken, Accepted):
            self.closed.add(connection)
            return
        above, _ = self.waiting.pop(answer.exchange)
        whose = int.from_bytes(answer.body, "big")
        assert whose == above.request, "the answer belongs to another"
        lower = self.outcome(Progress.STARTED, LOWER_EVENTS[answer.outcome])
        if lower is not Outcome.COMPLETE:
            self.end(above, self.outcome(above.progress, HopEvent.TARGET_FAILED))

    @precondition(lambda self: self.waiting)
    @rule(which=INDEX)
    def give_up(self, which):
        number = sorted(self.waiting)[which % len(self.waiting)]
        above, connection = self.waiting.pop(number)
        dropped = self.exchanges.give_up(number, "timeout")
        assert dropped is not None and dropped.fault.started
        self.closed.add(connection)
        self.end(above, self.outcome(above.progress, HopEvent.CANCELLED))


Outcomes.TestCase.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=50, deadline=None
)
TestOutcomes = Outcomes.TestCase


class DeeperRefusalRises(Outcomes):
    """A refusal below makes the hops above it not run as well."""

    def outcome(self, progress, event):
        if event is HopEvent.TARGET_FAILED:
            return Outcome.NOT_RUN
        return super().outcome(progress, event)


def refuse_at_the_second_hop(machine):
    machine.enter()
    machine.start(which=0, deeper=True)
    machine.refuse(which=0, event=HopEvent.REFUSED)
    machine.deliver(which=0, twice=False, lost=False)
    assert machine.told


class CancelledIsNotRun(Outcomes):
    """Cancellation counts as not run even after the start."""

    def outcome(self, progress, event):
        return super().outcome(
            Progress.HELD if event is HopEvent.CANCELLED else progress, event
        )


def give_up_after_the_start(machine):
    machine.enter()
    machine.start(which=0, deeper=True)
    machine.start(which=0, deeper=False)
    machine.give_up(which=0)


class NoNumbers(Exchanges):
    """Numbers are used again at once, and connections are not compared."""

    def reserve(self):
        return 1

    def answered(self, connection, answer):
        exchange = self.open.get(answer.exchange)
        self.open.pop(answer.exchange)
        return exchange and Accepted(exchange, answer)


class Unchecked(Outcomes):
    """A late answer goes to whoever waits under its number now."""

    def make_exchanges(self):
        return NoNumbers(entries=1000, first=1)


def answer_late(machine):
    machine.enter()
    machine.start(which=0, deeper=True)
    machine.start(which=0, deeper=False)
    late = machine.work[-1]
    connection = machine.connections
    machine.give_up(which=0)
    machine.closed.clear()
    machine.enter()
    machine.start(which=0, deeper=True)
    answer = Answer(late.exchange, Outcome.COMPLETE, 200, body=bytes(15) + b"\1")
    machine.answers.append((connection, answer))
    machine.deliver(which=0, twice=False, lost=False)


VIOLATION = r"not run was told of work that ran|the answer belongs to another"


@pytest.mark.parametrize(
    ("script", "broken"),
    [
        (refuse_at_the_second_hop, DeeperRefusalRises),
        (give_up_after_the_start, CancelledIsNotRun),
        (answer_late, Unchecked),
    ],
)
def test_table_holds_and_its_absence_shows(script, broken):
    script(Outcomes())
    with pytest.raises(AssertionError, match=VIOLATION):
        script(broken())


def test_every_event_that_ends_started_work_has_an_outcome():
    impossible = {HopEvent.REFUSED}
    for event in set(HopEvent) - impossible:
        assert (Progress.STARTED, event) in HOP_OUTCOMES

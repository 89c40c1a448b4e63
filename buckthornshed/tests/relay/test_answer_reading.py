"""Tests of which answers of a target wait while others take memory."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornshed.transport.buffer_budget import BufferBudget
from buckthornshed.transport.relay.target.answer_reading import (
    INCOMPLETE_FRACTION,
    SMALL_BYTES,
    UNSENT_FRACTION,
    AnswerReading,
)

REPEATABLE = settings(derandomize=True, deadline=None)
LIMIT = 10_000_000
PART = 100_000
ANSWER = 5_000_000
SOURCES = 40


class Collector:
    dropped = False

    def overflow(self):
        self.dropped = True


class Source:
    """A connection on which an answer of `ANSWER` bytes arrives."""

    def __init__(self, exchange):
        self.exchange = exchange
        self.collector = Collector()
        self.paused = False

    def pause(self):
        assert not self.paused
        self.paused = True

    def resume(self):
        assert self.paused
        self.paused = False


class Connections:
    """Connections of one target, and the bytes that each asker has not taken."""

    def __init__(self, count=SOURCES):
        self.budget = BufferBudget(limit=LIMIT)
        self.unsent = dict.fromkeys(range(count), 0)
        self.now = 0.0
        self.reading = AnswerReading(
            buffers=self.budget,
            unsent_bytes=self.unsent.__getitem__,
            clock=lambda: self.now,
        )
        self.sources = [Source(number) for number in range(count)]
        self.ended = 0

    def receive(self, source, size=PART):
        if source.paused or source.exchange is None:
            return
        self.budget.hold(source.collector, size)
        if self.budget.held.get(source.collector, 0) >= ANSWER:
            self.end(source)
        else:
            self.reading.note_progress(source)

    def end(self, source):
        if source.exchange is not None:
            self.ended += 1
            source.exchange = None
            self.budget.release(source.collector)
            self.reading.note_end(source)


# Guards against large answers that are dropped, or end the process, because all of them
# are read at once.
def test_all_large_answers_get_through_one_after_another_and_none_is_dropped():
    connections = Connections()
    for _ in range(SOURCES * ANSWER // PART):
        for source in connections.sources:
            connections.receive(source)
    assert connections.ended == SOURCES
    assert not any(source.collector.dropped for source in connections.sources)
    assert not connections.reading.waiting
    assert not connections.reading.reading


@pytest.mark.parametrize("part", [0, 100])
def test_no_answer_waits_for_one_that_arrives_slowly(part):
    connections = Connections(count=2)
    slow, other = connections.sources
    connections.receive(slow, int(LIMIT * INCOMPLETE_FRACTION))
    connections.receive(other)
    assert other.paused
    for _ in range(10):
        connections.now += 0.1
        connections.receive(slow, part)
        connections.reading.resume()
    assert not other.paused
    for _ in range(ANSWER // PART):
        connections.receive(other)
    assert other.exchange is None


def test_small_answers_never_wait():
    connections = Connections(count=1_000)
    for source in connections.sources[:200]:
        connections.receive(source)
    for source in connections.sources[200:]:
        connections.receive(source, SMALL_BYTES // 16)
        assert not source.paused


def test_an_answer_waits_for_the_relay_that_asked_alone():
    connections = Connections()
    slow, other = connections.sources[:2]
    connections.unsent[slow.exchange] = int(LIMIT * UNSENT_FRACTION) + 1
    for _ in range(3):
        connections.receive(slow)
        connections.receive(other)
    assert slow.paused
    assert not other.paused
    connections.unsent[slow.exchange] = 0
    connections.reading.resume()
    assert not slow.paused


@REPEATABLE
@given(
    st.lists(
        st.tuples(
            st.integers(0, SOURCES - 1),
            st.sampled_from(["part", "part", "part", "end", "stuck", "taken", "late"]),
        ),
        max_size=300,
    )
)
def test_some_answer_can_always_be_read_on(steps):
    connections = Connections()
    reading = connections.reading
    for number, step in steps:
        source = connections.sources[number]
        if step == "part":
            connections.receive(source)
        elif step == "end":
            connections.end(source)
        elif step == "late":
            connections.now += 0.3
            reading.resume()
        else:
            stuck = LIMIT if step == "stuck" else 0
            connections.unsent[number] = stuck
            reading.resume()
        assert {each for each in connections.sources if each.paused} == set(
            reading.waiting
        )
        free = [e for e, n in reading.waiting.items() if not connections.unsent[n]]
        assert reading.reading or not free or step not in ("late", "end", "taken")
        total = connections.budget.total
        assert total <= LIMIT * INCOMPLETE_FRACTION + SOURCES * PART + ANSWER

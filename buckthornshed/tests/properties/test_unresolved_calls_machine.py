"""State machine of calls over connections that end, become silent and are replaced."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from buckthornshed.coordination.relay.retries import unresolved_calls
from buckthornshed.coordination.relay.retries.unresolved_calls import (
    HOLD_S,
    PROMPT_S,
    ReceivedCalls,
    UnresolvedCalls,
)

CALLER, RECEIVER = "10.0.0.1", "10.0.0.2"
CALLER_STARTED = 1


class Connection:
    """What was sent on one connection and has not arrived; it keeps the order."""

    def __init__(self, receiver_started):
        self.receiver_started = receiver_started
        self.on_the_way = []
        self.replaced = False


class CallsMachine(RuleBasedStateMachine):
    """A caller, a receiver that may restart, and all connections between them."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.unresolved = UnresolvedCalls()
        self.receiver_started = 1
        self.received = ReceivedCalls()
        self.received.greet(CALLER, CALLER_STARTED)
        self.arrived = set()
        self.unreceived = set()
        self.ended = set()
        self.next_exchange = 1
        self.connections = [Connection(1)]
        self.pending = []

    @property
    def current(self):
        return self.connections[-1]

    @rule()
    def send(self):
        self.current.on_the_way.append(self.next_exchange)
        self.pending.append(self.next_exchange)
        self.next_exchange += 1

    @rule(index=st.integers(0, 5), count=st.integers(1, 4))
    def arrive(self, index, count):
        """Let the next calls of any connection arrive, also of an ended one."""
        connection = self.connections[index % len(self.connections)]
        alive = connection.receiver_started == self.receiver_started
        if connection.replaced or not alive:
            return
        for exchange in connection.on_the_way[:count]:
            self.received.record(CALLER, CALLER_STARTED, exchange)
            self.arrived.add(exchange)
        del connection.on_the_way[:count]

    @rule(others=st.integers(1, 3))
    def forget(self, others):
        """Let the receiver's table overflow by other callers."""
        for number in range(others):
            self.received.greet(f"10.0.1.{number}", self.next_exchange)

    @rule(started=st.integers(2, 3), exchange=st.integers(1, 50))
    def call_of_another_incarnation(self, started, exchange):
        self.received.greet(CALLER, started)
        self.received.record(CALLER, started, exchange)

    @rule()
    def restart_receiver(self):
        self.receiver_started += 1
        self.received = ReceivedCalls()

    @rule(greets=st.booleans())
    def connect_again(self, greets):
        """End the connection at the caller; what was sent on it may still arrive."""
        started = self.current.receiver_started
        self.unresolved.hold(self.now, RECEIVER, started, self.pending)
        self.pending = []
        self.connections.append(Connection(self.receiver_started))
        if greets:
            self.greet()

    def greet(self):
        for each in self.connections[:-1]:
            if each.receiver_started == self.receiver_started:
                each.replaced = True
        lost, unreceived = self.unresolved.resolve(
            RECEIVER,
            self.receiver_started,
            self.received.greet(CALLER, CALLER_STARTED),
        )
        self.ended |= set(lost)
        self.unreceived |= set(unreceived)

    @rule(odd=st.booleans())
    def retry_late_calls(self, odd):
        """Send some calls again without news, as an idempotent one may run twice."""
        self.now += PROMPT_S
        for instance, late in self.unresolved.late(self.now).items():
            waiting = [exchange for exchange in late if exchange % 2 == odd]
            self.unresolved.keep(instance, waiting)
            self.ended |= set(late) - set(waiting)

    @precondition(lambda self: self.unresolved.by_instance)
    @rule()
    def wait(self):
        self.now += HOLD_S
        for lost in self.unresolved.take_expired(self.now).values():
            self.ended |= set(lost)
        assert not self.unresolved.by_instance

    @invariant()
    def no_call_that_is_sent_again_arrives(self):
        assert not self.unreceived & self.arrived

    @invariant()
    def each_call_ends_once(self):
        assert not self.unreceived & self.ended


@pytest.fixture(autouse=True)
def small_table(monkeypatch):
    monkeypatch.setattr(unresolved_calls, "MAX_SENDERS", 3)


CallsMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=30)
TestCalls = CallsMachine.TestCase


# Guards against a second run: what is no longer remembered may have been received.
def test_what_is_not_remembered_counts_as_received():
    received = ReceivedCalls()
    assert received.greet(CALLER, CALLER_STARTED) == unresolved_calls.ALL_RECEIVED
    received.record(CALLER, CALLER_STARTED, 7)
    assert received.greet(CALLER, CALLER_STARTED) == 7
    for number in range(unresolved_calls.MAX_SENDERS):
        received.greet(f"10.0.2.{number}", 1)
    received.record(CALLER, CALLER_STARTED, 8)
    assert received.greet(CALLER, CALLER_STARTED) == unresolved_calls.ALL_RECEIVED


# Guards against a second run: bytes of an earlier incarnation may come late.
def test_a_call_of_an_earlier_incarnation_hides_none_of_the_present_one():
    received = ReceivedCalls()
    for started in (CALLER_STARTED, CALLER_STARTED + 1):
        received.greet(CALLER, started)
    received.record(CALLER, CALLER_STARTED + 1, 7)
    received.record(CALLER, CALLER_STARTED, 3)
    assert received.greet(CALLER, CALLER_STARTED + 1) == 7

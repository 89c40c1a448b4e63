"""Tests of a relay that another one connects to again."""

import asyncio

import pytest

from buckthornshed.protocol.relay_frames import FrameReader, FrameWriter
from buckthornshed.protocol.relay_messages import CallMessage, Hello, Welcome
from buckthornshed.transport.relay.counts import RelayCounts
from buckthornshed.transport.relay.peers import peer_connections
from buckthornshed.transport.relay.peers.peer_connections import PeerSession
from buckthornshed.transport.relay.peers.peer_links import PeerLinks

from .fleet import ManualClock
from .makers import make_message
from .test_peer_link_cost import IdleHandler, Loop

CALLER = Hello("a", 1, "10.0.0.1", True)


class CallHandler(IdleHandler):
    """Notes the calls that arrive, and the sessions that end."""

    def __init__(self):
        super().__init__()
        self.calls = []

    def handle_session_message(self, session, message):
        if isinstance(message, CallMessage):
            self.calls.append(message.exchange)


class Connection(asyncio.Transport):
    """The other end of a session."""

    def __init__(self, links, number):
        super().__init__()
        self.reader = FrameReader()
        self.writer = FrameWriter()
        self.received = []
        self.aborted = False
        self.session = PeerSession(links=links, number=number)
        self.session.connection_made(self)

    def write(self, data):
        self.received += self.reader.feed(data)

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True

    def send(self, *messages):
        for message in messages:
            self.writer.add(message)
        self.session.data_received(self.writer.flush())

    @property
    def welcomes(self):
        return [each for each in self.received if isinstance(each, Welcome)]


class Receiver:
    """A relay that others connect to."""

    def __init__(self):
        self.handler = CallHandler()
        self.links = PeerLinks(
            hello=Hello("b", 5, "10.0.0.2", True),
            port=1,
            handler=self.handler,
            clock=ManualClock(),
            counts=RelayCounts(),
        )

    def accept(self, number):
        return Connection(self.links, number)


@pytest.fixture(autouse=True)
def run_at_once(monkeypatch):
    monkeypatch.setattr(peer_connections.asyncio, "get_running_loop", Loop)


@pytest.fixture
def receiver():
    return Receiver()


def call(exchange):
    return make_message(exchange=exchange)


def test_a_relay_that_connects_again_hears_which_calls_have_arrived(receiver):
    first, second = receiver.accept(1), receiver.accept(2)
    first.send(CALLER, call(3), call(4))
    second.send(CALLER)
    assert [each.last_exchange for each in second.welcomes] == [4]
    assert first.aborted and not second.aborted


# Guards against a second run of a call that was said not to have arrived.
def test_calls_that_arrive_on_an_earlier_connection_do_not_run(receiver):
    first, second = receiver.accept(1), receiver.accept(2)
    first.send(CALLER, call(3))
    second.send(CALLER)
    first.send(call(4))
    second.send(call(5))
    assert receiver.handler.calls == [3, 5]


def test_a_connection_whose_first_message_is_late_does_not_replace_a_later_one(
    receiver,
):
    first, second = receiver.accept(1), receiver.accept(2)
    second.send(CALLER, call(5))
    first.send(CALLER, call(3))
    assert first.aborted and not second.aborted
    assert receiver.handler.calls == [5]
    assert not first.welcomes


def test_another_incarnation_and_another_relay_replace_nothing(receiver):
    connections = [receiver.accept(number) for number in range(1, 4)]
    connections[0].send(CALLER)
    connections[1].send(Hello("a", 2, "10.0.0.1", True))
    connections[2].send(Hello("c", 1, "10.0.0.3", True))
    assert not any(each.aborted for each in connections)


# Guards against messages that relays of the last landing do not know.
def test_a_relay_that_expects_no_welcome_gets_none(receiver):
    connection = receiver.accept(1)
    connection.send(Hello("a", 1, "10.0.0.1"), call(3))
    assert connection.received == []
    assert receiver.handler.calls == [3]

"""Tests that the work of a relay for its links does not grow with the fleet."""

import asyncio

import pytest

from buckthornshed.coordination.relay.placement.load_balancer import Availability
from buckthornshed.protocol.relay_frames import FrameReader
from buckthornshed.protocol.relay_messages import Hello, Ping, Pong
from buckthornshed.transport.relay.counts import RelayCounts
from buckthornshed.transport.relay.fleet.status_exchange import STATUS_RECIPIENTS
from buckthornshed.transport.relay.peers import peer_connections
from buckthornshed.transport.relay.peers.peer_connections import (
    PING_AFTER_S,
    PING_TIMEOUT_S,
    PeerLink,
)
from buckthornshed.transport.relay.peers.peer_links import PeerLinks

from .fleet import ManualClock
from .makers import make_message

TICK_S = 0.025
SMALL, LARGE = 30, 200


class FakeTransport(asyncio.Transport):
    """Counts the messages that are written to it."""

    def __init__(self):
        super().__init__()
        self.reader = FrameReader()
        self.received = []

    def write(self, data):
        self.received += self.reader.feed(data)

    def is_closing(self):
        return False

    def abort(self):
        pass

    @property
    def pings(self):
        return sum(isinstance(message, Ping) for message in self.received)


class IdleHandler:
    """Notes the links that become silent."""

    def __init__(self):
        self.silent = []

    def handle_session_message(self, session, message):
        pass

    def handle_session_loss(self, session):
        pass

    def handle_new_link(self, instance):
        pass

    def handle_new_session(self, instance):
        pass

    def handle_link_message(self, instance, message):
        pass

    def handle_silent_link(self, instance):
        self.silent.append(instance)

    def handle_link_loss(self, instance, exchanges):
        pass

    def retry_lost_calls(self, exchanges):
        return exchanges

    def handle_lost_calls(self, instance, resolution):
        pass


class Loop:
    """Runs what a link schedules at once."""

    def call_soon(self, callback, *arguments):
        callback(*arguments)


class LinkedRelay:
    """A relay with links to peers that answer every ping, unless they are cut off."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.handler = IdleHandler()
        self.links = PeerLinks(
            hello=Hello("a", 1),
            port=1,
            handler=self.handler,
            clock=self.clock,
            counts=RelayCounts(),
        )
        self.transports = {}
        self.cut_off = set()
        for number in range(count):
            name = f"10.0.{number // 250}.{number % 250}"
            link = PeerLink(links=self.links, instance=name)
            self.transports[name] = FakeTransport()
            link.connection_made(self.transports[name])
            self.links.links[name] = link

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            answered = {name: each.pings for name, each in self.transports.items()}
            self.links.tick(self.clock())
            for name, link in list(self.links.links.items()):
                asked = self.transports[name].pings > answered[name]
                if asked and name not in self.cut_off:
                    link.last_received_at, link.pinged_at = self.clock(), None
                    link.links.handler.handle_link_message(name, Pong(0.0))

    @property
    def pings(self):
        return sum(each.pings for each in self.transports.values())


@pytest.fixture(autouse=True)
def run_at_once(monkeypatch):
    monkeypatch.setattr(peer_connections.asyncio, "get_running_loop", Loop)


def pings_of(count, seconds=10.0):
    relay = LinkedRelay(count)
    relay.run(seconds)
    return relay.pings


def test_pings_of_idle_links_do_not_grow_with_the_fleet():
    assert pings_of(LARGE) <= 1.15 * pings_of(SMALL)


def test_a_link_with_a_pending_call_is_checked_as_often_in_a_large_fleet():
    relay = LinkedRelay(LARGE)
    relay.run(1.0)
    name = next(iter(relay.links.links))
    relay.cut_off.add(name)
    assert relay.links.send(name, make_message())
    relay.run(PING_AFTER_S + PING_TIMEOUT_S + 3 * TICK_S)
    assert relay.links.availability(name) is Availability.DOWN


def test_a_silent_link_makes_a_relay_check_all_others():
    """Replays a cut of a failure domain while one call is pending there."""
    relay = LinkedRelay(LARGE)
    relay.run(1.0)
    names = list(relay.links.links)
    relay.cut_off = set(names[::6])
    relay.links.send(names[0], make_message())
    detection = PING_AFTER_S + PING_TIMEOUT_S
    relay.run(detection + PING_TIMEOUT_S + 6 * TICK_S)
    assert not relay.cut_off & relay.links.links.keys()
    assert len(relay.links.links) == LARGE - len(relay.cut_off)


def test_statuses_of_a_relay_do_not_grow_with_the_fleet_and_reach_everyone():
    relay = LinkedRelay(LARGE)
    for _ in range(20):
        relay.links.broadcast_in_turn(Pong(0.0), STATUS_RECIPIENTS)
    received = [
        sum(isinstance(message, Pong) for message in transport.received)
        for transport in relay.transports.values()
    ]
    assert sum(received) == 20 * STATUS_RECIPIENTS
    assert max(received) - min(received) <= 1


def test_in_a_small_fleet_everyone_gets_each_status():
    relay = LinkedRelay(STATUS_RECIPIENTS)
    relay.links.broadcast_in_turn(Pong(0.0), STATUS_RECIPIENTS)
    assert all(
        isinstance(transport.received[-1], Pong)
        for transport in relay.transports.values()
    )


def test_a_relay_checks_a_peer_that_another_relay_has_found_silent():
    relay = LinkedRelay(LARGE)
    relay.run(1.0)
    first, second = list(relay.links.links)[:2]
    relay.cut_off = {first, second}
    relay.links.links[first].last_received_at -= PING_AFTER_S
    relay.links.check(first, relay.clock())
    relay.run(PING_TIMEOUT_S + 2 * TICK_S)
    assert relay.links.availability(first) is Availability.DOWN
    assert relay.handler.silent == []
    relay.run(PING_TIMEOUT_S + 2 * TICK_S)
    assert relay.handler.silent == [second]

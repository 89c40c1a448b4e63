"""Tests of links on which a ping stays unanswered for a moment."""

from types import SimpleNamespace
from typing import Any, cast

import pytest

from buckthornshed.protocol.relay_frames import FrameWriter
from buckthornshed.protocol.relay_messages import Ping
from buckthornshed.transport.relay.counts import RelayCounts
from buckthornshed.transport.relay.peers.peer_connections import (
    PING_TIMEOUT_S,
    SILENT_AFTER_S,
    PeerLink,
)

TICK_S = 0.025
FAR_S = 0.2
"""Round trip of a slow network."""


class SilentLinkParts:
    """A link whose other end answers what the test says."""

    def __init__(self):
        self.now = 10.0
        self.lost: list[PeerLink] = []
        links: Any = SimpleNamespace(
            clock=lambda: self.now,
            counts=RelayCounts(),
            link_closed=self.lost.append,
            check_all=lambda _: None,
            handler=SimpleNamespace(
                handle_link_message=lambda *_: None,
                handle_silent_link=lambda _: None,
            ),
        )
        self.link = cast(Any, PeerLink(links=links, instance="10.0.0.2"))
        self.link.transport = SimpleNamespace(abort=lambda: None)
        self.link.outbox.send = lambda *_: None
        self.link.last_received_at = self.now

    def wait(self, seconds):
        """Let ticks pass; return after how many seconds the link first was silent."""
        begin = self.now
        silent = None
        while self.now < begin + seconds:
            self.now += TICK_S
            self.link.tick(self.now, paused=False, idle_interval=0.3)
            if silent is None and self.link.is_silent(self.now):
                silent = self.now - begin
        return silent

    def answer(self, after):
        """Send a ping, and receive data some seconds later."""
        self.link.ping(self.now)
        silent = self.wait(after)
        writer = FrameWriter()
        writer.add(Ping())
        self.link.data_received(writer.flush())
        return silent


def test_a_link_is_silent_before_it_counts_as_failed_and_until_data_arrives():
    parts = SilentLinkParts()
    assert parts.answer(0.01) is None
    assert parts.answer(0.4) == pytest.approx(SILENT_AFTER_S, abs=2 * TICK_S)
    assert not parts.link.is_silent(parts.now) and not parts.lost


def test_a_silent_link_fails_as_before():
    parts = SilentLinkParts()
    parts.link.ping(parts.now)
    parts.wait(PING_TIMEOUT_S - TICK_S)
    assert not parts.lost
    parts.wait(3 * TICK_S)
    assert parts.lost == [parts.link]


# Guards against a slow network that is taken for a silent one.
def test_a_link_with_long_round_trips_is_not_silent_while_they_last():
    parts = SilentLinkParts()
    assert parts.answer(FAR_S) is not None
    for _ in range(20):
        assert parts.answer(FAR_S) is None
    for _ in range(60):
        parts.answer(0.01)
    assert parts.answer(0.4) == pytest.approx(SILENT_AFTER_S, abs=2 * TICK_S)

"""Single connections between relays.

A relay opens one connection, the link, to each other relay and sends its calls on it. A
connection that another relay opened is a session. Answers return on the connection of
their call.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol, cast

from ....coordination.relay.retries.unresolved_calls import Resolution
from ....errors import PeerError
from ....protocol.relay_frames import FrameReader, FrameWriter
from ....protocol.relay_messages import (
    AnswerMessage,
    CallMessage,
    Hello,
    Ping,
    RefusalMessage,
    RelayMessage,
    Welcome,
)
from ...logs import log_event
from ..counts import RelayCounts

__all__ = [
    "PING_AFTER_S",
    "PING_TIMEOUT_S",
    "PeerHandler",
    "PeerLink",
    "PeerSession",
]

PING_AFTER_S = 0.3
"""Time without received data after which a ping is sent."""
PING_TIMEOUT_S = 0.6
"""Time without received data after a ping at which a link counts as failed."""
SILENT_AFTER_S = 0.15
"""Time without received data after a ping at which other targets are preferred."""
SILENT_ROUND_TRIPS = 3.0
"""The same, in round trips of the link, on slow networks."""
ROUND_TRIP_DECAY = 0.9
"""Part of an earlier, longer round trip that still counts at the next one."""


class PeerHandler(Protocol):
    """Handles messages of other relays and changes of connections."""

    def handle_session_message(
        self, session: "PeerSession", message: RelayMessage
    ) -> None:
        """Handle a message on a connection that another relay opened."""

    def handle_session_loss(self, session: "PeerSession") -> None:
        """Handle the end of a connection that another relay opened."""

    def handle_new_session(self, instance: str) -> None:
        """Handle the `Hello` on a connection that another relay opened."""

    def handle_link_message(self, instance: str, message: RelayMessage) -> None:
        """Handle a message on a connection that this relay opened."""

    def handle_new_link(self, instance: str) -> None:
        """Handle a new connection that this relay opened."""

    def handle_silent_link(self, instance: str) -> None:
        """Handle a relay that does not answer, unless another relay said so."""

    def handle_link_loss(self, instance: str, exchanges: list[int]) -> None:
        """Handle the end of a connection that this relay opened.

        `exchanges` identifies the calls that were pending on it.
        """

    def retry_lost_calls(self, exchanges: list[int]) -> list[int]:
        """Send calls on a connection that has ended again; return those that wait."""

    def handle_lost_calls(self, instance: str, resolution: Resolution) -> None:
        """Handle the end of calls on a connection that has ended."""


class ConnectionRegistry(Protocol):
    """What a connection needs to know and to tell of all connections of its relay."""

    hello: Hello
    clock: Callable[[], float]
    handler: PeerHandler
    counts: RelayCounts
    sessions: set["PeerSession"]

    def count_session(self, instance: str, change: int) -> None:
        """Count the begin or the end of a session of an instance."""

    def replace_sessions(self, session: "PeerSession") -> int:
        """End the earlier sessions of the same relay; return its last call on them."""

    def record_call(self, session: "PeerSession", exchange: int) -> None:
        """Record that a call has arrived on a session."""

    def resolve_calls(self, link: "PeerLink", welcome: Welcome) -> None:
        """Decide on the calls of an earlier link to the same instance."""

    def retry_now(self, instance: str) -> None:
        """Retry the link to an instance at once, because its relay is known to run."""

    def check_all(self, now: float) -> None:
        """Ping all links that were idle, as one has failed and others may have."""

    def link_closed(self, link: "PeerLink") -> None:
        """Remove a link that has ended and report its pending calls."""


MAX_BATCH_BYTES = 262_144
"""Bytes of messages that are written together."""


class Outbox:
    """Batches the messages of one iteration of the event loop into one write."""

    def __init__(self, *, counts: RelayCounts) -> None:
        self.counts = counts
        self.writer = FrameWriter()
        self.scheduled = False

    def send(self, transport: asyncio.Transport, message: RelayMessage) -> None:
        """Send a message with the next iteration of the event loop.

        Many large ones would take much memory until then, so they are written at once.
        """
        self.writer.add(message)
        self.counts.peer_messages["sent", type(message).__name__] += 1
        if self.writer.size > MAX_BATCH_BYTES:
            self._write(transport)
        elif not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_soon(self.flush, transport)

    def flush(self, transport: asyncio.Transport) -> None:
        """Write the messages that wait."""
        self.scheduled = False
        if self.writer.size:
            self._write(transport)

    def _write(self, transport: asyncio.Transport) -> None:
        data = self.writer.flush()
        self.counts.peer_bytes["sent",] += len(data)
        if not transport.is_closing():
            transport.write(data)


def read_messages(
    reader: FrameReader, data: bytes, counts: RelayCounts
) -> list[RelayMessage]:
    """Return and count the messages that received bytes complete.

    Raises
    ------
    PeerError
        If the bytes cannot be read.
    """
    counts.peer_bytes["received",] += len(data)
    messages = reader.feed(data)
    for message in messages:
        counts.peer_messages["received", type(message).__name__] += 1
    return messages


class PeerSession(asyncio.Protocol):
    """Connection that another relay opened.

    Attributes
    ----------
    name : str
        Name of the other relay's instance, empty until its `Hello` has arrived.
    instance : str
        IP address of the other relay's instance, empty until then.
    started : int
        Start of the other relay in Unix milliseconds, 0 until then.
    replaced : bool
        Whether the other relay has connected again, so that nothing more is read.
    """

    def __init__(self, *, links: ConnectionRegistry, number: int) -> None:
        self.links = links
        self.number = number
        self.name = ""
        self.instance = ""
        self.started = 0
        self.replaced = False
        self.reader = FrameReader()
        self.outbox = Outbox(counts=links.counts)
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and retry the link to the same instance at once."""
        # uvloop's transports do not derive from the classes of asyncio.
        self.transport = cast(asyncio.Transport, transport)
        self.links.sessions.add(self)
        peer = transport.get_extra_info("peername")
        if peer is not None:
            self.links.retry_now(peer[0])

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        self.transport = None
        self.links.sessions.discard(self)
        self.links.count_session(self.instance, -1)
        self.links.handler.handle_session_loss(self)

    def data_received(self, data: bytes) -> None:
        """Decode received data and handle the complete messages."""
        if self.replaced:
            return
        try:
            messages = read_messages(self.reader, data, self.links.counts)
        except PeerError as error:
            log_event("peer_message_unreadable", peer=self.name, error=str(error))
            if self.transport is not None:
                self.transport.abort()
            return
        for message in messages:
            if isinstance(message, Hello):
                self._introduce(message)
                if self.replaced:
                    return
                continue
            if isinstance(message, CallMessage):
                self.links.record_call(self, message.exchange)
            self.links.handler.handle_session_message(self, message)

    def _introduce(self, hello: Hello) -> None:
        self.name = hello.name
        if self.instance:
            return
        self.instance = hello.instance
        self.started = hello.started
        self.links.count_session(self.instance, 1)
        if hello.expects_welcome:
            last = self.links.replace_sessions(self)
            if self.replaced:
                return
            self.send(Welcome(self.links.hello.started, last))
        self.links.handler.handle_new_session(self.instance)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the other relay has not taken yet."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def replace(self) -> None:
        """End the connection at once, as the other relay uses another one."""
        self.replaced = True
        if self.transport is not None:
            self.transport.abort()

    def send(self, message: RelayMessage) -> None:
        """Send a message, unless the connection has ended."""
        if self.transport is not None:
            self.outbox.send(self.transport, message)


class PeerLink(asyncio.Protocol):
    """Connection that this relay opened to an instance, named by its IP address.

    Attributes
    ----------
    exchanges : set of int
        Calls whose answers are pending.
    draining : bool
        Whether the other relay has sent a `DrainNotice`.
    reported_silent : bool
        Whether another relay has said that this one does not answer.
    peer_started : int or None
        Start of the other relay in Unix milliseconds; None until its `Welcome`.
    round_trip : float
        Time from a ping to the next data of the other relay, in seconds.
    """

    def __init__(self, *, links: ConnectionRegistry, instance: str) -> None:
        self.links = links
        self.instance = instance
        self.reader = FrameReader()
        self.outbox = Outbox(counts=links.counts)
        self.transport: asyncio.Transport | None = None
        self.exchanges: set[int] = set()
        self.last_received_at = 0.0
        self.pinged_at: float | None = None
        self.draining = False
        self.reported_silent = False
        self.peer_started: int | None = None
        self.round_trip = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the `Hello` of this relay."""
        self.transport = cast(asyncio.Transport, transport)
        self.last_received_at = self.links.clock()
        self.send(self.links.hello)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection and the pending calls."""
        if self.transport is None:
            return
        self.transport = None
        self.links.link_closed(self)

    def data_received(self, data: bytes) -> None:
        """Decode received data and handle the complete messages."""
        self.last_received_at = self.links.clock()
        if self.pinged_at is not None:
            measured = self.last_received_at - self.pinged_at
            self.round_trip = max(measured, ROUND_TRIP_DECAY * self.round_trip)
        self.pinged_at = None
        self.reported_silent = False
        try:
            messages = read_messages(self.reader, data, self.links.counts)
        except PeerError as error:
            log_event("peer_message_unreadable", peer=self.instance, error=str(error))
            self.abort()
            return
        for message in messages:
            if isinstance(message, Welcome):
                self.peer_started = message.started
                self.links.resolve_calls(self, message)
                continue
            if isinstance(message, AnswerMessage | RefusalMessage):
                if message.exchange not in self.exchanges:
                    log_event(
                        "peer_answer_discarded",
                        peer=self.instance,
                        exchange=message.exchange,
                    )
                    continue
                self.exchanges.discard(message.exchange)
            self.links.handler.handle_link_message(self.instance, message)

    def send(self, message: RelayMessage) -> None:
        """Send a message."""
        assert self.transport is not None
        if isinstance(message, CallMessage):
            self.exchanges.add(message.exchange)
        self.outbox.send(self.transport, message)

    def tick(self, now: float, *, paused: bool, idle_interval: float) -> None:
        """Send a ping if no data arrives; abort the connection if it stays unanswered.

        `paused` means that this process was paused since the last tick; the timeout of
        a pending ping then starts anew. `idle_interval` is the time without received
        data, in seconds, after which a link without a pending call is pinged.
        """
        if self.transport is None:
            return
        if paused and self.pinged_at is not None:
            self.pinged_at = now
        ping_after = PING_AFTER_S if self.exchanges else idle_interval
        if self.pinged_at is not None:
            if now - self.pinged_at > PING_TIMEOUT_S:
                log_event("peer_silent", peer=self.instance)
                self.abort()
                self.links.check_all(now)
                if not self.reported_silent:
                    self.links.handler.handle_silent_link(self.instance)
        elif now - self.last_received_at > ping_after:
            self.ping(now)

    def is_silent(self, now: float) -> bool:
        """Return whether the other relay leaves a ping unanswered for a moment."""
        if self.pinged_at is None:
            return False
        allowed = max(SILENT_AFTER_S, SILENT_ROUND_TRIPS * self.round_trip)
        return now - self.pinged_at > allowed

    def ping(self, now: float) -> None:
        """Send a ping, unless one is unanswered."""
        if self.transport is not None and self.pinged_at is None:
            self.pinged_at = now
            self.send(Ping())

    def close(self) -> None:
        """Close the connection after what was sent on it."""
        transport, self.transport = self.transport, None
        if transport is not None:
            self.outbox.flush(transport)
            transport.close()
            self.links.link_closed(self)

    def abort(self) -> None:
        """Close the connection without sending buffered data."""
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()
            self.links.link_closed(self)

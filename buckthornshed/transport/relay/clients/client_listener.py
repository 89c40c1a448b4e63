"""HTTP/1.1 server for clients and the local target, with pipelining.

Pipelined requests of one connection are handled concurrently and answered in the order
of their arrival.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

import httptools

from ....protocol.http import Request
from ....state.catalog import Limits
from ...buffer_budget import BufferBudget
from ...http_parsing import (
    MessageCollector,
    MessageParser,
    ParserError,
    framing_fault,
)

__all__ = ["ClientListener", "Exchange", "RequestHandler", "ServerConnection"]

MAX_PIPELINED = 32
"""Unanswered requests of one connection at which reading is paused."""
LINGER_S = 1.0
"""Time for which a connection is still read after its last response.

Closing a socket with unread data sends a reset, which can discard the response.
"""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Exchange:
    """One request of a connection and the bytes of its response."""

    __slots__ = ("close", "connection", "head_only", "response", "token")

    def __init__(
        self, *, connection: "ServerConnection", token: int, head_only: bool
    ) -> None:
        self.connection = connection
        self.token = token
        self.head_only = head_only
        self.close = False
        self.response: bytes | None = None


class RequestHandler(Protocol):
    """Handler of the events of client connections."""

    def handle_request(self, exchange: Exchange, request: Request) -> None:
        """Handle a complete request."""

    def handle_disconnect(self, exchange: Exchange) -> None:
        """Handle the end of a connection with an unanswered request."""

    def handle_rejection(self, status: int, detail: str) -> bytes:
        """Return the response to an invalid request."""


class ServerConnection(asyncio.Protocol):
    """One connection of a client.

    Parameters
    ----------
    listener : ClientListener
        The listener that accepted it.
    """

    def __init__(self, *, listener: "ClientListener") -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.exchanges: deque[Exchange] = deque()
        self.closing = False
        self.paused = False
        self.closed_at: float | None = None
        self.request_started_at: float | None = None
        self.idle_since = 0.0
        self.collector = MessageCollector(
            max_body_bytes=listener.limits.body_bytes,
            on_message=self._message_complete,
            on_head=self._head_complete,
            max_head_bytes=listener.limits.head_bytes,
            buffers=listener.buffers,
        )
        self.parser = httptools.HttpRequestParser(self.collector)
        self.feed = MessageParser(parser=self.parser, collector=self.collector).feed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        # uvloop's transports do not derive from the classes of asyncio.
        self.transport = cast(asyncio.Transport, transport)
        if len(self.listener.connections) >= self.listener.max_connections:
            self.closing = True
            self.transport.abort()
            return
        self.idle_since = self.listener.clock()
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the unanswered requests of the closed connection."""
        self.listener.connections.discard(self)
        self.collector.reset()
        self.transport = None
        remaining, self.exchanges = self.exchanges, deque()
        for exchange in remaining:
            if exchange.response is None:
                self.listener.handler.handle_disconnect(exchange)

    def eof_received(self) -> bool:
        """Let the transport close; a half-closed connection counts as disconnected."""
        return False

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser."""
        if self.closing:
            return
        if self.request_started_at is None:
            self.request_started_at = self.listener.clock()
            self.collector.max_head_bytes = self.listener.limits.head_bytes
            self.collector.max_body_bytes = self.listener.limits.body_bytes
        try:
            self.feed(data)
        except httptools.HttpParserUpgrade:
            # The server ignores a requested upgrade, RFC 9110 section 7.8.
            self.closing = True
        except ParserError as error:
            self._reject(400, str(error))
        else:
            if self.collector.too_large and not self.collector.complete:
                self._reject_too_large()

    def respond(self, exchange: Exchange, data: bytes, *, close: bool) -> None:
        """Write the response of an exchange after those of earlier exchanges."""
        exchange.response = data
        exchange.close = close
        if close:
            # Requests that arrive from now on are ignored.
            self.closing = True
        if not self.exchanges or self.exchanges[0].response is None:
            return
        ready = []
        while self.exchanges and self.exchanges[0].response is not None:
            answered = self.exchanges.popleft()
            assert answered.response is not None
            ready.append(answered.response)
            if answered.close:
                self._drop_later_requests()
        if self.transport is None:
            return
        self.transport.write(b"".join(ready))
        if self.closing and not self.exchanges:
            self._close()
            return
        self.idle_since = self.listener.clock()
        if self.paused and len(self.exchanges) < MAX_PIPELINED:
            self.paused = False
            self.transport.resume_reading()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that the client has not taken yet."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def is_last(self, exchange: Exchange) -> bool:
        """Whether an exchange has the latest request of the connection."""
        return bool(self.exchanges) and self.exchanges[-1] is exchange

    def close_if_idle(self) -> None:
        """Close unless a request is in progress or partly received."""
        if not self.exchanges and self.request_started_at is None:
            self._close()

    def _drop_later_requests(self) -> None:
        """Drop requests that follow a response that closes the connection."""
        self.closing = True
        remaining, self.exchanges = self.exchanges, deque()
        for exchange in remaining:
            if exchange.response is None:
                self.listener.handler.handle_disconnect(exchange)

    def _close(self) -> None:
        self.closing = True
        if self.transport is None or self.closed_at is not None:
            return
        self.closed_at = self.listener.clock()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.listener.lingering.append(self)

    def _head_complete(self) -> None:
        if self.collector.too_large or self.exchanges:
            return
        for name, value in self.collector.pairs:
            if name == b"expect" and value.lower() == b"100-continue":
                assert self.transport is not None
                self.transport.write(CONTINUE)

    def _message_complete(self) -> None:
        if self.closing:
            return
        self.request_started_at = None
        fault = framing_fault(self.collector.headers)
        if fault is not None:
            self._reject(400, fault)
            return
        if self.collector.too_large:
            self._reject_too_large()
            return
        if not self.parser.should_keep_alive():
            self.closing = True
        method = self.parser.get_method()
        self.listener.next_token += 1
        exchange = Exchange(
            connection=self,
            token=self.listener.next_token,
            head_only=method == b"HEAD",
        )
        self.exchanges.append(exchange)
        if (
            len(self.exchanges) >= MAX_PIPELINED
            and not self.paused
            and self.transport is not None
        ):
            self.paused = True
            self.transport.pause_reading()
        request = Request(
            method, self.collector.url, self.collector.headers, self.collector.body
        )
        self.collector.reset()
        self.listener.handler.handle_request(exchange, request)

    def _reject_too_large(self) -> None:
        if self.collector.dropped:
            # The request itself is within the limits, and may be sent again.
            self._reject(503, "requests take too much memory")
            return
        in_head = not self.collector.head_complete
        self._reject(431 if in_head else 413, "request exceeds a size limit")

    def _reject(self, status: int, detail: str) -> None:
        if self.closing:
            return
        data = self.listener.handler.handle_rejection(status, detail)
        self.listener.next_token += 1
        exchange = Exchange(
            connection=self, token=self.listener.next_token, head_only=False
        )
        self.exchanges.append(exchange)
        self.closing = True
        self.respond(exchange, data, close=True)

    def check_timeouts(self, now: float, limits: Limits) -> None:
        """Reject a request that arrives too slowly; close an idle connection."""
        if (
            self.request_started_at is not None
            and now - self.request_started_at > limits.head_timeout
        ):
            self._reject(408, "request was not received within the header timeout")
        elif not self.exchanges and now - self.idle_since > limits.idle_timeout:
            self._close()


class ClientListener:
    """Accepts client connections.

    Parameters
    ----------
    handler : RequestHandler
        Handles requests.
    max_connections : int
        Connections above this number are closed immediately.
    clock : callable
        Returns seconds of the monotonic clock.
    buffers : BufferBudget, optional
        Bounds the bytes of incomplete requests.

    Attributes
    ----------
    limits : Limits
        Current limits; each request is checked against those at its start.
    """

    def __init__(
        self,
        *,
        handler: RequestHandler,
        max_connections: int,
        clock: Callable[[], float],
        buffers: BufferBudget | None = None,
    ) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.clock = clock
        self.buffers = buffers
        self.limits = Limits()
        self.connections: set[ServerConnection] = set()
        self.lingering: deque[ServerConnection] = deque()
        self.next_token = 0
        self.server: asyncio.Server | None = None

    async def open(self, address: str) -> None:
        """Listen on an address, ``ip:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, host, int(port), backlog=1_024, reuse_address=True
        )

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that clients have not taken yet."""
        return sum(connection.unsent_bytes for connection in self.connections)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def close_expired(self) -> None:
        """Close connections whose timeout or linger time has passed."""
        now = self.clock()
        for connection in list(self.connections):
            connection.check_timeouts(now, self.limits)
        while self.lingering:
            closed_at = self.lingering[0].closed_at
            if closed_at is not None and now - closed_at < LINGER_S:
                break
            transport = self.lingering.popleft().transport
            if transport is not None:
                transport.close()

    def _accept(self) -> asyncio.Protocol:
        return ServerConnection(listener=self)

"""HTTP/1.1 server connections of the data path.

The connections are asyncio protocol classes rather than anyio streams;
docs/design/data-path.md has the measurement behind this choice.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

from ..protocol.http import Request
from ..protocol.messages import refusal_answer
from ..protocol.outcome import Outcome, Reason
from .http_parsing import (
    MessageCollector,
    MessageParser,
    ParserError,
    framing_fault,
)
from .responses import client_response

__all__ = ["Listener", "ServerConnection", "ServerHandlers"]

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD_TIMEOUT_S = 10.0
MAX_BUFFERED_BYTES = 65_536
"""Bytes buffered behind a running request above which reading is paused."""


class ServerHandlers(NamedTuple):
    """Callbacks of a listener.

    Parameters
    ----------
    on_request : callable
        Receives the connection and a complete request.
    on_disconnect : callable
        Receives a connection that the caller closed before the response.
    on_rejection : callable
        Receives a description, for logs, of why the input is not a valid request.
    """

    on_request: Callable[["ServerConnection", Request], None]
    on_disconnect: Callable[["ServerConnection"], None]
    on_rejection: Callable[[str], None]


class ServerConnection(asyncio.Protocol):
    """Connection that serves one request at a time and buffers further data.

    Parameters
    ----------
    listener : Listener
        Listener that accepted the connection.
    """

    def __init__(self, *, listener: "Listener") -> None:
        self.listener = listener
        self.transport: asyncio.Transport | None = None
        self.token = 0
        self.busy = False
        self.closing = False
        self.keep_alive = True
        self.buffered = b""
        self.method = b""
        self.request_started_at: float | None = None
        self.collector = MessageCollector(
            max_body_bytes=listener.max_body_bytes,
            on_message=self._message_complete,
            on_head=self._head_complete,
        )
        self.parser = httptools.HttpRequestParser(self.collector)
        self.feed = MessageParser(parser=self.parser, collector=self.collector).feed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        # uvloop's transports do not derive from asyncio's transport classes.
        self.transport = cast(asyncio.Transport, transport)
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and report a disconnect if a request runs."""
        self.listener.connections.discard(self)
        self.transport = None
        if self.busy:
            self.busy = False
            self.listener.handlers.on_disconnect(self)

    def eof_received(self) -> bool:
        """Keep a half-closed connection open until the response is written."""
        self.closing = True
        return self.busy

    def data_received(self, data: bytes) -> None:
        """Feed the parser, or buffer the data while a request runs."""
        if self.closing:
            return
        if self.busy:
            self._buffer(data)
            return
        if self.request_started_at is None:
            self.request_started_at = self.listener.clock()
        try:
            self.feed(data)
        except httptools.HttpParserUpgrade:
            # An upgrade is optional and ignored (RFC 9110 section 7.8). The parser
            # stops after it, so the connection is closed after this request.
            self.close_when_idle()
        except ParserError as error:
            self._reject(Reason.BAD_REQUEST, str(error))
        else:
            self._check_sizes()

    def respond(self, data: bytes, *, close: bool = False) -> None:
        """Write the response to the running request."""
        if self.transport is None:
            return
        self.busy = False
        self.request_started_at = None
        self.transport.write(data)
        if close or self.closing or not self.keep_alive:
            self._close()
            return
        pending, self.buffered = self.buffered, b""
        if pending:
            self.transport.resume_reading()
            self.data_received(pending)

    def abort(self) -> None:
        """Abort the connection, so that the peer detects a truncated response."""
        if self.transport is not None:
            self.transport.abort()

    def close_when_idle(self) -> None:
        """Close the connection now, or after the response to the running request."""
        self.closing = True
        if not self.busy:
            self._close()

    def _close(self) -> None:
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    def _buffer(self, data: bytes) -> None:
        self.buffered += data
        if self.transport is not None and len(self.buffered) > MAX_BUFFERED_BYTES:
            self.transport.pause_reading()

    def _head_complete(self) -> None:
        for name, value in self.collector.pairs:
            if name == b"expect" and value.lower() == b"100-continue":
                assert self.transport is not None
                self.transport.write(CONTINUE)

    def _message_complete(self) -> None:
        if self.closing:
            return
        if self.busy:
            # This pipelined request was parsed from the same segment. The order of
            # the responses cannot be ensured, so it is not answered and the
            # connection is closed after the running request.
            self.closing = True
            return
        self.method = self.parser.get_method()
        self.keep_alive = self.parser.should_keep_alive()
        fault = framing_fault(self.collector.headers)
        if fault is not None:
            self._reject(Reason.BAD_REQUEST, fault)
            return
        if self.collector.too_large:
            self._reject(Reason.TOO_LARGE, "a message over the size limits")
            return
        self.busy = True
        request = Request(
            method=self.method,
            path=self.collector.url,
            headers=self.collector.headers,
            body=self.collector.body,
        )
        self.listener.handlers.on_request(self, request)

    def _check_sizes(self) -> None:
        if self.collector.too_large and not self.collector.complete:
            self._reject(Reason.TOO_LARGE, "a message over the size limits")

    def _reject(self, reason: Reason, detail: str) -> None:
        if self.closing:
            return
        self.closing = True
        self.listener.handlers.on_rejection(detail)
        answer = refusal_answer(exchange=0, outcome=Outcome.NOT_RUN, reason=reason)
        if self.transport is not None:
            self.transport.write(client_response(answer, detail=detail, close=True))
            self.transport.close()


class Listener:
    """Listener that accepts connections on one address.

    Parameters
    ----------
    handlers : ServerHandlers
        Callbacks for requests and connections.
    max_body_bytes : int
        Maximum size of a request body.
    max_connections : int
        Maximum number of connections; further ones are closed immediately.
    clock : callable
        Returns seconds of the monotonic clock.
    """

    def __init__(
        self,
        *,
        handlers: ServerHandlers,
        max_body_bytes: int,
        max_connections: int,
        clock: Callable[[], float],
    ) -> None:
        self.handlers = handlers
        self.max_body_bytes = max_body_bytes
        self.max_connections = max_connections
        self.clock = clock
        self.connections: set[ServerConnection] = set()
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, host, port, backlog=1_024, reuse_address=True
        )

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def close_idle(self) -> None:
        """Close each connection as soon as no request runs on it."""
        for connection in list(self.connections):
            connection.close_when_idle()

    def close_expired(self) -> None:
        """Abort connections whose request is incomplete after ``HEAD_TIMEOUT_S``."""
        cutoff = self.clock() - HEAD_TIMEOUT_S
        for connection in list(self.connections):
            started_at = connection.request_started_at
            if not connection.busy and started_at is not None and started_at < cutoff:
                connection.abort()

    def _accept(self) -> asyncio.Protocol:
        if len(self.connections) >= self.max_connections:
            return RefusedConnection()
        return ServerConnection(listener=self)


class RefusedConnection(asyncio.Protocol):
    """Connection over the limit, closed as soon as it is established."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        transport.close()

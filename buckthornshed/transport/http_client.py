"""HTTP/1.1 connections to targets and to other nodes.

Each connection carries one exchange at a time. A connection whose exchange was
cancelled or failed is closed, so that a late answer cannot be taken for the answer to
another request.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, cast

import httptools

from ..protocol.http import (
    CONTEXT_HEADER,
    get_header,
    is_final_status,
    is_interim_status,
)
from ..protocol.messages import Fault, Headers
from .http_parsing import (
    MAX_SKIPPED_ANSWERS,
    MessageCollector,
    MessageParser,
    ParserError,
    framing_fault,
)

__all__ = ["ConnectionPool", "ExchangeHandlers", "RawAnswer"]

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 30.0
BODYLESS_STATUSES = frozenset({204, 304})


class RawAnswer(NamedTuple):
    """Complete response as received."""

    status: int
    headers: Headers
    body: bytes


class ExchangeHandlers(NamedTuple):
    """Callbacks for the end of an exchange; exactly one of them is called, once.

    Parameters
    ----------
    on_answer : callable
        Receives the exchange and the complete response.
    on_fault : callable
        Receives the fault of an exchange that got no usable response.
    """

    on_answer: Callable[[int, RawAnswer], None]
    on_fault: Callable[[Fault], None]


class PooledCall(NamedTuple):
    """A request of the pool, and what is needed to recognize and handle its answer."""

    exchange: int
    data: bytes
    head_only: bool
    handlers: ExchangeHandlers
    mark: bytes


class ClientConnection(asyncio.Protocol):
    """Connection of a pool.

    Parameters
    ----------
    pool : ConnectionPool
        Pool to which the connection is released.
    address : str
        Address of the server, ``ip:port``.
    """

    def __init__(self, *, pool: "ConnectionPool", address: str) -> None:
        self.pool = pool
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.exchange: int | None = None
        self.handlers: ExchangeHandlers | None = None
        self.head_only = False
        self.mark = b""
        self.reused = False
        self.received = False
        self.skipped_answers = 0
        self.answer: RawAnswer | None = None
        self.reusable = False
        self.idle_since = 0.0
        self.collector = MessageCollector(
            max_body_bytes=pool.max_body_bytes,
            on_message=self._message_complete,
            on_head=self._head_complete,
        )
        self.parser = httptools.HttpResponseParser(self.collector)
        self.feed = MessageParser(parser=self.parser, collector=self.collector).feed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports do not derive from asyncio's transport classes.
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the running exchange."""
        self.transport = None
        self.pool.discard(self)
        self._fail("connection closed before the answer was complete", closed=True)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self.exchange is None:
            # Data without a request could be mistaken for the next answer.
            self.abort()
            return
        self.received = True
        try:
            self.feed(data)
        except (ParserError, httptools.HttpParserUpgrade) as error:
            self.reusable = False
            if self.answer is None:
                self._fail(f"invalid answer: {error}")
                return
        if self.answer is not None:
            # The exchange ends after all received data is parsed: a next request on
            # this connection could else be answered by what follows the answer.
            self._end_exchange(self.answer)
        elif self.collector.too_large:
            self._fail("answer over the size limit", too_large=True)

    def send(
        self,
        *,
        exchange: int,
        data: bytes,
        head_only: bool,
        handlers: ExchangeHandlers,
        mark: bytes,
    ) -> None:
        """Send the request of an exchange."""
        self.exchange = exchange
        self.mark = mark
        self.handlers = handlers
        self.head_only = head_only
        self.received = False
        self.skipped_answers = 0
        self.answer = None
        self.collector.reset()
        assert self.transport is not None
        self.transport.write(data)

    def abort(self) -> None:
        """Abort the connection without a callback for its exchange."""
        self.exchange = None
        self.handlers = None
        if self.transport is not None:
            self.transport.abort()

    def _head_complete(self) -> None:
        status = self.parser.get_status_code()
        if is_interim_status(status):
            return
        if not is_final_status(status) and not self._answers_another():
            self._fail(f"status {status:03}, which is no answer")
            return
        if self.head_only:
            self._message_complete()

    def _message_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.exchange is None:
            return
        if self.answer is not None:
            # Data after the answer belongs to no request.
            self.reusable = False
            return
        if is_interim_status(status) or self._answers_another():
            self.skipped_answers += 1
            if self.skipped_answers > MAX_SKIPPED_ANSWERS:
                self._fail("other answers without an end")
            return
        fault = framing_fault(self.collector.headers) or self._length_fault(status)
        if fault is not None:
            self._fail(fault)
            return
        if self.collector.too_large:
            self._fail("answer over the size limit", too_large=True)
            return
        self.answer = RawAnswer(status, self.collector.headers, self.collector.body)
        self.reusable = self.parser.should_keep_alive() and not self.head_only

    def _end_exchange(self, answer: RawAnswer) -> None:
        exchange, handlers = self.exchange, self.handlers
        assert exchange is not None
        assert handlers is not None
        self.answer = None
        if self.reusable and self.collector.complete:
            self.exchange = None
            self.handlers = None
            self.pool.release(self)
        else:
            self.abort()
        handlers.on_answer(exchange, answer)

    def _answers_another(self) -> bool:
        """Return whether an answer states that it belongs to another request."""
        mark = get_header(self.collector.headers, CONTEXT_HEADER)
        return bool(self.mark) and mark is not None and mark != self.mark

    def _length_fault(self, status: int) -> str | None:
        if status in BODYLESS_STATUSES or self.head_only:
            return None
        for name, _ in self.collector.pairs:
            if name in (b"content-length", b"transfer-encoding"):
                return None
        return "answer has no length, so truncation cannot be detected"

    def _fail(
        self, detail: str, *, closed: bool = False, too_large: bool = False
    ) -> None:
        exchange, handlers = self.exchange, self.handlers
        self.abort()
        if exchange is not None and handlers is not None:
            handlers.on_fault(
                Fault(
                    exchange=exchange,
                    maybe_sent=True,
                    detail=detail,
                    closed=closed,
                    too_large=too_large,
                )
            )


class ConnectionPool:
    """Pool of connections; the most recently used idle connection is reused first.

    Parameters
    ----------
    max_body_bytes : int
        Maximum size of an answer's body.
    max_idle : int
        Maximum number of idle connections to one address.
    clock : callable
        Returns seconds of the monotonic clock.
    """

    def __init__(
        self, *, max_body_bytes: int, max_idle: int, clock: Callable[[], float]
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_idle = max_idle
        self.clock = clock
        self.idle: dict[str, list[ClientConnection]] = {}
        self.active: dict[int, ClientConnection] = {}
        self.connecting: dict[int, asyncio.Task[None]] = {}

    def send(
        self,
        *,
        exchange: int,
        address: str,
        data: bytes,
        head_only: bool,
        handlers: ExchangeHandlers,
        mark: bytes = b"",
    ) -> None:
        """Send a request on an idle connection, or else on a new one.

        `mark` is the value of the request's context header. An answer that bears
        another value, such as a copy of an earlier one, is discarded.
        """
        call = PooledCall(exchange, data, head_only, handlers, mark)
        connection = self._pop_idle(address)
        if connection is not None:
            self._start(connection, call)
            return
        coroutine = self._connect_and_send(address, call)
        task = asyncio.get_running_loop().create_task(coroutine)
        self.connecting[exchange] = task

    def cancel(self, exchange: int) -> None:
        """Cancel an exchange and close the connection that carries it."""
        connecting = self.connecting.pop(exchange, None)
        if connecting is not None:
            connecting.cancel()
        connection = self.active.pop(exchange, None)
        if connection is not None:
            connection.abort()

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool after its exchange has ended."""
        connections = self.idle.setdefault(connection.address, [])
        if len(connections) >= self.max_idle:
            connection.abort()
            return
        connection.idle_since = self.clock()
        connections.append(connection)

    def discard(self, connection: ClientConnection) -> None:
        """Remove a closed connection from the pool."""
        connections = self.idle.get(connection.address, [])
        if connection in connections:
            connections.remove(connection)

    def close_expired(self) -> None:
        """Close connections that have been idle longer than ``IDLE_TIMEOUT_S``."""
        cutoff = self.clock() - IDLE_TIMEOUT_S
        for address, connections in list(self.idle.items()):
            for connection in [c for c in connections if c.idle_since < cutoff]:
                connection.abort()
            if not connections:
                del self.idle[address]

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connections in list(self.idle.values()):
            for connection in list(connections):
                connection.abort()

    def _pop_idle(self, address: str) -> ClientConnection | None:
        connections = self.idle.get(address)
        while connections:
            connection = connections.pop()
            if (
                connection.transport is not None
                and not connection.transport.is_closing()
            ):
                connection.reused = True
                return connection
        return None

    def _start(self, connection: ClientConnection, call: PooledCall) -> None:
        handlers = call.handlers

        def on_answer(ended: int, answer: RawAnswer) -> None:
            self.active.pop(ended, None)
            handlers.on_answer(ended, answer)

        def on_fault(fault: Fault) -> None:
            self.active.pop(fault.exchange, None)
            handlers.on_fault(fault)

        self.active[call.exchange] = connection
        connection.send(
            exchange=call.exchange,
            data=call.data,
            head_only=call.head_only,
            handlers=ExchangeHandlers(on_answer, on_fault),
            mark=call.mark,
        )

    async def _connect_and_send(self, address: str, call: PooledCall) -> None:
        host, _, port = address.rpartition(":")
        exchange = call.exchange
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(pool=self, address=address),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError) as error:
            self.connecting.pop(exchange, None)
            fault = Fault(
                exchange=exchange,
                maybe_sent=False,
                detail=f"cannot connect to {address}: {error or 'timeout'}",
            )
            call.handlers.on_fault(fault)
            return
        if self.connecting.pop(exchange, None) is None:
            connection.abort()
            return
        self._start(connection, call)

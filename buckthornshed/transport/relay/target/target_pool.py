"""Connection pool for the target beside the relay.

Each connection carries one exchange at a time and is reused only after a complete
answer. An answer that echoes the identifier of another request, such as a late copy of
the answer to an earlier one, is discarded; one without any identifier is not accepted.
A request that is sent again takes another connection than before, because a late copy
of its first answer would bear its identifier, also after answers to other requests.
"""

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, cast

import httptools

from ....protocol.http import get_header
from ....protocol.messages import Headers
from ....protocol.relay_messages import HeaderNames
from ...buffer_budget import BufferBudget
from ...http_parsing import (
    MAX_SKIPPED_ANSWERS,
    MessageCollector,
    MessageParser,
    ParserError,
    framing_fault,
)

__all__ = ["FaultKind", "TargetAnswer", "TargetFault", "TargetPool"]

CONNECT_TIMEOUT_S = 1.0
DEFAULT_KEEP_ALIVE_S = 4.0
"""Keep-alive time of idle connections if the target announces none."""
IDLE_MARGIN_S = 1.0
"""Time before the end of the keep-alive time at which a connection is closed."""
MAX_ANSWER_BYTES = 16 * 1024 * 1024
FAILED_STATUS = 400
"""Lowest status after which a request may be sent to the target again."""
MAX_FAILED_REQUESTS = 64
"""Identifiers of failed requests that a connection keeps before it is replaced."""


class FaultKind(Enum):
    """Reason why an exchange has no usable answer."""

    UNREACHABLE = "no connection"
    """The request was not sent."""
    BROKEN = "connection closed before the answer was complete"
    """The request may have run."""
    UNUSABLE = "unusable answer"
    """The request may have run."""


class TargetAnswer(NamedTuple):
    """A target's complete answer; header names are in lower case."""

    status: int
    headers: Headers
    body: bytes


class TargetFault(NamedTuple):
    """The failure of an exchange."""

    kind: FaultKind
    detail: str


EndHandler = Callable[[int, TargetAnswer | TargetFault], None]


class TargetConnection(asyncio.Protocol):
    """One connection of the pool."""

    def __init__(self, *, pool: "TargetPool") -> None:
        self.pool = pool
        self.transport: asyncio.Transport | None = None
        self.exchange: int | None = None
        self.request_id = b""
        self.failed_ids: set[bytes] = set()
        self.head_only = False
        self.delimited_by_close = False
        self.complete_answer: TargetAnswer | None = None
        self.reusable = False
        self.skipped_answers = 0
        self.idle_until = 0.0
        self._new_parser()

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self.transport is not None and not self.transport.is_closing()

    def may_carry(self, request_id: bytes) -> bool:
        """Return whether no copy of an earlier answer can bear this identifier."""
        return request_id != self.request_id and request_id not in self.failed_ids

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # uvloop's transports do not derive from the classes of asyncio.
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange in progress, if any."""
        self.transport = None
        self.pool.discard(self)
        if self.delimited_by_close and exc is None and self.collector.head_complete:
            # An answer without a length ends when its connection closes.
            self._finish_answer(reusable=False)
            if self.complete_answer is not None:
                self._end_exchange()
                return
        self._fail(FaultKind.BROKEN, str(exc or "connection closed"))

    def eof_received(self) -> bool:
        """Let the transport close when the target half-closes the connection."""
        return False

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser."""
        if self.exchange is None:
            # The target sent data without a request.
            self.abort()
            return
        try:
            self.feed(data)
        except (ParserError, httptools.HttpParserUpgrade) as error:
            self.reusable = False
            if self.complete_answer is None:
                self._fail(FaultKind.UNUSABLE, str(error))
        else:
            if self.collector.too_large and self.complete_answer is None:
                self._fail(FaultKind.UNUSABLE, "answer exceeds the size limit")
        if self.complete_answer is not None:
            # Data after the complete answer belongs to no request.
            self.reusable = self.reusable and self.collector.complete
            self._end_exchange()

    def send(
        self, exchange: int, request_id: bytes, data: bytes, *, head_only: bool
    ) -> None:
        """Send the request of an exchange."""
        self.exchange = exchange
        self.request_id = request_id
        self.head_only = head_only
        self.delimited_by_close = False
        self.reusable = False
        self.skipped_answers = 0
        self.collector.reset()
        self.pool.requests_sent += 1
        assert self.transport is not None
        self.transport.write(data)

    def abort(self) -> None:
        """Abort the connection; an exchange in progress ends without a report."""
        self.exchange = None
        self.collector.reset()
        if self.transport is not None:
            self.transport.abort()

    def _new_parser(self) -> None:
        self.collector = MessageCollector(
            max_body_bytes=MAX_ANSWER_BYTES,
            on_message=self._message_complete,
            on_head=self._head_complete,
            buffers=self.pool.buffers,
        )
        self.parser = httptools.HttpResponseParser(self.collector)
        self.feed = MessageParser(parser=self.parser, collector=self.collector).feed

    def _head_complete(self) -> None:
        if self.parser.get_status_code() < 200:
            return
        names = {name for name, _ in self.collector.pairs}
        has_length = b"content-length" in names or b"transfer-encoding" in names
        self.delimited_by_close = not has_length
        if self.head_only and has_length:
            self._finish_answer(reusable=False)

    def _message_complete(self) -> None:
        status = self.parser.get_status_code()
        if self.exchange is None:
            return
        if self.complete_answer is not None:
            # A second answer belongs to no request.
            self.reusable = False
            return
        if status < 200:
            self._skip_answer()
            return
        bodyless = status in (204, 304)
        if self.delimited_by_close and not bodyless and self.transport is not None:
            return
        self._finish_answer(reusable=self.parser.should_keep_alive())

    def _finish_answer(self, *, reusable: bool) -> None:
        if self.collector.too_large:
            self._fail(FaultKind.UNUSABLE, "answer exceeds the size limit")
            return
        headers = self.collector.headers
        fault = framing_fault(headers)
        if fault is not None:
            self._fail(FaultKind.UNUSABLE, fault)
            return
        answered_id = get_header(headers, self.pool.names.request_id)
        if answered_id is None and self.request_id:
            self._fail(FaultKind.UNUSABLE, "answer without the request's identifier")
            return
        if answered_id is not None and answered_id != self.request_id:
            self._skip_answer()
            return
        status = self.parser.get_status_code()
        self.complete_answer = TargetAnswer(status, headers, self.collector.body)
        self.reusable = reusable and not self.head_only

    def _skip_answer(self) -> None:
        """Discard an interim answer, or one to another request."""
        self.collector.reset()
        self.delimited_by_close = False
        self.skipped_answers += 1
        if self.skipped_answers > MAX_SKIPPED_ANSWERS:
            self._fail(FaultKind.UNUSABLE, "other answers without an end")

    def _end_exchange(self) -> None:
        exchange, answer = self.exchange, self.complete_answer
        self.collector.reset()
        self.exchange = None
        self.complete_answer = None
        if exchange is None or answer is None:
            return
        if answer.status >= FAILED_STATUS:
            self.failed_ids.add(self.request_id)
        if self.reusable and len(self.failed_ids) < MAX_FAILED_REQUESTS:
            self.pool.release(self, answer.headers)
        elif self.transport is not None:
            self.transport.close()
        self.pool.end(exchange, answer)

    def _fail(self, kind: FaultKind, detail: str) -> None:
        exchange = self.exchange
        self.abort()
        if exchange is not None:
            self.pool.end(exchange, TargetFault(kind, detail))


class TargetPool:
    """Connections to one target; the most recently released one is reused first.

    Parameters
    ----------
    address : str
        Address of the target, ``ip:port``.
    names : HeaderNames
        Header names of the deployment.
    on_end : callable
        Called once with an exchange and its answer or fault.
    clock : callable
        Returns seconds of the monotonic clock.
    buffers : BufferBudget
        Bounds the bytes of incomplete answers.
    """

    def __init__(
        self,
        *,
        address: str,
        names: HeaderNames,
        on_end: EndHandler,
        clock: Callable[[], float],
        buffers: BufferBudget,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.host = host
        self.port = int(port)
        self.names = names
        self.on_end = on_end
        self.clock = clock
        self.buffers = buffers
        self.idle: list[TargetConnection] = []
        self.active: dict[int, TargetConnection] = {}
        self.connecting: dict[int, asyncio.Task[None]] = {}
        self.connections_opened = 0
        self.requests_sent = 0

    def send(
        self, exchange: int, request_id: bytes, data: bytes, *, head_only: bool
    ) -> None:
        """Send a request on an idle connection, or open a new one for it."""
        connection = self._pop_idle(request_id)
        if connection is not None:
            self.active[exchange] = connection
            connection.send(exchange, request_id, data, head_only=head_only)
            return
        opening = self._connect_and_send(exchange, request_id, data, head_only)
        self.connecting[exchange] = asyncio.get_running_loop().create_task(opening)

    def cancel(self, exchange: int) -> None:
        """Cancel an exchange and abort its connection."""
        task = self.connecting.pop(exchange, None)
        if task is not None:
            task.cancel()
        connection = self.active.pop(exchange, None)
        if connection is not None:
            connection.abort()

    def end(self, exchange: int, result: TargetAnswer | TargetFault) -> None:
        """Remove an exchange and report its result."""
        self.active.pop(exchange, None)
        self.on_end(exchange, result)

    def release(self, connection: TargetConnection, headers: Headers) -> None:
        """Return a connection to the pool after a complete exchange."""
        if not connection.is_open:
            return
        keep_alive = _keep_alive_time(headers)
        connection.idle_until = (
            self.clock() + keep_alive - min(IDLE_MARGIN_S, keep_alive / 2)
        )
        self.idle.append(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Remove a closed connection from the pool."""
        if connection in self.idle:
            self.idle.remove(connection)

    def close_expired(self) -> None:
        """Close idle connections that the target would close soon."""
        now = self.clock()
        for connection in [c for c in self.idle if c.idle_until <= now]:
            self.idle.remove(connection)
            if connection.transport is not None:
                connection.transport.close()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self.idle):
            if connection.transport is not None:
                connection.transport.close()
        self.idle.clear()

    async def refuses_connections(self) -> bool:
        """Return whether the target refuses connections and has none open."""
        connections = [*self.idle, *self.active.values()]
        if any(connection.is_open for connection in connections):
            return False
        try:
            connection = await self._connect()
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        self.release(connection, ())
        return False

    async def _connect(self) -> TargetConnection:
        """Return a new connection.

        Raises
        ------
        OSError, TimeoutError
            If the target cannot be reached.
        """
        self.connections_opened += 1
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(
                lambda: TargetConnection(pool=self), self.host, self.port
            )
        return connection

    def _pop_idle(self, request_id: bytes) -> TargetConnection | None:
        """Remove and return the connection to reuse for a request, if there is one."""
        self.close_expired()
        for connection in reversed(self.idle):
            if connection.is_open and connection.may_carry(request_id):
                self.idle.remove(connection)
                return connection
        return None

    async def _connect_and_send(
        self, exchange: int, request_id: bytes, data: bytes, head_only: bool
    ) -> None:
        try:
            connection = await self._connect()
        except (OSError, TimeoutError) as error:
            if self.connecting.pop(exchange, None) is not None:
                detail = str(error) or "timeout"
                self.on_end(exchange, TargetFault(FaultKind.UNREACHABLE, detail))
            return
        if self.connecting.pop(exchange, None) is None:
            connection.abort()
            return
        self.active[exchange] = connection
        connection.send(exchange, request_id, data, head_only=head_only)


def _keep_alive_time(headers: Headers) -> float:
    """Return the keep-alive time of an answer's connection, in seconds."""
    for name, value in headers:
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, seconds = part.strip().partition(b"=")
                if key.lower() == b"timeout" and seconds.isdigit():
                    return float(seconds)
    return DEFAULT_KEEP_ALIVE_S

"""Connection pool for the target beside the relay.

A connection is reused only after a complete answer. A request that is sent again takes
another connection than before, because a late copy of its first answer would bear its
identifier, also after answers to other requests.
"""

import asyncio
from collections.abc import Callable

from ....protocol.messages import Headers
from ....protocol.relay_messages import HeaderNames
from ...buffer_budget import BufferBudget
from .answer_reading import AnswerReading
from .target_connection import FaultKind, TargetAnswer, TargetConnection, TargetFault

__all__ = ["TargetPool"]

CONNECT_TIMEOUT_S = 1.0
DEFAULT_KEEP_ALIVE_S = 4.0
"""Keep-alive time of idle connections if the target announces none."""
IDLE_MARGIN_S = 1.0
"""Time before the end of the keep-alive time at which a connection is closed."""

EndHandler = Callable[[int, TargetAnswer | TargetFault], None]


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
    unsent_bytes : callable, optional
        Returns the bytes of answers that whoever asked for an exchange has not taken.

    Attributes
    ----------
    reading : AnswerReading
        Decides which answers are read on.
    """

    def __init__(
        self,
        *,
        address: str,
        names: HeaderNames,
        on_end: EndHandler,
        clock: Callable[[], float],
        buffers: BufferBudget,
        unsent_bytes: Callable[[int], int] = lambda exchange: 0,
    ) -> None:
        host, _, port = address.rpartition(":")
        self.host = host
        self.port = int(port)
        self.names = names
        self.on_end = on_end
        self.clock = clock
        self.buffers = buffers
        self.reading = AnswerReading(
            buffers=buffers, unsent_bytes=unsent_bytes, clock=clock
        )
        self.idle: list[TargetConnection] = []
        self.active: dict[int, TargetConnection] = {}
        self.connecting: dict[int, asyncio.Task[None]] = {}
        self.connections_opened = 0
        self.requests_sent = 0

    def send(
        self,
        exchange: int,
        request_id: bytes,
        head: bytes,
        body: bytes = b"",
        *,
        head_only: bool,
    ) -> None:
        """Send a request on an idle connection, or open a new one for it.

        `head` ends with its empty line.
        """
        connection = self._pop_idle(request_id)
        if connection is not None:
            self.active[exchange] = connection
            connection.send(exchange, request_id, head, body, head_only=head_only)
            return
        opening = self._connect_and_send(exchange, request_id, head, body, head_only)
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
        self,
        exchange: int,
        request_id: bytes,
        head: bytes,
        body: bytes,
        head_only: bool,
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
        connection.send(exchange, request_id, head, body, head_only=head_only)


def _keep_alive_time(headers: Headers) -> float:
    """Return the keep-alive time of an answer's connection, in seconds."""
    for name, value in headers:
        if name == b"keep-alive":
            for part in value.split(b","):
                key, _, seconds = part.strip().partition(b"=")
                if key.lower() == b"timeout" and seconds.isdigit():
                    return float(seconds)
    return DEFAULT_KEEP_ALIVE_S

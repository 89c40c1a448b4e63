"""Event loop in virtual time, whose connections run over a simulated network.

Hosts are named by IP addresses. A connection belongs to the host that the task which
opens it runs on, see `Network.run_on`. Bytes take the delay of their path. While a path
is cut, they wait; they are lost if their sender resets the connection.
"""

import asyncio
import contextvars
import selectors
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

DEFAULT_DELAY_S = 0.001
FIRST_PORT = 40_000
TIMER_TOLERANCE_S = 1e-6

current_host: contextvars.ContextVar[str] = contextvars.ContextVar("current_host")


class VirtualSelector(selectors.DefaultSelector):
    """Selector that advances the time of its loop in place of waiting."""

    loop: "VirtualLoop"

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("all tasks wait for something that never happens")
        self.loop.now += max(0.0, timeout)
        return super().select(0.0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while it has nothing to do."""

    def __init__(self):
        self.now = 1_000.0
        self.network = Network(self)
        selector = VirtualSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        return self.now

    async def create_connection(self, factory, host=None, port=None, **_):  # type: ignore[override]
        return await self.network.connect(factory, host, port)

    async def create_server(self, factory, host=None, port=None, **_):  # type: ignore[override]
        return self.network.listen(factory, host, port)


class Server:
    """Listening socket."""

    def __init__(self, network, factory, address):
        self.network = network
        self.factory = factory
        self.address = address
        self.context = contextvars.copy_context()
        self.sockets = [self]

    def getsockname(self):
        return self.address

    def close(self):
        self.network.servers.pop(self.address, None)


class Network:
    """Hosts, paths and connections.

    Attributes
    ----------
    delays : dict
        Seconds from one host to another, by both.
    cuts : set
        Pairs of hosts from the first of which nothing reaches the second.
    """

    def __init__(self, loop):
        self.loop = loop
        self.servers: dict[tuple[str, int], Server] = {}
        self.delays: dict[tuple[str, str], float] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.healed = asyncio.Event()
        self.transports: set[Transport] = set()
        self.last_port = FIRST_PORT

    def run_on(self, host: str, coroutine: Coroutine[Any, Any, Any]):
        """Run a coroutine on a host; return its task."""
        context = contextvars.copy_context()
        context.run(current_host.set, host)
        return self.loop.create_task(coroutine, context=context)

    def listen(self, factory: Callable[[], Any], host: str, port: int) -> Server:
        if not port:
            self.last_port += 1
            port = self.last_port
        server = Server(self, factory, (host, port))
        self.servers[host, port] = server
        return server

    async def connect(self, factory, host, port):
        local = current_host.get()
        delay = self.delay(local, host)
        while (local, host) in self.cuts or (host, local) in self.cuts:
            await self.healed.wait()
        await asyncio.sleep(2 * delay)
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        self.last_port += 1
        near = Transport(self, factory(), (local, self.last_port), (host, port))
        far = server.context.run(
            Transport, self, server.factory(), (host, port), (local, self.last_port)
        )
        near.peer, far.peer = far, near
        far.context.run(far.protocol.connection_made, far)
        near.protocol.connection_made(near)
        return near, near.protocol

    def delay(self, source: str, destination: str) -> float:
        return self.delays.get((source, destination), DEFAULT_DELAY_S)

    def cut(self, one: str, other: str) -> None:
        """Cut the paths between two hosts in both directions, without a reset."""
        self.cuts |= {(one, other), (other, one)}

    def heal(self, one: str, other: str) -> None:
        """Let through again what waits between two hosts."""
        self.cuts -= {(one, other), (other, one)}
        self.healed.set()
        self.healed = asyncio.Event()
        for transport in list(self.transports):
            transport.forward()

    def silence(self, one: str, other: str) -> None:
        """Let the open connections between two hosts carry nothing more."""
        for transport in self.transports:
            if {transport.local[0], transport.remote[0]} == {one, other}:
                transport.silent = True

    def close_host(self, host: str) -> None:
        """End all sockets of a host at once, as the end of its process does."""
        for address in [each for each in self.servers if each[0] == host]:
            del self.servers[address]
        for transport in list(self.transports):
            if transport.local[0] == host:
                transport.abort()


class Transport(asyncio.Transport):
    """One end of a connection; what it writes arrives at `peer`."""

    def __init__(self, network, protocol, local, remote):
        super().__init__({"peername": remote, "sockname": local})
        self.network = network
        self.protocol = protocol
        self.local = local
        self.remote = remote
        self.peer: Any = None
        self.context = contextvars.copy_context()
        self.closing = False
        self.silent = False
        self.paused = False
        self.outgoing: deque[tuple[float, bytes | None]] = deque()
        self.received: list[bytes] = []
        network.transports.add(self)

    def write(self, data):
        if not self.closing and data:
            self._put(bytes(data))

    def writelines(self, parts):
        self.write(b"".join(parts))

    def can_write_eof(self):
        return True

    def write_eof(self):
        self._put(None)

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return sum(len(data or b"") for _, data in self.outgoing)

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def set_protocol(self, protocol):
        self.protocol = protocol

    def get_protocol(self):
        return self.protocol

    def is_reading(self):
        return not self.paused

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False
        received, self.received = self.received, []
        for data in received:
            self._receive(data)

    def close(self):
        """End the connection after what was written."""
        if not self.closing:
            self._put(None)
            self._end()

    def abort(self):
        """Reset the connection; what has not arrived is lost."""
        if not self.closing:
            self.outgoing.clear()
            self._end()
            if self._passes():
                delay = self.network.delay(self.local[0], self.remote[0])
                self.network.loop.call_later(delay, self.peer.reset)

    def reset(self):
        """Handle the reset of the connection by the peer."""
        if not self.closing and not self.silent:
            self._end(ConnectionResetError())

    def forward(self):
        """Let arrive what is due, unless the path is cut."""
        # Timers of the loop may be early by its clock resolution.
        now = self.network.loop.now + TIMER_TOLERANCE_S
        while self.outgoing and self.outgoing[0][0] <= now and self._passes():
            _, data = self.outgoing.popleft()
            if not self.peer.closing:
                self.peer.context.copy().run(self.peer._receive, data)

    def _put(self, data):
        delay = self.network.delay(self.local[0], self.remote[0])
        loop = self.network.loop
        self.outgoing.append((loop.now + delay, data))
        loop.call_at(loop.now + delay, self.forward)

    def _passes(self):
        return not self.silent and (self.local[0], self.remote[0]) not in (
            self.network.cuts
        )

    def _receive(self, data):
        if self.paused:
            self.received.append(data)
        elif data is None:
            if not self.protocol.eof_received():
                self.close()
        else:
            self.protocol.data_received(data)

    def _end(self, error=None):
        self.closing = True
        self.network.transports.discard(self)
        loop = self.network.loop
        loop.call_soon(self.protocol.connection_lost, error, context=self.context)

"""Exchange of messages between nodes over gRPC.

A link is a persistent connection to one node. Each link has a task that owns the
connection and receives the messages to send through a bounded stream.
"""

import struct
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server

from ..errors import PeerError
from ..protocol.peer_codec import MAX_SIGNED_BYTES, PeerCodec
from ..protocol.peer_messages import Envelope
from ..protocol.replay_window import ReplayWindow
from ..protocol.wire.peer_grpc import PeerBase, PeerStub
from ..protocol.wire.peer_pb2 import Receipt, Signed

__all__ = [
    "DeliveryFailed",
    "MessageReceived",
    "PeerLinks",
    "PeerServer",
    "split_address",
]

DELIVERY_TIMEOUT_S = 2.0
"""Timeout for the receipt of a message."""

IDLE_TIMEOUT_S = 60.0
"""Time without a message after which a link is closed."""

MAX_LINKS = 64
"""Maximum number of links; beyond it the least recently used one is closed."""

MAX_QUEUED_MESSAGES = 64
"""Maximum number of messages queued for one link."""

GRPC_PREFIX_BYTES = 5
"""Size of the compression flag and the length that precede a gRPC message."""


class MessageReceived(NamedTuple):
    """An authentic message of another node that is not a replay was received."""

    envelope: Envelope


class DeliveryFailed(NamedTuple):
    """A message could not be delivered to an address."""

    address: str
    detail: str


Sink = Callable[[MessageReceived | DeliveryFailed], bool]


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Raises
    ------
    PeerError
        If there is no port.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise PeerError(subject="address", found=address, expected="host:port")
    return host, int(port)


class PeerServer(PeerBase):
    """Server that receives messages of other nodes.

    Parameters
    ----------
    address : str
        Address to listen on; messages to other addresses are refused.
    codec : PeerCodec
        Codec with the shared keys of the fleet.
    sink : callable
        Receives each accepted message; returns False if its queue is full.
    """

    def __init__(self, *, address: str, codec: PeerCodec, sink: Sink) -> None:
        self.address = address
        self.codec = codec
        self.sink = sink
        self.window = ReplayWindow()
        self.accepted = 0
        self.refused = 0

    async def Deliver(self, stream: Any) -> None:  # noqa: N802
        """Handle one gRPC call, which carries one message."""
        with anyio.fail_after(DELIVERY_TIMEOUT_S):
            signed = await receive_bounded(stream)
        accepted = signed is not None and self.accept(signed)
        self.accepted += accepted
        self.refused += not accepted
        await stream.send_message(Receipt(accepted=accepted))

    def accept(self, signed: Signed) -> bool:
        """Forward a message if it is authentic, for this node and not a replay."""
        try:
            envelope = self.codec.decode_signed(signed)
        except PeerError:
            return False
        if envelope.recipient != self.address or not self.window.accept(envelope):
            return False
        return self.sink(MessageReceived(envelope))

    async def serve(self, started: Callable[[], None]) -> None:
        """Serve until cancelled; call ``started`` once the server listens."""
        host, port = split_address(self.address)
        server = Server([self])
        await server.start(host, port)
        started()
        try:
            await anyio.sleep_forever()
        finally:
            server.close()
            with anyio.CancelScope(shield=True), anyio.move_on_after(1.0):
                await server.wait_closed()


async def receive_bounded(stream: Any) -> Signed | None:
    """Read one message, checking its announced size before reading its content.

    grpclib reads a message of any announced size into memory, so the prefix and the
    content are read from the underlying HTTP/2 stream instead.

    Raises
    ------
    GRPCError
        If the message is larger than ``MAX_SIGNED_BYTES``.
    """
    prefix = await stream._stream.recv_data(GRPC_PREFIX_BYTES)
    if len(prefix) < GRPC_PREFIX_BYTES:
        return None
    _, size = struct.unpack(">?I", prefix)
    if size > MAX_SIGNED_BYTES:
        raise GRPCError(Status.RESOURCE_EXHAUSTED, f"at most {MAX_SIGNED_BYTES} bytes")
    content = await stream._stream.recv_data(size)
    return stream._codec.decode(content, Signed)  # type: ignore[no-any-return]


class Link(NamedTuple):
    """Message stream to the task of a link, and the cancel scope of that task."""

    messages: MemoryObjectSendStream[Signed]
    scope: anyio.CancelScope


class PeerLinks:
    """Links over which messages are sent to other nodes.

    Parameters
    ----------
    sink : callable
        Receives an event for each message that could not be delivered.
    """

    def __init__(self, *, sink: Sink) -> None:
        self.sink = sink
        self.links: OrderedDict[str, Link] = OrderedDict()
        self.sent = 0
        self.sent_bytes = 0
        self.failures = 0

    def send(self, tasks: TaskGroup, address: str, signed: Signed) -> None:
        """Queue a message on the link to an address, opening the link if necessary."""
        link = self.links.get(address) or self.open_link(tasks, address)
        self.links.move_to_end(address)
        try:
            link.messages.send_nowait(signed)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self.report_failure(address, "the link's queue is full or closed")

    def open_link(self, tasks: TaskGroup, address: str) -> Link:
        """Start the task of a new link."""
        if len(self.links) >= MAX_LINKS:
            _, oldest = self.links.popitem(last=False)
            oldest.messages.close()
        send, receive = anyio.create_memory_object_stream[Signed](MAX_QUEUED_MESSAGES)
        link = Link(send, anyio.CancelScope())
        self.links[address] = link

        async def run() -> None:
            try:
                with link.scope:
                    await self.run_link(address, receive.receive)
            finally:
                receive.close()
                send.close()
                if self.links.get(address) is link:
                    del self.links[address]

        tasks.start_soon(run, name=f"link {address}")
        return link

    async def run_link(
        self, address: str, receive: Callable[[], Awaitable[Signed]]
    ) -> None:
        """Deliver messages over one connection until it fails or stays idle."""
        host, port = split_address(address)
        channel = Channel(host, port)
        stub = PeerStub(channel)
        try:
            while True:
                with anyio.fail_after(IDLE_TIMEOUT_S):
                    signed = await receive()
                await self.deliver(stub, signed)
        except (TimeoutError, anyio.EndOfStream):
            return
        except DeliveryError as error:
            self.report_failure(address, str(error))
        finally:
            channel.close()

    async def deliver(self, stub: PeerStub, signed: Signed) -> None:
        """Deliver one message and wait for its receipt.

        Raises
        ------
        DeliveryError
            If the node cannot be reached or does not answer in time.
        """
        try:
            with anyio.fail_after(DELIVERY_TIMEOUT_S):
                await stub.Deliver(signed)
        except (
            OSError,
            TimeoutError,
            GRPCError,
            ProtocolError,
            StreamTerminatedError,
        ) as error:
            raise DeliveryError(
                subject="delivery",
                found=f"{type(error).__name__}: {error}",
                expected="a receipt",
            ) from error
        self.sent += 1
        self.sent_bytes += signed.ByteSize()

    def report_failure(self, address: str, detail: str) -> None:
        """Count and report a message that was not delivered."""
        self.failures += 1
        self.sink(DeliveryFailed(address, detail))


class DeliveryError(PeerError):
    """A message could not be delivered."""

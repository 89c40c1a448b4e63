"""Tests that endless bytes are cut off, whoever sends them."""

import asyncio
import time

import pytest

from buckthornshed.errors import PlatformError
from buckthornshed.platform.store import StoreClient
from buckthornshed.platform.wire import HEADERS
from buckthornshed.transport import platform_reader
from buckthornshed.transport.buffer_budget import BufferBudget
from buckthornshed.transport.http_client import ConnectionPool, ExchangeHandlers
from buckthornshed.transport.http_parsing import MAX_HEAD_BYTES
from buckthornshed.transport.platform_reader import PlatformReader
from buckthornshed.transport.relay.clients.client_listener import ClientListener
from buckthornshed.transport.relay.clients.responses import local_response
from buckthornshed.transport.relay.target.target_connection import TargetFault
from buckthornshed.transport.relay.target.target_pool import TargetPool

from .endless_bytes import ANSWERS, REQUESTS, Stream, endless_server, send_endless
from .relay.fleet import free_port

BODY_LIMIT = 1024 * 1024
SOCKET_BUFFERS = 12 * 1024 * 1024
"""Bytes that the buffers of a connection on the loopback interface may take."""
MAX_SENT = MAX_HEAD_BYTES + BODY_LIMIT + SOCKET_BUFFERS
"""Bytes that a sender gets rid of before it notices that the receiver has closed."""
LIMIT_S = 20.0

ANSWER_TO_ANOTHER_REQUEST = (
    b"HTTP/1.1 200 OK\r\nrequest-id: other\r\nresponse-seal: s\r\n"
    b"content-length: 4\r\n\r\nhuts"
)


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), LIMIT_S))


@pytest.mark.parametrize("kind", ANSWERS)
def test_an_endless_answer_ends_the_exchange_of_a_pool(kind):
    async def scenario():
        async with endless_server(ANSWERS[kind]) as server:
            pool = ConnectionPool(
                max_body_bytes=BODY_LIMIT, max_idle=1, clock=time.monotonic
            )
            ended = asyncio.get_running_loop().create_future()
            pool.send(
                exchange=1,
                address=server.address,
                data=b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
                head_only=False,
                handlers=ExchangeHandlers(lambda *_: None, ended.set_result),
            )
            fault = await ended
            assert fault.maybe_sent
            assert await server.sent <= MAX_SENT
            assert not pool.active

    run(scenario)


@pytest.mark.parametrize("kind", [*ANSWERS, "body without a length", "other answers"])
def test_an_endless_answer_ends_the_exchange_of_a_target(kind):
    streams = ANSWERS | {
        "body without a length": Stream(
            b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\n\r\n", b"a"
        ),
        "other answers": Stream(b"", ANSWER_TO_ANOTHER_REQUEST),
    }

    async def scenario():
        async with endless_server(streams[kind]) as server:
            ended = asyncio.get_running_loop().create_future()
            buffers = BufferBudget(limit=BODY_LIMIT)
            pool = TargetPool(
                address=server.address,
                names=HEADERS,
                on_end=lambda _, result: ended.set_result(result),
                clock=time.monotonic,
                buffers=buffers,
            )
            request = b"GET / HTTP/1.1\r\nrequest-id: r-1\r\n\r\n"
            pool.send(1, b"r-1", request, head_only=False)
            assert isinstance(await ended, TargetFault)
            assert await server.sent <= MAX_SENT
            assert buffers.total == 0

    run(scenario)


@pytest.mark.parametrize("extra_headers", [0, 200])
def test_a_complete_answer_of_which_a_part_was_dropped_is_not_passed_on(extra_headers):
    """All of it arrives at once, so no further data shows that it was too large."""
    body = b"h" * (2_000 if not extra_headers else 4)
    answer = (
        b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\n%s"
        b"response-seal: s\r\ncontent-length: %d\r\n\r\n%s"
    ) % (b"x: y\r\n" * extra_headers, len(body), body)

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        ended = asyncio.get_running_loop().create_future()
        pool = TargetPool(
            address=f"{host}:{port}",
            names=HEADERS,
            on_end=lambda _, result: ended.set_result(result),
            clock=time.monotonic,
            buffers=BufferBudget(limit=1_000),
        )
        request = b"GET / HTTP/1.1\r\nrequest-id: r-1\r\n\r\n"
        pool.send(1, b"r-1", request, head_only=False)
        assert isinstance(await ended, TargetFault)
        server.close()

    run(scenario)


class RejectingHandler:
    """Handles requests of which none may become complete."""

    def handle_request(self, exchange, request):
        raise AssertionError("an endless request became complete")

    def handle_disconnect(self, exchange):
        raise AssertionError("an endless request became complete")

    def handle_rejection(self, status, detail):
        return local_response(status, HEADERS, close=True)


@pytest.mark.parametrize("kind", REQUESTS)
def test_an_endless_request_is_rejected(kind):
    async def scenario():
        buffers = BufferBudget(limit=BODY_LIMIT)
        listener = ClientListener(
            handler=RejectingHandler(),
            max_connections=10,
            clock=time.monotonic,
            buffers=buffers,
        )
        port = free_port()
        await listener.open(f"127.0.0.1:{port}")
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        sending = asyncio.ensure_future(send_endless(REQUESTS[kind], writer))
        while not listener.lingering and listener.connections:
            await asyncio.sleep(0.01)
            listener.close_expired()
        while listener.connections:
            await asyncio.sleep(0.01)
            listener.close_expired()
        await sending
        assert buffers.total == 0
        listener.stop_accepting()

    run(scenario)


@pytest.mark.parametrize("kind", ANSWERS)
def test_an_endless_answer_of_the_store_is_an_error(kind):
    async def scenario():
        async with endless_server(ANSWERS[kind]) as server:
            client = StoreClient(address=server.address, clock=time.monotonic)
            with pytest.raises(PlatformError):
                await client.watch("", 1, 2.0)
            assert await server.sent <= MAX_SENT + 8 * BODY_LIMIT

    run(scenario)


def test_pages_of_the_store_without_an_end_are_an_error():
    page = b'{"items": [{"key": "servers/a", "rev": 1}], "at": 1, "hasMore": true}'
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(page), page)

    async def serve(reader, writer):
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = StoreClient(address=f"{host}:{port}", clock=time.monotonic)
        with pytest.raises(PlatformError, match="pages without an end"):
            await client.range("")
        server.close()

    run(scenario)


@pytest.mark.parametrize("kind", ANSWERS)
def test_an_endless_answer_of_the_platform_is_an_error(kind, monkeypatch):
    monkeypatch.setattr(platform_reader, "ANSWER_TIMEOUT_S", 2.0)

    async def scenario():
        async with endless_server(ANSWERS[kind]) as server:
            reader = PlatformReader(url=f"http://{server.address}")
            with pytest.raises(PlatformError):
                await reader.read("routes")
            await reader.close()

    run(scenario)


def test_the_largest_incomplete_message_is_dropped_when_all_hold_too_much():
    class Holder:
        dropped = False

        def overflow(self):
            self.dropped = True

    small, large, new = Holder(), Holder(), Holder()
    budget = BufferBudget(limit=100)
    budget.hold(small, 20)
    budget.hold(large, 60)
    budget.hold(new, 30)
    assert [each.dropped for each in (small, large, new)] == [False, True, False]
    assert budget.total == 50
    budget.release(small)
    budget.release(small)
    assert budget.total == 30

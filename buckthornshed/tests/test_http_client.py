"""Tests of the HTTP client connections against targets that send invalid answers."""

import asyncio
import contextlib
import time

import pytest

from buckthornshed.protocol.http import CONTEXT_HEADER
from buckthornshed.protocol.messages import Fault
from buckthornshed.transport.http_client import ConnectionPool, ExchangeHandlers

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nhuts"


async def run_exchanges(responses, *, count=1, head_only=False):
    """Return the results of exchanges with a target that sends the given responses."""
    remaining = iter(responses)

    async def serve(reader, writer):
        for response in remaining:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
            if not response.startswith(b"HTTP/1.1 200 OK") or response != OK:
                break
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = ConnectionPool(max_body_bytes=1_000, max_idle=2, clock=time.monotonic)
    ended = []
    for exchange in range(count):
        done = asyncio.Event()

        def on_end(*result, done=done):
            ended.append(result)
            done.set()

        pool.send(
            exchange=exchange,
            address=f"127.0.0.1:{port}",
            data=REQUEST,
            head_only=head_only,
            handlers=ExchangeHandlers(on_end, on_end),
        )
        await asyncio.wait_for(done.wait(), 10)
    pool.close_idle()
    server.close()
    return ended


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhuts",
        b"HTTP/1.1 200 OK\r\n\r\nno length, so no end",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhu",
        b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nhutss",
        b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n" + b"x" * 2000,
    ],
)
def test_unusable_answer_is_a_fault_and_the_request_may_have_run(answer):
    [(fault,)] = asyncio.run(run_exchanges([answer]))
    assert isinstance(fault, Fault)
    assert fault.maybe_sent


def test_failed_connect_is_a_fault_and_the_request_has_not_run():
    async def scenario():
        pool = ConnectionPool(max_body_bytes=1_000, max_idle=2, clock=time.monotonic)
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        future = asyncio.get_running_loop().create_future()
        pool.send(
            exchange=5,
            address=f"127.0.0.1:{port}",
            data=REQUEST,
            head_only=False,
            handlers=ExchangeHandlers(lambda *_: None, future.set_result),
        )
        return await asyncio.wait_for(future, 10)

    fault = asyncio.run(scenario())
    assert (fault.exchange, fault.maybe_sent) == (5, False)


def test_bytes_after_an_answer_never_reach_the_next_exchange():
    answer_with_surplus = OK + b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"
    ended = asyncio.run(run_exchanges([answer_with_surplus, OK], count=2))
    assert [result[-1].body for result in ended] == [b"huts", b"huts"]


def test_answer_to_head_has_no_body():
    head = b"HTTP/1.1 200 OK\r\ncontent-length: 4000\r\n\r\n"
    [(_, answer)] = asyncio.run(run_exchanges([head], head_only=True))
    assert (answer.status, answer.body) == (200, b"")


# Guards against a foreign answer: the next request was sent on the connection before
# the bytes after the answer were parsed, and a second answer among them ended it.
@pytest.mark.parametrize("copies", [1, 2, 5])
def test_a_second_answer_does_not_answer_a_request_that_is_sent_at_once(copies):
    refusal = b"HTTP/1.1 503 X\r\ncontent-length: 4\r\n\r\nfull"

    async def scenario():
        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError):
                while head := await reader.readuntil(b"\r\n\r\n"):
                    is_first = head.startswith(b"GET /first")
                    writer.write(refusal * (1 + copies) if is_first else OK)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(max_body_bytes=1_000, max_idle=2, clock=time.monotonic)
        ended: asyncio.Queue = asyncio.Queue()

        def send(exchange, path, on_answer):
            pool.send(
                exchange=exchange,
                address=f"127.0.0.1:{port}",
                data=REQUEST.replace(b"/", path, 1),
                head_only=False,
                handlers=ExchangeHandlers(on_answer, ended.put_nowait),
            )

        def send_next(_, answer):
            ended.put_nowait(answer)
            send(2, b"/second", lambda _, answer: ended.put_nowait(answer))

        send(1, b"/first", send_next)
        first = await asyncio.wait_for(ended.get(), 10)
        second = await asyncio.wait_for(ended.get(), 10)
        assert (first.status, second.status) == (503, 200)
        pool.close_idle()
        server.close()

    asyncio.run(scenario())


# Guards against a foreign answer at a node: a target writes an earlier answer once
# more, where that to the next request is due.
@pytest.mark.parametrize("copies", [1, 3])
def test_an_answer_with_the_context_of_another_request_is_discarded(copies):
    def answer(mark, status):
        return b"HTTP/1.1 %d X\r\n%s: %s\r\ncontent-length: 0\r\n\r\n" % (
            status,
            CONTEXT_HEADER,
            mark,
        )

    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer(b"1", 503))
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer(b"1", 503) * copies + answer(b"2", 200))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = ConnectionPool(max_body_bytes=1_000, max_idle=2, clock=time.monotonic)
        ended: asyncio.Queue = asyncio.Queue()
        statuses = []
        for exchange in (1, 2):
            pool.send(
                exchange=exchange,
                address=f"127.0.0.1:{port}",
                data=REQUEST,
                head_only=False,
                handlers=ExchangeHandlers(
                    lambda _, answer: ended.put_nowait(answer), ended.put_nowait
                ),
                mark=b"%x" % exchange,
            )
            statuses.append((await asyncio.wait_for(ended.get(), 10)).status)
        assert statuses == [503, 200]
        pool.close_idle()
        server.close()

    asyncio.run(scenario())

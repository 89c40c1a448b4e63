"""Tests of answers whose sender stops anywhere and closes the connection.

Each user of the parser of answers gets each beginning of answers with all kinds of
framing. Only the whole answer may count as one.
"""

import asyncio
import contextlib
import time

import pytest

from buckthornshed.errors import PlatformError
from buckthornshed.platform.store import StoreClient
from buckthornshed.platform.wire import HEADERS
from buckthornshed.protocol.messages import Fault
from buckthornshed.transport.buffer_budget import BufferBudget
from buckthornshed.transport.http_client import ConnectionPool, ExchangeHandlers
from buckthornshed.transport.relay.target.target_connection import TargetFault
from buckthornshed.transport.relay.target.target_pool import TargetPool

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nrequest-id: r-1\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: r-1\r\nresponse-seal: s\r\n"
FOREIGN = b"HTTP/1.1 200 OK\r\nrequest-id: r-0\r\ncontent-length: 2\r\n\r\nhi"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
SIZED = HEAD + b"content-length: 4\r\n\r\nhuts"
EMPTY = HEAD + b"content-length: 0\r\n\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n3\r\nhut\r\n1\r\ns\r\n0\r\n\r\n"
UNSIZED = HEAD + b"\r\nhuts"

ANSWERS = {
    "sized": SIZED,
    "empty": EMPTY,
    "chunked": CHUNKED,
    "after interim": INTERIM + SIZED,
}
ANSWERS_WITH_IDS = ANSWERS | {
    "after foreign": FOREIGN + SIZED,
    "after foreign and interim": FOREIGN + INTERIM + CHUNKED,
}


@contextlib.asynccontextmanager
async def cutting_server(answers):
    """Serve one of `answers` on each connection, then close it."""
    remaining = iter(answers)

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(next(remaining))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()


async def ask_target(address):
    ended = asyncio.get_running_loop().create_future()
    pool = TargetPool(
        address=address,
        names=HEADERS,
        on_end=lambda _, result: ended.set_result(result),
        clock=time.monotonic,
        buffers=BufferBudget(limit=1_000_000),
    )
    pool.send(1, b"r-1", REQUEST, head_only=False)
    result = await asyncio.wait_for(ended, 10)
    pool.close_idle()
    return result


async def ask_pool(address):
    ended = asyncio.get_running_loop().create_future()
    pool = ConnectionPool(max_body_bytes=1_000, max_idle=2, clock=time.monotonic)
    pool.send(
        exchange=1,
        address=address,
        data=REQUEST,
        head_only=False,
        handlers=ExchangeHandlers(
            lambda _, answer: ended.set_result(answer), ended.set_result
        ),
    )
    result = await asyncio.wait_for(ended, 10)
    pool.close_idle()
    return result


def beginnings(answer):
    return [answer[:end] for end in range(len(answer))]


def ask_all(ask, answers):
    async def scenario():
        async with cutting_server(answers) as address:
            return [await ask(address) for _ in answers]

    return asyncio.run(scenario())


# Guards against an empty or short success: the sender stops in the head or the body.
@pytest.mark.parametrize("name", ANSWERS_WITH_IDS)
def test_no_beginning_of_a_target_s_answer_counts_as_one(name):
    answer = ANSWERS_WITH_IDS[name]
    *cut, whole = ask_all(ask_target, [*beginnings(answer), answer])
    assert all(isinstance(each, TargetFault) for each in cut)
    assert whole.status == 200
    assert whole.body == (b"" if name == "empty" else b"huts")


@pytest.mark.parametrize("name", ANSWERS)
def test_no_beginning_of_an_answer_to_a_node_counts_as_one(name):
    answer = ANSWERS[name]
    *cut, whole = ask_all(ask_pool, [*beginnings(answer), answer])
    assert all(isinstance(each, Fault) for each in cut)
    assert whole.status == 200
    assert whole.body == (b"" if name == "empty" else b"huts")


def test_no_beginning_of_the_head_of_an_answer_without_a_length_counts_as_one():
    head_end = UNSIZED.index(b"\r\n\r\n") + 4
    cut = ask_all(ask_target, [UNSIZED[:end] for end in range(head_end)])
    assert all(isinstance(each, TargetFault) for each in cut)


# Guards against an exchange without an end, which waits for its deadline.
def test_a_foreign_answer_without_a_length_is_a_fault():
    foreign = UNSIZED.replace(b"r-1", b"r-0")
    [result] = ask_all(ask_target, [foreign])
    assert isinstance(result, TargetFault)


def test_no_beginning_of_an_answer_of_the_store_counts_as_one():
    body = b'{"items": [], "at": 5}'
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)

    async def ask_store(address):
        client = StoreClient(address=address, clock=time.monotonic)
        try:
            return await client.range("")
        except PlatformError as error:
            return error
        finally:
            client.pool.close_idle()

    *cut, whole = ask_all(ask_store, [*beginnings(answer), answer])
    assert all(isinstance(each, PlatformError) for each in cut)
    assert whole.revision == 5

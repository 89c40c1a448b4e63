"""Tests of the server side of the data path against raw bytes."""

import asyncio
import time

import pytest

from buckthornshed.protocol.messages import Answer
from buckthornshed.protocol.outcome import Outcome
from buckthornshed.transport.http_parsing import HEAD_BYTES_MAX, HEADERS_MAX
from buckthornshed.transport.http_server import Listener, ServerHandlers
from buckthornshed.transport.responses import client_response

BODY_MAX = 1_000
GOOD = b"GET /huts HTTP/1.1\r\nhost: a\r\n\r\n"


class Recorder:
    """Answers each request with its path, or keeps it until told to."""

    def __init__(self, *, hold=False):
        self.hold = hold
        self.requests = []
        self.connections = []
        self.rejected = []
        self.abandoned = asyncio.Event()
        self.arrived = asyncio.Event()

    def on_request(self, connection, request):
        self.requests.append(request)
        self.connections.append(connection)
        self.arrived.set()
        if not self.hold:
            connection.respond(response(request.path))

    def on_abandoned(self, connection):
        self.abandoned.set()


def response(body):
    return client_response(Answer(1, Outcome.COMPLETE, 200, body=body))


async def exchange(recorder, *parts, eof=True):
    """Send bytes to a listener and return all that comes back until it closes."""
    handlers = ServerHandlers(
        recorder.on_request, recorder.on_abandoned, recorder.rejected.append
    )
    listener = Listener(
        handlers=handlers,
        body_bytes_max=BODY_MAX,
        connections_max=8,
        clock=time.monotonic,
    )
    await listener.open("127.0.0.1", 0)
    assert listener.server is not None
    port = listener.server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for part in parts:
        writer.write(part)
        await writer.drain()
    if eof:
        writer.write_eof()
    received = await asyncio.wait_for(reader.read(), 10)
    writer.close()
    listener.stop_accepting()
    return received


def post(headers, body=b""):
    return b"POST /book HTTP/1.1\r\nhost: a\r\n" + headers + b"\r\n" + body


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01 not http\r\n\r\n", 400),
        (post(b"content-length: 2\r\ncontent-length: 3\r\n", b"abc"), 400),
        (
            post(b"content-length: 3\r\ntransfer-encoding: chunked\r\n", b"0\r\n\r\n"),
            400,
        ),
        (post(b"transfer-encoding: gzip, chunked\r\n", b"0\r\n\r\n"), 400),
        (post(b"content-length: -1\r\n"), 400),
        (post(b"host: b\r\n"), 400),
        (post(b"x: a\rb\r\n"), 400),
        (post(b"content-length: 2000\r\n", b"x" * 2000), 413),
        (b"GET /" + b"a" * HEAD_BYTES_MAX + b" HTTP/1.1\r\nhost: a\r\n\r\n", 413),
        (post(b"".join(b"h%d: v\r\n" % i for i in range(HEADERS_MAX + 1))), 413),
    ],
)
def test_unacceptable_bytes_get_a_typed_refusal_and_reach_no_one(data, status):
    recorder = Recorder()
    received = asyncio.run(exchange(recorder, data, eof=False))
    assert received.startswith(b"HTTP/1.1 %d " % status)
    assert b"buckthornshed-outcome: not_run" in received
    assert not recorder.requests
    assert recorder.rejected


def test_offer_of_another_protocol_is_ignored_and_ends_the_connection():
    offer = b"connection: upgrade\r\nupgrade: h2c\r\n\r\n"
    recorder = Recorder()
    received = asyncio.run(exchange(recorder, GOOD[:-2] + offer + GOOD, eof=False))
    assert received.count(b"HTTP/1.1 200") == len(recorder.requests) == 1


def test_body_in_pieces_arrives_whole():
    recorder = Recorder()
    chunked = post(b"transfer-encoding: chunked\r\n", b"3\r\nabc\r\n")
    asyncio.run(exchange(recorder, chunked, b"2\r\nde\r\n0\r\n\r\n"))
    assert recorder.requests[0].body == b"abcde"


def test_requests_on_one_connection_are_answered_in_order():
    recorder = Recorder()
    received = asyncio.run(exchange(recorder, GOOD, GOOD.replace(b"huts", b"stalls")))
    assert received.index(b"/huts") < received.index(b"/stalls")


def test_half_closed_connection_gets_its_response():
    async def scenario():
        recorder = Recorder(hold=True)
        task = asyncio.create_task(exchange(recorder, GOOD))
        await asyncio.wait_for(recorder.arrived.wait(), 10)
        recorder.connections[0].respond(response(b"late"))
        return await task

    assert asyncio.run(scenario()).endswith(b"late")


def test_request_parsed_while_another_runs_is_left_unanswered():
    async def scenario():
        recorder = Recorder(hold=True)
        task = asyncio.create_task(exchange(recorder, GOOD + GOOD, eof=False))
        await asyncio.wait_for(recorder.arrived.wait(), 10)
        recorder.connections[0].respond(response(b"first"))
        return recorder, await task

    recorder, received = asyncio.run(scenario())
    assert len(recorder.requests) == 1
    assert received.count(b"HTTP/1.1 200") == 1


def test_reset_of_a_caller_is_reported_once():
    async def scenario():
        recorder = Recorder(hold=True)
        task = asyncio.create_task(exchange(recorder, GOOD, eof=False))
        await asyncio.wait_for(recorder.arrived.wait(), 10)
        recorder.connections[0].cut()
        await asyncio.wait_for(recorder.abandoned.wait(), 10)
        recorder.connections[0].respond(response(b"nobody"))
        return await asyncio.gather(task, return_exceptions=True)

    outcome = asyncio.run(scenario())[0]
    assert outcome == b"" or isinstance(outcome, ConnectionError)


def test_connection_over_the_limit_is_closed():
    async def scenario():
        listener = Listener(
            handlers=ServerHandlers(lambda *_: None, lambda *_: None, lambda *_: None),
            body_bytes_max=BODY_MAX,
            connections_max=0,
            clock=time.monotonic,
        )
        await listener.open("127.0.0.1", 0)
        assert listener.server is not None
        port = listener.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        received = await asyncio.wait_for(reader.read(), 10)
        writer.close()
        listener.stop_accepting()
        return received

    assert asyncio.run(scenario()) == b""

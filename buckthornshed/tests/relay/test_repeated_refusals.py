"""Tests of targets that write an earlier refusal once more on a kept connection."""

import asyncio
import time

import pytest

from buckthornshed.platform.wire import HEADERS
from buckthornshed.transport.buffer_budget import BufferBudget
from buckthornshed.transport.relay.target.target_connection import TargetAnswer
from buckthornshed.transport.relay.target.target_pool import TargetPool

from .fleet import fleet_of
from .standin_target import parse_head

REFUSED, RAN = 503, 200


def run(scenario):
    asyncio.run(scenario)


def answer(request_id, status):
    mark = "not-executed: 1" if status == REFUSED else "response-seal: s"
    return (
        f"HTTP/1.1 {status} X\r\nrequest-id: {request_id}\r\n{mark}\r\n"
        "content-length: 0\r\n\r\n"
    ).encode()


class RepeatingTarget:
    """Refuses the first request, and writes the refusal again where it is asked to.

    Attributes
    ----------
    repeat_before : set of int
        Numbers of the requests, from 0, before whose answer the refusal comes again.
    carried : list of tuple
        Connection and identifier of each request.
    """

    def __init__(self, repeat_before):
        self.repeat_before = repeat_before
        self.carried = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        connection = self.connections
        refusal = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                number = len(self.carried)
                request_id = parse_head(head)["request-id"]
                self.carried.append((connection, request_id))
                if number in self.repeat_before:
                    writer.write(refusal)
                data = answer(request_id, RAN if number else REFUSED)
                refusal = refusal or data
                writer.write(data)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


class Calls:
    """A pool and the ends of its exchanges, in order."""

    def __init__(self, address):
        self.ended: asyncio.Queue = asyncio.Queue()
        self.pool = TargetPool(
            address=address,
            names=HEADERS,
            on_end=lambda _, result: self.ended.put_nowait(result),
            clock=time.monotonic,
            buffers=BufferBudget(limit=1_000_000),
        )
        self.exchange = 0

    async def send(self, request_id):
        self.exchange += 1
        data = f"GET / HTTP/1.1\r\nrequest-id: {request_id}\r\n\r\n".encode()
        self.pool.send(self.exchange, request_id.encode(), data, head_only=False)
        result = await asyncio.wait_for(self.ended.get(), 10)
        assert isinstance(result, TargetAnswer), result
        return result.status


async def play(target, request_ids):
    """Return the statuses of requests that are sent one after another."""
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    calls = Calls(f"{host}:{port}")
    statuses = [await calls.send(each) for each in request_ids]
    calls.pool.close_idle()
    server.close()
    return statuses


# Guards against a request that ran and counts as not run: a late copy of its first
# refusal answered its retry, as another request had used the connection in between.
@pytest.mark.parametrize("others", [0, 1, 2, 5])
def test_a_repeated_refusal_does_not_answer_the_retry_after_other_requests(others):
    ids = ["a", *(f"other-{number}" for number in range(others)), "a"]

    async def scenario():
        target = RepeatingTarget({len(ids) - 1})
        assert await play(target, ids) == [REFUSED] + [RAN] * (len(ids) - 1)
        connections = {connection for connection, each in target.carried if each == "a"}
        assert len(connections) == 2

    run(scenario())


@pytest.mark.parametrize("repeat_before", [{1}, {1, 2, 3}])
def test_a_repeated_refusal_does_not_answer_another_request(repeat_before):
    async def scenario():
        target = RepeatingTarget(repeat_before)
        statuses = await play(target, ["a", "b", "c", "d"])
        assert statuses == [REFUSED, RAN, RAN, RAN]

    run(scenario())


def test_a_connection_that_has_refused_many_requests_is_replaced():
    class RefusingTarget(RepeatingTarget):
        async def serve(self, reader, writer):
            self.connections += 1
            while head := await reader.readuntil(b"\r\n\r\n"):
                writer.write(answer(parse_head(head)["request-id"], REFUSED))

    async def scenario():
        target = RefusingTarget(set())
        server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        calls = Calls(f"{host}:{port}")
        for number in range(200):
            assert await calls.send(f"r-{number}") == REFUSED
        assert 3 <= target.connections <= 5
        assert all(len(each.failed_ids) < 64 for each in calls.pool.idle)
        server.close()

    run(scenario())


def test_a_booking_that_runs_is_not_sent_again_after_a_repeated_refusal():
    """The refusal is written again while the retry of the same booking runs."""

    async def scenario():
        async with fleet_of(1) as fleet:
            relay, target = fleet.relays[0], fleet.targets[0]
            target.scripts = ["full-then-copy"] * 3
            answers = await asyncio.gather(
                *(
                    fleet.ask(relay, "/book/1", body=b"x", request_id=f"b-{number}")
                    for number in range(6)
                )
            )
            for number, each in enumerate(answers):
                runs = target.ran.count(f"b-{number}")
                assert runs <= 1
                assert runs == 0 or each.status == 200

    run(scenario())

"""Peak memory of relay processes whose target, or whose peer's target, sends much."""

import asyncio
from collections import Counter
from contextlib import asynccontextmanager
from random import Random

import pytest

from buckthornshed.tests.endless_bytes import ANSWERS, send_endless

from .process_pair import REMOTE, process_pair

pytestmark = pytest.mark.processes

LIMIT_S = 120.0
MEGABYTE = 1_000_000
ZEROS = bytes(64 * 1024)
NOISE = Random(50).randbytes(64 * 1024)
"""Bytes that do not become fewer when they are compressed."""


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), LIMIT_S))


@asynccontextmanager
async def target(answer):
    """Serve the target of ``stalls``; `answer` is awaited with each request."""
    writers = set()

    async def serve(reader, writer):
        writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.lower().split(b"\r\n")
                (request_id,) = [
                    line.partition(b": ")[2]
                    for line in lines
                    if line.startswith(b"request-id: ")
                ]
                small = request_id == b"r-0"
                await (large_answer(4) if small else answer)(request_id, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(serve, REMOTE, 0)
    host, port = server.sockets[0].getsockname()
    yield f"{host}:{port}"
    server.close()
    for writer in writers:
        writer.transport.abort()


def large_answer(size, part=ZEROS):
    async def answer(request_id, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nrequest-id: %s\r\nresponse-seal: s\r\n"
            b"content-length: %d\r\n\r\n" % (request_id, size)
        )
        for begin in range(0, size, len(part)):
            writer.write(part[: size - begin])
            await writer.drain()

    return answer


@pytest.mark.parametrize(
    ("count", "size", "part", "memory"),
    [
        (40, 15 * MEGABYTE, ZEROS, 300),
        (200, 4 * MEGABYTE, ZEROS, 200),
        (200, 4 * MEGABYTE, ZEROS, 300),
        (40, 4 * MEGABYTE, NOISE, 200),
    ],
    ids=["40 of 15 MB", "200 of 4 MB in 200", "200 of 4 MB in 300", "noise"],
)
def test_large_answers_between_relays_end_no_relay(tmp_path, count, size, part, memory):
    """Guards against a relay that is killed with the requests of all its clients."""

    async def scenario():
        async with (
            target(large_answer(size, part)) as address,
            process_pair(tmp_path, address, memory=memory, timeout=15.0) as pair,
        ):
            asked = [asyncio.create_task(pair.ask(n + 1)) for n in range(count)]
            small = [await pair.ask(n + 1_000, "/front/1") for n in range(20)]
            statuses = Counter(await asyncio.gather(*asked))
            peaks = pair.peaks()
            print(
                f"{count} x {size}: {dict(statuses)}, peaks {peaks}, {Counter(small)}"
            )
            assert len(peaks) == 2
            assert max(peaks.values()) <= memory
            assert 200 in statuses
            assert set(statuses) <= {200, 502, 503, 504}
            assert set(small) == {200}

    run(scenario)


@pytest.mark.parametrize("kind", ANSWERS)
def test_answers_without_an_end_end_no_relay(tmp_path, kind):
    async def endless(_, writer):
        await send_endless(ANSWERS[kind], writer)
        raise ConnectionError

    async def scenario():
        async with (
            target(endless) as address,
            process_pair(tmp_path, address, memory=300, timeout=15.0) as pair,
        ):
            asked = [asyncio.create_task(pair.ask(n + 1)) for n in range(40)]
            small = [await pair.ask(n + 1_000, "/front/1") for n in range(20)]
            statuses = Counter(await asyncio.gather(*asked))
            peaks = pair.peaks()
            print(f"{kind}: {dict(statuses)}, peaks {peaks}, {Counter(small)}")
            assert len(peaks) == 2
            assert max(peaks.values()) <= 300
            assert set(statuses) <= {502, 503, 504}
            assert set(small) == {200}

    run(scenario)

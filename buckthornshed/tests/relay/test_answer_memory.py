"""Tests of the memory that answers take until slow clients have read them."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornshed.coordination.relay.admission.answer_memory import (
    ADMITTED_FRACTION,
    HELD_FRACTION,
    AnswerMemory,
)

from .fleet import fleet_of, until

MEMORY = 60_000_000
ANSWER_BYTES = 8_000_000
CLIENTS = 14


def run(scenario):
    asyncio.run(scenario)


async def read_status(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1])


# Guards against a relay that exceeds its memory limit and is killed with all its
# requests: clients ask for large answers and do not read them.
@pytest.mark.parametrize("at_once", [False, True])
def test_large_answers_that_nobody_reads_do_not_exceed_the_memory(at_once):
    async def scenario():
        async with fleet_of(1, front="front", timeout=20.0) as fleet:
            await fleet.add("front")
            await fleet.wait_until_connected()
            entry, stalls = fleet.relays[0], fleet.targets[0]
            entry.responses.memory.memory = MEMORY
            stalls.body = bytes(ANSWER_BYTES)
            connections = [await fleet.connect(entry) for _ in range(CLIENTS)]
            statuses = []
            for _, writer in connections:
                writer.write(fleet.request("/avail/1", deadline=20_000))
                if not at_once:
                    await asyncio.sleep(0.02)
            for reader, _ in connections:
                statuses.append(await read_status(reader))
                assert entry.listener.unsent_bytes <= MEMORY * HELD_FRACTION
            assert 200 in statuses
            assert set(statuses) <= {200, 502, 503}
            assert len(stalls.ran) == CLIENTS - statuses.count(503)
            assert (await fleet.ask(entry, "/front/1")).status == 200
            for _, writer in connections:
                writer.transport.abort()

    run(scenario())


def test_a_request_for_a_large_answer_is_refused_before_it_runs():
    async def scenario():
        async with fleet_of(1, timeout=20.0) as fleet:
            entry, stalls = fleet.relays[0], fleet.targets[0]
            stalls.body = bytes(ANSWER_BYTES)
            assert (await fleet.ask(entry)).status == 200
            entry.responses.memory.memory = 3 * ANSWER_BYTES
            reader, writer = await fleet.connect(entry)
            writer.write(fleet.request("/avail/1"))
            assert await read_status(reader) == 200
            await until(lambda: entry.listener.unsent_bytes)
            refused = await fleet.ask(entry)
            assert refused.status == 503
            assert float(refused.headers["retry-after"]) > 0
            assert len(stalls.ran) == 2
            assert not entry.responses.memory.reserved
            writer.transport.abort()
            await until(lambda: not entry.listener.unsent_bytes)
            assert (await fleet.ask(entry)).status == 200

    run(scenario())


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b"]),
            st.integers(0, 5_000_000),
            st.integers(0, 3),
        ),
        max_size=60,
    )
)
def test_held_answers_stay_within_their_part_of_the_memory(steps):
    held = 0
    memory = AnswerMemory(memory=20_000_000, held_bytes=lambda: held)
    for token, (route, size, read) in enumerate(steps):
        if memory.begin(token, route):
            memory.end(token)
            if memory.accept(route, size) and size >= 65_536:
                held += size
                assert held <= 20_000_000 * HELD_FRACTION
        held -= min(held, read * 2_000_000)
    assert not memory.reserved


def test_the_expected_size_falls_until_a_route_is_no_longer_large():
    memory = AnswerMemory(memory=1_000_000, held_bytes=lambda: 0)
    assert memory.accept("a", 400_000)
    memory.reserved[0] = 1.0
    assert not memory.begin(1, "a")
    for _ in range(60):
        assert memory.accept("a", 100)
    assert memory.expected == {}
    assert memory.begin(1, "a")


def test_requests_in_progress_take_their_expected_part():
    limit = int(400_000 / ADMITTED_FRACTION)
    memory = AnswerMemory(memory=limit, held_bytes=lambda: 0)
    assert memory.accept("a", 150_000)
    assert [memory.begin(token, "a") for token in range(3)] == [True, True, False]
    memory.end(0)
    assert memory.begin(3, "a")

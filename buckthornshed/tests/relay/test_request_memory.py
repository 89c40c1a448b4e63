"""Tests of the memory that large requests take until they end."""

import asyncio
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornshed.coordination.relay.admission.request_memory import (
    HELD_FRACTION,
    LARGE_REQUEST_BYTES,
    RequestMemory,
)
from buckthornshed.state.generation import Generation
from buckthornshed.transport.http_parsing import MessageCollector

from .fleet import configuration, fleet_of, until
from .process_pair import ENTRY, REMOTE, process_pair
from .standin_target import StandinTarget

UPLOAD_BYTES = 10_000_000
MEMORY = 300
SLOW_READ_BYTES = 65_536
SLOW_READ_INTERVAL_S = 0.05


def run(scenario):
    asyncio.run(scenario())


def large_bodies(document):
    document["limits"]["maxBodyBytes"] = 67_108_864
    return document


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9_000_000)), max_size=60))
def test_held_requests_stay_within_their_part_of_the_memory(steps):
    memory = RequestMemory(memory=20_000_000)
    held: dict[int, int] = {}
    for key, size in steps:
        if key in held:
            memory.end(key)
            del held[key]
        elif memory.begin(key, size):
            held[key] = size if size >= LARGE_REQUEST_BYTES else 0
        assert memory.total == sum(held.values())
        large = [size for size in held.values() if size]
        assert memory.total <= 20_000_000 * HELD_FRACTION or len(large) == 1


async def set_limits(fleet, front="stalls"):
    document = large_bodies(configuration(2, timeout=10.0, front=front))
    await fleet.store.put("op/config", document)
    await until(
        lambda: all(
            r.fleet_view.catalog.generation == Generation(2) for r in fleet.relays
        )
    )


# Guards against a 413, which no client repeats, for a request within the limits that is
# dropped because others take the memory (review/10).
def test_an_upload_that_is_dropped_for_memory_gets_503_and_may_come_again():
    async def scenario():
        async with fleet_of(1) as fleet:
            (relay,) = fleet.relays
            await set_limits(fleet)
            relay.listener.buffers.limit = 200_000
            response = await fleet.ask(relay, "/book/1", body=b"x" * 1_000_000)
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert response.headers["connection"] == "close"
            assert not fleet.targets[0].ran
            relay.listener.buffers.limit = 2_000_000
            response = await fleet.ask(relay, "/book/1", body=b"x" * 1_000_000)
            assert response.status == 200

    run(scenario)


def test_a_body_beyond_the_limit_of_the_configuration_still_gets_413():
    async def scenario():
        async with fleet_of(1) as fleet:
            response = await fleet.ask(
                fleet.relays[0], "/book/1", body=b"x" * 1_000_000
            )
            assert response.status == 413

    run(scenario)


def test_a_collector_tells_its_own_limit_from_that_of_all():
    collector = MessageCollector(max_body_bytes=10, on_message=lambda: None)
    collector.on_message_begin()
    collector.on_body(b"x" * 11)
    assert collector.too_large
    assert not collector.dropped
    collector.on_message_begin()
    collector.overflow()
    assert collector.too_large
    assert collector.dropped


# Guards against a relay that is killed as requests wait for slow targets (review/8).
@pytest.mark.parametrize("where", ["entry", "target"])
def test_a_large_request_beyond_the_memory_is_refused_as_not_run(where):
    async def scenario():
        async with fleet_of(1, front="front") as fleet:
            remote, stalls = await fleet.add("front")
            await fleet.wait_until_connected()
            await set_limits(fleet, "front")
            entry = fleet.relays[0]
            memory = (
                entry.requests.request_memory
                if where == "entry"
                else remote.local_target.memory
            )
            memory.memory = int(2_500_000 / HELD_FRACTION)
            stalls.scripts = ["slow"] * 2
            body = b"x" * 1_000_000
            held = [
                asyncio.create_task(fleet.ask(entry, "/front/1", body=body))
                for _ in range(2)
            ]
            await until(lambda: len(stalls.ran) == 2)
            refused = await fleet.ask(entry, "/front/1", body=body)
            assert refused.status == 503
            assert float(refused.headers["retry-after"]) > 0
            assert (await fleet.ask(entry, "/front/1", body=b"small")).status == 200
            stalls.release.set()
            assert [(await each).status for each in held] == [200, 200]
            await until(lambda: not memory.total)
            assert not memory.held
            assert (await fleet.ask(entry, "/front/1", body=body)).status == 200

    run(scenario)


def test_memory_is_free_again_after_clients_leave():
    async def scenario():
        async with fleet_of(1) as fleet:
            (relay,), (target,) = fleet.relays, fleet.targets
            await set_limits(fleet)
            target.scripts = ["hang"]
            _, writer = await fleet.connect(relay)
            writer.write(fleet.request("/avail/1", body=b"x" * 1_000_000))
            await until(lambda: target.ran)
            assert relay.requests.request_memory.total
            writer.transport.abort()
            await until(lambda: not relay.requests.request_memory.total)
            await until(lambda: not relay.local_target.memory.total)

    run(scenario)


class SlowTarget(StandinTarget):
    """Reads requests slowly."""

    async def _serve(self, reader, writer):
        original = reader.readexactly

        async def read_slowly(count):
            parts = []
            while count:
                part = await original(min(count, SLOW_READ_BYTES))
                parts.append(part)
                count -= len(part)
                if len(part) == SLOW_READ_BYTES:
                    await asyncio.sleep(SLOW_READ_INTERVAL_S)
            return b"".join(parts)

        reader.readexactly = read_slowly
        await super()._serve(reader, writer)


@pytest.mark.processes
def test_uploads_to_a_slow_target_end_no_relay(tmp_path):
    async def upload(pair, number):
        reader, writer = await asyncio.open_connection(ENTRY, pair.client_port)
        writer.write(
            f"POST /avail/{number} HTTP/1.1\r\nHost: stalls.example\r\n"
            f"Request-Id: r-{number}\r\nDeadline-Ms: 6000\r\n"
            f"Content-Length: {UPLOAD_BYTES}\r\n\r\n".encode()
        )
        writer.write(bytes(UPLOAD_BYTES))
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        finally:
            writer.transport.abort()
        return int(head.split(b" ", 2)[1])

    async def scenario():
        target = SlowTarget("i-stalls")
        await target.open(REMOTE)
        async with process_pair(
            tmp_path, target.address, memory=MEMORY, timeout=6.0
        ) as pair:
            await pair.store.put(
                "op/config",
                large_bodies(configuration(2, timeout=6.0, front="front")),
            )
            await asyncio.sleep(2.0)
            uploads = [asyncio.create_task(upload(pair, n + 1)) for n in range(30)]
            small = [await pair.ask(n + 1_000, "/front/1") for n in range(20)]
            statuses = Counter(await asyncio.gather(*uploads))
            peaks = pair.peaks()
            print(f"uploads: {dict(statuses)}, peaks {peaks}, {Counter(small)}")
            assert len(peaks) == 2
            assert max(peaks.values()) <= MEMORY
            assert set(statuses) <= {200, 503, 504}
            assert set(small) == {200}
        target.close()

    asyncio.run(asyncio.wait_for(scenario(), 60.0))

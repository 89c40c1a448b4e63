"""Tests of the memory that large requests take until they end."""

import asyncio

from buckthornshed.transport.http_parsing import MessageCollector

from .fleet import configuration, fleet_of, until


def run(scenario):
    asyncio.run(scenario())


def large_bodies(document):
    document["limits"]["maxBodyBytes"] = 67_108_864
    return document


async def set_limits(fleet, front="stalls"):
    document = large_bodies(configuration(2, timeout=10.0, front=front))
    await fleet.store.put("op/config", document)
    await until(lambda: all(r.fleet_view.catalog.generation == 2 for r in fleet.relays))


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

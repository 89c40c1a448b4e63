"""Tests of the relay beside a target whose registration is removed."""

import asyncio

from buckthornshed.state.generation import Generation

from .fleet import ManualClock, configuration, fleet_of, until

DEADLINE_MS = 60_000


def run(scenario):
    asyncio.run(scenario)


def knows(relay, target):
    return target.name in relay.fleet_view.targets


async def hold_links(fleet, callers, target):
    """Let relays have a call in progress at a target; return the requests."""
    requests = []
    for relay in callers:
        running = len(target.ran)
        target.scripts.append("slow")
        asked = fleet.ask(relay, "/front/1", deadline=DEADLINE_MS)
        requests.append(asyncio.create_task(asked))
        await until(lambda running=running: len(target.ran) > running)
    return requests


def stop_reading(fleet, relay):
    """Let a relay no longer read the store, as if its watch had not reported yet."""
    fleet.tasks[relay][0].cancel()


def report_reading(relay, readers):
    """Let a relay have fresh reports of others, which the clock keeps fresh."""
    store_readers = relay.fleet_exchange.store_readers
    store_readers.ahead = [reader.instance for reader in readers]
    for instance in store_readers.ahead:
        store_readers.record(relay.clock(), instance, succeeded=True)


# Guards against requests to a removed target: the others keep their links while calls
# are pending, so the relay beside it waits for them to tell it, which they did not.
# The clock stands still, so that no report of a reader expires.
def test_the_relay_beside_a_removed_target_is_told_on_links_with_pending_calls():
    async def scenario():
        clock = ManualClock()
        async with fleet_of(4, clock=clock, front="front", timeout=60.0) as fleet:
            beside, target = await fleet.add("front")
            await fleet.wait_until_connected()
            callers = fleet.relays[:3]
            reader = fleet.relays[3]
            requests = await hold_links(fleet, callers, target)
            report_reading(beside, callers)
            # Without relays before it, the fourth one reads.
            reader.fleet_exchange.store_readers.ahead.clear()
            await until(lambda: not fleet.readers[reader].standing_by)
            for relay in (*callers, beside):
                stop_reading(fleet, relay)
            assert not beside.fleet_updater.reads_store()
            await fleet.store.delete(f"servers/{target.name}")
            await until(lambda: not any(knows(each, target) for each in fleet.relays))
            assert reader.fleet_view.targets.keys() == beside.fleet_view.targets.keys()
            assert beside.fleet_updater.reads_store()
            target.release.set()
            answers = await asyncio.gather(*requests)
            assert [answer.status for answer in answers] == [200] * 3

    run(scenario())


# Guards against an old configuration: nobody tells the relay of further changes.
def test_the_relay_beside_a_removed_target_reads_changes_by_itself():
    async def scenario():
        async with fleet_of(
            4, clock=ManualClock(), front="front", timeout=60.0
        ) as fleet:
            beside, target = await fleet.add("front")
            await fleet.wait_until_connected()
            requests = await hold_links(fleet, fleet.relays[:3], target)
            report_reading(beside, fleet.relays[:3])
            await fleet.store.delete(f"servers/{target.name}")
            await until(lambda: not knows(beside, target))
            await fleet.store.put("op/config", configuration(2, front="front"))
            await until(lambda: beside.fleet_view.catalog.generation == Generation(2))
            target.release.set()
            await asyncio.gather(*requests)

    run(scenario())

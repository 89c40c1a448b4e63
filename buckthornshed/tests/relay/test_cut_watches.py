"""Tests of watches that the store cuts while it serves all other calls."""

import asyncio

import pytest

from .fleet import ManualClock, fleet_of, until

GRACE_S = 2.0
"""Time after an outage of the store for which ended registrations are kept."""


def run(scenario):
    asyncio.run(scenario)


async def cut_watches(fleet):
    """Cut the watches of all relays and wait until all watch again."""
    await until(lambda: len(fleet.store.waiting) == len(fleet.relays))
    calls = len(fleet.store.calls)
    assert fleet.store.cut_watches() == len(fleet.relays)
    await until(lambda: len(fleet.store.calls) >= calls + len(fleet.relays))


def uses(relay, target):
    usable = relay.fleet_view.usable.get("stalls", ())
    return any(each.name == target.name for each in usable)


# Guards against requests to a removed target: a cut watch counted as an outage, after
# which ended registrations were kept. The clock stands still, so no grace period ends.
@pytest.mark.parametrize("cuts_before", [1, 2])
def test_a_target_that_is_removed_after_a_cut_watch_is_not_used(cuts_before):
    async def scenario():
        async with fleet_of(3, clock=ManualClock()) as fleet:
            gone = fleet.targets[0]
            for _ in range(cuts_before):
                await cut_watches(fleet)
            await fleet.store.delete(f"servers/{gone.name}")
            await until(lambda: not any(uses(relay, gone) for relay in fleet.relays))
            assert all(relay.fleet_view.grace_until == 0.0 for relay in fleet.relays)

    run(scenario())


def test_a_removal_that_a_cut_watch_would_have_reported_is_not_missed():
    async def scenario():
        async with fleet_of(1, clock=ManualClock()) as fleet:
            [relay], [gone] = fleet.relays, fleet.targets
            await until(lambda: fleet.store.waiting)
            fleet.store.cut_watches()
            await fleet.store.delete(f"servers/{gone.name}")
            await until(lambda: not uses(relay, gone))

    run(scenario())


# Guards the registrations that an outage must keep, if it begins with a cut watch.
@pytest.mark.parametrize("mode", ["reset", "busy", "many", "silent"])
def test_an_outage_that_begins_with_a_cut_watch_keeps_the_targets(mode):
    async def scenario():
        clock = ManualClock()
        async with fleet_of(2, clock=clock) as fleet:
            lapsed, lost = fleet.targets
            await until(lambda: len(fleet.store.waiting) == 2)
            fleet.store.mode = mode
            fleet.store.cut_watches()
            await until(
                lambda: all(each.fleet_view.store_unavailable for each in fleet.relays)
            )
            await fleet.store.delete(f"servers/{lapsed.name}")
            await fleet.store.delete(f"servers/{lost.name}")
            fleet.store.mode = "up"
            fleet.store.cut_watches()
            pending = {lapsed.name, lost.name}
            await until(
                lambda: all(
                    relay.fleet_view.pending_removal == pending
                    for relay in fleet.relays
                )
            )
            assert all(uses(r, t) for r in fleet.relays for t in fleet.targets)
            clock.advance(GRACE_S - 0.1)
            await fleet.register(lapsed, "stalls", seq=2)
            await until(
                lambda: all(
                    relay.fleet_view.pending_removal == {lost.name}
                    for relay in fleet.relays
                )
            )
            assert all(uses(relay, lost) for relay in fleet.relays)
            clock.advance(0.2)
            await until(lambda: not any(uses(each, lost) for each in fleet.relays))
            assert all(uses(relay, lapsed) for relay in fleet.relays)

    run(scenario())


def test_watches_that_are_cut_all_the_time_do_not_flood_the_store():
    async def scenario():
        async with fleet_of(1) as fleet:
            store = fleet.store
            begun = asyncio.get_running_loop().time()
            calls = len(store.calls)
            while len(store.calls) < calls + 10:
                store.cut_watches()
                await asyncio.sleep(0.001)
            assert asyncio.get_running_loop().time() - begun > 10 * 0.02

    run(scenario())

"""Tests of a relay that is told by others of a registration that has ended."""

import asyncio

from .fleet import STORE, run, simulated_fleet


def cut_off(fleet, instance):
    """Cut a relay from the store and from all others but the first relay."""
    others = [each.host for each in fleet.instances[1:] if each is not instance]
    for host in (STORE, *others):
        fleet.network.cut(instance.host, host)


# Guards against calls to a removed target: the relay beside it starts after the removal
# and a relay that has not heard of that tells it of the target.
def test_a_relay_that_starts_beside_a_removed_target_does_not_use_it():
    async def scenario():
        async with simulated_fleet([4]) as fleet:
            await asyncio.sleep(5.0)
            started, behind = fleet.instances[0], fleet.instances[3]
            cut_off(fleet, behind)
            started.stop()
            name = started.name
            await started.unregister()
            await asyncio.sleep(0.5)
            assert name in behind.relay.fleet_view.targets
            await fleet.start(started)
            await asyncio.sleep(3.0)
            assert name not in started.relay.fleet_view.targets
            assert name not in fleet.instances[1].relay.fleet_view.targets

    run(scenario)


# Guards the registrations that only others have read: they are not taken for ended.
def test_a_relay_keeps_the_targets_that_others_tell_it_while_it_cannot_read():
    async def scenario():
        async with simulated_fleet([4]) as fleet:
            await asyncio.sleep(5.0)
            cut = fleet.instances[0]
            fleet.network.cut(cut.host, STORE)
            cut.stop()
            await fleet.start(cut)
            await asyncio.sleep(5.0)
            names = {each.name for each in fleet.instances}
            assert cut.relay.fleet_view.targets.keys() == names
            fleet.network.heal(cut.host, STORE)
            await asyncio.sleep(5.0)
            assert cut.relay.fleet_view.targets.keys() == names

    run(scenario)


# Guards against calls to a removed target: the end of a link was to tell the relay
# beside it, and the end of a connection that has become silent never arrives.
def test_the_relay_beside_a_removed_target_is_told_before_its_links_are_closed():
    async def scenario():
        async with simulated_fleet([5]) as fleet:
            await asyncio.sleep(8.0)
            gone = next(
                each for each in fleet.instances if not each.relay.fleet_updater.reading
            )
            told: list[str] = []
            apply = gone.relay.fleet_updater.apply_update

            def record(update, sender=""):
                told.extend(name for name, _, _ in update.tombstones)
                apply(update, sender)

            gone.relay.fleet_updater.apply_update = record
            name = gone.name
            await gone.unregister()
            await asyncio.sleep(1.0)
            assert name in told
            assert gone.relay.local_target.draining

    run(scenario)

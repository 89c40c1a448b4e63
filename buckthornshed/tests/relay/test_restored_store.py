"""Tests of a store that returns from an old copy and gives out revisions again."""

import asyncio

from buckthornshed.state.generation import Generation

from .fleet import configuration, fleet_of, until


def run(scenario):
    asyncio.run(scenario)


def generations(fleet):
    return [relay.fleet_view.catalog.generation for relay in fleet.relays]


def test_changes_whose_revisions_are_given_out_again_are_not_missed():
    async def scenario():
        async with fleet_of(2) as fleet:
            store, gone = fleet.store, fleet.targets[0]
            copy = store.copy()
            for number in range(4):
                await store.put(f"other/{number}", {})
            watched = store.revision
            await until(lambda: any(f"after={watched}" in call for call in store.calls))
            store.mode = "reset"
            await store.restore(copy)
            await store.put("op/config", configuration(2))
            await store.delete(f"servers/{gone.name}")
            for number in range(4):
                await store.put(f"other/{number}", {})
            assert store.revision > watched
            store.mode = "up"
            await until(lambda: generations(fleet) == [Generation(2)] * 2)
            await until(
                lambda: all(
                    gone.name not in relay.fleet_view.targets for relay in fleet.relays
                )
            )

    run(scenario())


def test_a_configuration_of_an_old_copy_does_not_come_into_force():
    async def scenario():
        async with fleet_of(1) as fleet:
            copy = fleet.store.copy()
            await fleet.store.put("op/config", configuration(2))
            await until(lambda: generations(fleet) == [Generation(2)])
            await fleet.store.restore(copy)
            await reread(fleet)
            assert generations(fleet) == [Generation(2)]

    run(scenario())


def test_targets_that_are_missing_in_an_old_copy_are_kept_until_they_register_again():
    async def scenario():
        async with fleet_of(1) as fleet:
            target = fleet.targets[0]
            copy = fleet.store.copy()
            _, items, _ = copy
            del items[f"servers/{target.name}"]
            await fleet.store.restore(copy)
            await reread(fleet)
            response = await fleet.ask(fleet.relays[0])
            assert response.status == 200
            await fleet.register(target, "stalls", seq=2)
            view = fleet.relays[0].fleet_view
            await until(lambda: not view.pending_removal)
            assert target.name in view.targets

    run(scenario())


def test_a_target_that_left_before_an_old_copy_returned_is_not_used_again():
    async def scenario():
        async with fleet_of(3) as fleet:
            gone = fleet.targets[0]
            copy = fleet.store.copy()
            await fleet.store.delete(f"servers/{gone.name}")
            await until(
                lambda: all(
                    gone.name not in relay.fleet_view.targets for relay in fleet.relays
                )
            )
            await fleet.store.restore(copy)
            await reread(fleet)
            await fleet.restart(1)
            relay = fleet.relays[1]
            await until(
                lambda: (
                    relay.fleet_view.targets
                    and gone.name not in relay.fleet_view.targets
                    and gone.name in relay.fleet_view.tombstones
                )
            )
            for _ in range(6):
                response = await fleet.ask(relay)
                assert response.status == 200
            assert gone.received == []

    run(scenario())


async def reread(fleet):
    """Wait until all relays have noticed that the store was restored."""
    readers = [fleet.readers[relay] for relay in fleet.relays]
    await until(lambda: all(reader.client.era == fleet.store.era for reader in readers))
    await until(lambda: all(reader.revision is not None for reader in readers))

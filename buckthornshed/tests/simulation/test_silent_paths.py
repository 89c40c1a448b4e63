"""Tests of paths to the store that become silent without a reset."""

import asyncio

import pytest

from .fleet import CONFIGURATION_BOUND_S, STORE, run, simulated_fleet

START_S = 8.0


def readers(fleet):
    return [each for each in fleet.instances if each.relay.fleet_updater.reading]


def generation(instance):
    return instance.relay.fleet_view.catalog.generation


# Guards against an old configuration at relays that count on readers which the store
# does not answer. Each moment hits another phase of the readers' watches.
@pytest.mark.parametrize("moment", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7])
def test_a_change_is_in_force_in_time_while_all_readers_are_cut_from_the_store(moment):
    async def scenario():
        async with simulated_fleet([5, 4]) as fleet:
            await asyncio.sleep(START_S + moment)
            cut = readers(fleet)
            assert 0 < len(cut) < len(fleet.instances)
            for each in cut:
                fleet.network.cut(each.host, STORE)
            await fleet.publish()
            await asyncio.sleep(CONFIGURATION_BOUND_S)
            others = [each for each in fleet.instances if each not in cut]
            assert {generation(each) for each in others} == {fleet.version}

    run(scenario)

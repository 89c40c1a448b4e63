"""Tests of paths to the store that become silent without a reset."""

import asyncio

import pytest

from buckthornshed.state.generation import Generation

from .fleet import (
    CONFIGURATION_BOUND_S,
    DRAIN_BOUND_S,
    STABLE_S,
    STORE,
    run,
    simulated_fleet,
)

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
            assert {generation(each) for each in others} == {Generation(fleet.version)}

    run(scenario)


# Guards against calls to a removed target: watches on silent connections counted as an
# outage of the store, after which targets are kept for a while.
@pytest.mark.parametrize("moment", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7])
def test_a_removal_applies_after_all_connections_have_become_silent(moment):
    async def scenario():
        async with simulated_fleet([5, 4]) as fleet:
            await asyncio.sleep(START_S + moment)
            hosts = [STORE, *(each.host for each in fleet.instances)]
            for each in fleet.instances:
                for host in hosts:
                    fleet.network.silence(each.host, host)
            gone = fleet.instances[0]
            await asyncio.sleep(STABLE_S - DRAIN_BOUND_S)
            await gone.unregister()
            await asyncio.sleep(DRAIN_BOUND_S)
            views = [each.relay.fleet_view for each in fleet.instances]
            assert not any(gone.name in view.targets for view in views)
            assert gone.relay.local_target.draining

    run(scenario)

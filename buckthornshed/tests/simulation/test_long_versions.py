"""Tests of versions of 20 digits while a failure domain cannot read the store."""

import asyncio

import pytest

from buckthornshed.state.generation import Generation

from .fleet import CONFIGURATION_BOUND_S, STORE, run, simulated_fleet

VERSION = 20_261_207_221_530_123_456
STEPS = [1, 7, 1_000_000, 10**30]


# Guards against a domain that goes on with an old configuration, as the number of the
# new one does not fit into the messages between relays.
@pytest.mark.parametrize("step", STEPS)
def test_a_domain_without_the_store_gets_long_versions_from_others(step):
    async def scenario():
        async with simulated_fleet([4, 4]) as fleet:
            fleet.version = VERSION
            await fleet.publish()
            await asyncio.sleep(8.0)
            cut = [each for each in fleet.instances if each.domain == "b"]
            for each in cut:
                fleet.network.cut(STORE, each.host)
            await asyncio.sleep(4.0)
            for _ in range(3):
                fleet.version += step - 1
                await fleet.publish()
                await asyncio.sleep(CONFIGURATION_BOUND_S)
                generations = [each.relay.fleet_view.catalog.generation for each in cut]
                assert generations == [Generation(fleet.version)] * len(cut)
            assert not fleet.stale

    run(scenario)

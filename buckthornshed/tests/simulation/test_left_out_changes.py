"""Tests of a store whose watches leave out changes, but state a later revision."""

import asyncio

import pytest

from buckthornshed.state.generation import Generation

from .fleet import CONFIGURATION_BOUND_S, run, simulated_fleet

START_S = 8.0


def leave_out_changes(fleet, seconds):
    """Let each watch hear nothing for a while, and then continue after it."""
    store, loop = fleet.store, fleet.loop
    watch, until = store._watch, loop.now + seconds

    async def hear_nothing(query):
        if loop.now >= until:
            return await watch(query)
        wait = min(int(query["waitMs"]) / 1e3, until - loop.now)
        await asyncio.sleep(wait)
        return 200, {"events": [], "at": store.revision}

    store._watch = hear_nothing


# Guards against an old configuration at all relays: their readers took the absence of
# events for the absence of changes, and went on from the later revision.
@pytest.mark.parametrize("sizes", [(6,), (4, 4, 4)])
def test_a_configuration_that_a_watch_leaves_out_is_read(sizes):
    async def scenario():
        async with simulated_fleet(sizes) as fleet:
            await asyncio.sleep(START_S)
            leave_out_changes(fleet, 1.5)
            await fleet.publish()
            await asyncio.sleep(CONFIGURATION_BOUND_S)
            generations = {
                each.relay.fleet_view.catalog.generation for each in fleet.instances
            }
            assert generations == {Generation(fleet.version)}

    run(scenario)

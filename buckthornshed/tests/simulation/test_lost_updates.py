"""Tests of updates that are lost with the connection they were sent on."""

import asyncio

import pytest

from buckthornshed.coordination.relay.fleet.sponsors import sponsors
from buckthornshed.state.generation import Generation

from .fleet import CONFIGURATION_BOUND_S, run, simulated_fleet

BUSY_S = 0.25
"""Time for which a busy process does not look at the readers that it counts on."""


@pytest.fixture(autouse=True)
def busy_relays(monkeypatch):
    monkeypatch.setattr("buckthornshed.platform.reader.STANDBY_INTERVAL_S", BUSY_S)


def split_by_reading(fleet):
    readers = [each for each in fleet.instances if each.relay.fleet_updater.reading]
    return readers, [each for each in fleet.instances if each not in readers]


def without_sponsor(fleet, readers, listeners):
    """Return a relay that gets no view from any of the readers."""
    domains = {each.host: each.domain for each in fleet.instances}
    hosts = {each.host for each in readers}
    return next(each for each in listeners if not sponsors(each.host, domains) & hosts)


def reset_links(fleet, readers, listener):
    """Reset the links of the readers to a relay, not its own links to them."""
    hosts = {each.host for each in readers}
    for transport in list(fleet.network.transports):
        remote = transport.remote
        if transport.local[0] in hosts and remote == (listener.host, 7620):
            transport.reset()
            transport.peer.reset()


async def until_readers_wait(fleet, readers):
    """Let the targets write nothing, so that the watches of all readers wait."""
    for each in fleet.instances:
        each.registered = False
    while len(fleet.store.waiting) < len(readers):
        await asyncio.sleep(0.01)


# Guards against an old configuration: it is told once, and the next one may come late.
def test_a_configuration_that_is_lost_with_the_links_of_the_readers_is_made_up_for():
    async def scenario():
        async with simulated_fleet([12]) as fleet:
            await asyncio.sleep(8.0)
            readers, listeners = split_by_reading(fleet)
            assert len(readers) == 3
            listener = without_sponsor(fleet, readers, listeners)
            await until_readers_wait(fleet, readers)
            reset_links(fleet, readers, listener)
            await fleet.publish()
            await asyncio.sleep(CONFIGURATION_BOUND_S)
            assert listener.relay.fleet_view.catalog.generation == Generation(
                fleet.version
            )

    run(scenario)


# Guards against calls to a leaving target.
def test_a_leaving_target_that_is_lost_with_the_links_of_the_readers_is_made_up_for():
    async def scenario():
        async with simulated_fleet([12]) as fleet:
            await asyncio.sleep(8.0)
            readers, listeners = split_by_reading(fleet)
            listener = without_sponsor(fleet, readers, listeners)
            await until_readers_wait(fleet, readers)
            reset_links(fleet, readers, listener)
            await listener.register("draining")
            listener.registered = False
            await asyncio.sleep(CONFIGURATION_BOUND_S)
            assert listener.relay.local_target.draining

    run(scenario)

"""Tests of relays that lose single messages about the fleet."""

import asyncio

import pytest

from buckthornshed.protocol.relay_messages import FleetUpdate
from buckthornshed.state.generation import Generation

from .fleet import (
    CONFIGURATION_BOUND_S,
    DRAIN_BOUND_S,
    run,
    simulated_fleet,
)

START_S = 8.0
STEP_S = 0.35
LOSS_S = 0.5
"""Time for which all that a relay is told is lost, but for the reports of readers."""
QUIET_S = 6.0
"""Time without changes after the last one, in which nothing else brings it."""


class LossyRelay:
    """Counts the messages about the fleet that reach a relay, and loses some.

    `loses` gets the number of each and the message, and returns what arrives of it.
    """

    def __init__(self, instance, loses):
        self.loses = loses
        self.count = 0
        handlers = instance.relay.peer_messages.session_handlers
        self.apply = handlers[FleetUpdate]
        handlers[FleetUpdate] = self.receive

    def receive(self, session, update):
        kept = update
        if update.catalog or update.targets or update.tombstones:
            kept = self.loses(self.count, update)
            self.count += 1
        if kept is not None:
            self.apply(session, kept)


def listener_of(fleet):
    """Return a relay that is told of changes by others."""
    return next(
        each for each in fleet.instances if not each.relay.fleet_updater.reading
    )


async def change(fleet, beside):
    """Change the configuration and targets, also the one beside a relay, in turn."""
    others = [each for each in fleet.instances if each is not beside]
    tasks = []
    for instance, tells in ((others[0], False), (beside, True), (others[1], True)):
        await fleet.publish()
        await asyncio.sleep(STEP_S)
        leave = fleet.leave(instance, tells=tells)
        tasks.append(fleet.loop.create_task(leave))
        await asyncio.sleep(STEP_S)
    await asyncio.sleep(QUIET_S)
    return tasks


def play(sizes, loses):
    """Return what relays lacked for too long, and how many messages one got."""

    async def scenario():
        async with simulated_fleet(sizes) as fleet:
            await asyncio.sleep(START_S)
            listener = listener_of(fleet)
            lossy = LossyRelay(listener, loses)
            for task in await change(fleet, listener):
                task.cancel()
            return list(fleet.stale.values()), lossy.count

    return run(scenario)


@pytest.mark.parametrize("sizes", [(6,), (4, 4)])
def test_any_one_message_that_is_lost_is_made_up_for_within_the_bound(sizes):
    stale, count = play(sizes, lambda _, update: update)
    assert stale == [] and count > 5
    for lost in range(count):
        stale, _ = play(sizes, lambda n, update, lost=lost: _unless(n == lost, update))
        assert stale == [], f"message {lost} of {count}"


def _unless(lost, update):
    return None if lost else update


# Guards against an old configuration for as long as there is no other: each update is
# lost, while the readers' reports go on.
@pytest.mark.parametrize("sizes", [(6,), (12,), (4, 4, 4)])
def test_a_configuration_that_nobody_tells_is_read(sizes):
    async def scenario():
        async with simulated_fleet(sizes) as fleet:
            await asyncio.sleep(START_S)
            listener = listener_of(fleet)
            until = fleet.loop.now + LOSS_S
            lose_content(fleet, listener, until)
            await fleet.publish()
            await asyncio.sleep(CONFIGURATION_BOUND_S)
            assert listener.relay.fleet_view.catalog.generation == Generation(
                fleet.version
            )

    run(scenario)


# Guards against calls to a leaving target.
@pytest.mark.parametrize("tells", [True, False])
def test_a_leaving_target_that_nobody_tells_of_is_read(tells):
    async def scenario():
        async with simulated_fleet((12,)) as fleet:
            await asyncio.sleep(START_S)
            listener = listener_of(fleet)
            lose_content(fleet, listener, fleet.loop.now + LOSS_S)
            task = fleet.loop.create_task(fleet.leave(listener, tells=tells))
            await asyncio.sleep(DRAIN_BOUND_S)
            assert listener.relay.local_target.draining
            task.cancel()

    run(scenario)


def lose_content(fleet, listener, until):
    """Lose all that a relay is told until some time, but for the reports of readers."""

    def loses(_, update):
        if fleet.loop.now >= until:
            return update
        return FleetUpdate(reader=update.reader, summary=update.summary)

    LossyRelay(listener, loses)


# Guards against a store that is asked by all, all the time.
@pytest.mark.parametrize("sizes", [(12,), (4, 4, 4)])
def test_relays_that_lack_nothing_do_not_read(sizes):
    async def scenario():
        async with simulated_fleet(sizes) as fleet:
            await asyncio.sleep(START_S)
            readers = {e.host for e in fleet.instances if e.relay.fleet_updater.reading}
            calls = {e.host: e.reader.client.calls for e in fleet.instances}
            for _ in range(10):
                await fleet.publish()
                await asyncio.sleep(1.0)
            asked = {
                e.host for e in fleet.instances if e.reader.client.calls > calls[e.host]
            }
            assert asked == readers

    run(scenario)


# Guards against reads by relays of one domain for what is told only in another one.
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_relays_of_several_domains_that_lack_nothing_miss_nothing(seed):
    async def scenario():
        async with simulated_fleet((8, 8, 8), seed=seed) as fleet:
            await asyncio.sleep(START_S)
            readers = {e.host: e.relay.fleet_updater.readers for e in fleet.instances}
            gaps = {host: each.gaps for host, each in readers.items()}
            tasks = []
            for number in range(12):
                await fleet.publish()
                await asyncio.sleep(STEP_S)
                if number % 2 == 0:
                    leave = fleet.leave(fleet.instances[number], tells=False)
                    tasks.append(fleet.loop.create_task(leave))
                await asyncio.sleep(STEP_S)
            for task in tasks:
                task.cancel()
            assert gaps == {host: each.gaps for host, each in readers.items()}

    run(scenario)

"""Tests of the relays that read the store on behalf of their failure domain."""

import asyncio

import pytest

from buckthornshed.coordination.relay.fleet.store_readers import (
    READERS_PER_DOMAIN,
    REPORT_LIFETIME_S,
    RETRY_INTERVAL_S,
    StoreReaders,
)
from buckthornshed.platform.reader import WATCH_WAIT_S as WATCH_S
from buckthornshed.state.generation import Generation

from .fleet import ManualClock, configuration, fleet_of, until

STEP_S = 0.05
BACKOFF_S = 0.5
CONFIGURATION_BOUND_S = 2.0
"""Shortest time of all deployments in which a change has to be in force."""


class SimulatedRelay:
    """One relay of a failure domain and its next read of the store."""

    def __init__(self, domain, number):
        self.domain = domain
        self.instance = f"10.1.0.{number}"
        self.readers = StoreReaders(instance=self.instance, is_connected=domain.is_up)
        self.running = True
        self.turned_away = False
        self.busy_until = 0.0
        self.reading = False

    def step(self, now):
        if not self.running or now < self.busy_until:
            return
        if self.reading:
            self.reading = False
            self.end_read(now, succeeded=self.can_read)
        if now >= self.busy_until and self.readers.should_read(now):
            self.begin_read(now)

    def begin_read(self, now):
        self.domain.calls.append((now, self.instance))
        if self.can_read:
            self.reading = True
            first = not self.domain.heard(self.instance)
            self.busy_until = now + (STEP_S if first else WATCH_S)
            return
        self.busy_until = now + BACKOFF_S
        self.end_read(now, succeeded=False)

    def end_read(self, now, *, succeeded):
        if self.readers.record_own(now, succeeded=succeeded):
            self.domain.tell(now, self, succeeded)

    @property
    def can_read(self):
        return self.domain.store_up and not self.turned_away


class Domain:
    """Relays of one failure domain that can all reach one another."""

    def __init__(self, size):
        self.now = 0.0
        self.store_up = True
        self.calls = []
        self.told = {}
        self.relays = [SimulatedRelay(self, number) for number in range(size)]
        for relay in self.relays:
            relay.readers.set_instances(
                {each.instance for each in self.relays} - {relay.instance}
            )

    def is_up(self, instance):
        return any(r.instance == instance and r.running for r in self.relays)

    def heard(self, instance):
        return self.now - self.told.get(instance, -100.0) < REPORT_LIFETIME_S

    def tell(self, now, sender, succeeded):
        self.told[sender.instance] = now
        for relay in self.relays:
            if relay is not sender and relay.running:
                relay.readers.record(now, sender.instance, succeeded=succeeded)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            for relay in self.relays:
                relay.step(self.now)

    def calls_since(self, begin):
        return sum(at >= begin for at, _ in self.calls)

    @property
    def current_readers(self):
        return [relay for relay in self.relays if relay.reading]


@pytest.mark.parametrize("size", [5, 33, 100])
def test_calls_to_the_store_do_not_grow_with_the_size_of_a_domain(size):
    domain = Domain(size)
    domain.run(10.0)
    calm = domain.now
    domain.run(20.0)
    assert domain.calls_since(calm) <= READERS_PER_DOMAIN * (20.0 / WATCH_S + 1)
    assert len(domain.current_readers) == READERS_PER_DOMAIN


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_readers_that_are_killed_are_replaced_within_the_bound(lost):
    domain = Domain(33)
    domain.run(10.0)
    for relay in domain.current_readers[:lost]:
        relay.running = False
    killed = domain.now
    domain.run(CONFIGURATION_BOUND_S / 2)
    assert len(domain.current_readers) >= READERS_PER_DOMAIN
    assert domain.calls_since(killed) <= 4 * READERS_PER_DOMAIN


def test_readers_that_the_store_turns_away_are_replaced_within_the_bound():
    domain = Domain(33)
    domain.run(10.0)
    for relay in domain.relays[::3] + domain.current_readers:
        relay.turned_away = True
    domain.run(WATCH_S + CONFIGURATION_BOUND_S)
    able = [each for each in domain.current_readers if not each.turned_away]
    assert len(able) >= READERS_PER_DOMAIN


def test_a_store_that_is_down_is_not_asked_by_all_all_the_time():
    domain = Domain(33)
    domain.run(10.0)
    domain.store_up = False
    domain.run(10.0)
    down = domain.now
    domain.run(10.0)
    per_second = domain.calls_since(down) / 10.0
    everyone_at_its_interval = READERS_PER_DOMAIN / BACKOFF_S + 30 / RETRY_INTERVAL_S
    assert per_second <= everyone_at_its_interval + 1.0
    domain.store_up = True
    back = domain.now
    domain.run(CONFIGURATION_BOUND_S)
    assert domain.current_readers
    domain.run(10.0)
    assert len(domain.current_readers) == READERS_PER_DOMAIN
    assert domain.calls_since(back) < 100


def test_a_relay_that_no_other_is_connected_to_reads_at_once():
    domain = Domain(33)
    domain.run(10.0)
    alone = next(r for r in domain.relays if r not in domain.current_readers)
    others = [r for r in domain.relays if r is not alone]
    alone.readers.is_connected = lambda _: False
    domain.run(2 * STEP_S)
    assert alone.reading
    assert sum(r.reading for r in others) == READERS_PER_DOMAIN


def test_changes_reach_relays_that_do_not_read_the_store():
    async def scenario():
        async with fleet_of(5) as fleet:
            await until(lambda: standing_by(fleet) == 2)
            calls = len(fleet.store.calls)
            await fleet.store.put("op/config", configuration(2))
            await until(
                lambda: all(generation(r) == Generation(2) for r in fleet.relays)
            )
            gone = fleet.targets[0]
            await fleet.store.delete(f"servers/{gone.name}")
            await until(
                lambda: all(
                    gone.name not in relay.fleet_view.targets for relay in fleet.relays
                )
            )
            assert len(fleet.store.calls) > calls
            await until(lambda: standing_by(fleet) >= 1)

    asyncio.run(scenario())


def test_changes_reach_a_domain_whose_readers_have_all_ended():
    async def scenario():
        async with fleet_of(6) as fleet:
            await until(lambda: standing_by(fleet) == 3)
            kept = [r for r in fleet.relays if fleet.readers[r].standing_by]
            for relay in fleet.relays:
                if relay not in kept:
                    fleet.stop(relay)
            await fleet.store.put("op/config", configuration(2))
            await until(lambda: all(generation(r) == Generation(2) for r in kept))
            fleet.relays[:] = kept

    asyncio.run(scenario())


def test_a_relay_whose_target_is_gone_reads_the_store_at_once():
    """Replays a server that crashes for good: its relay still serves clients.

    The others close their connections to it and tell it no more. The clock stands
    still, so that no report expires.
    """

    async def scenario():
        async with fleet_of(5, clock=ManualClock()) as fleet:
            await until(lambda: standing_by(fleet) >= 1)
            alone = next(r for r in fleet.relays if fleet.readers[r].standing_by)
            target = fleet.targets[fleet.relays.index(alone)]
            await fleet.store.delete(f"servers/{target.name}")
            await until(lambda: not alone.links.sessions)
            await until(lambda: not fleet.readers[alone].standing_by)
            await fleet.store.put("op/config", configuration(2))
            await until(lambda: generation(alone) == Generation(2))

    asyncio.run(scenario())


def generation(relay):
    return relay.fleet_view.catalog.generation


def standing_by(fleet):
    return sum(fleet.readers[relay].standing_by for relay in fleet.relays)


# Guards against an old view: a relay that others no longer tell anything, as they have
# dropped it, waited between its attempts as if the store were down for all.
def test_a_relay_that_hears_nothing_asks_the_store_again_without_a_pause():
    readers = StoreReaders(instance="10.1.0.9", is_connected=lambda _: True)
    others = [f"10.1.0.{number}" for number in range(20, 40)]
    readers.set_instances(others)
    readers.record_own(0.0, succeeded=True)
    assert not readers.should_read(0.1)
    assert readers.should_read(3.0)
    readers.record_own(3.5, succeeded=False)
    assert readers.should_read(3.6)
    for each in readers.ahead:
        readers.record(3.7, each, succeeded=False)
    assert not readers.should_read(3.8)
    assert readers.should_read(3.5 + RETRY_INTERVAL_S)

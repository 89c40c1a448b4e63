"""Tests of the relays that send their whole view to one that has just started."""

import asyncio
from collections import Counter

import pytest

from buckthornshed.coordination.relay.fleet.sponsors import SPONSORS_PER_PART, sponsors
from buckthornshed.transport.relay.fleet import fleet_exchange

from .fleet import fleet_of, until


def make_domains(count, domains=6):
    return {
        f"10.{number % domains}.0.{number}": f"zone-{number % domains}"
        for number in range(count)
    }


@pytest.mark.parametrize("count", [30, 200])
def test_the_sponsors_of_an_instance_do_not_grow_with_the_fleet(count):
    domains = make_domains(count)
    for instance in domains:
        chosen = sponsors(instance, domains)
        own = [each for each in chosen if domains[each] == domains[instance]]
        assert len(own) == SPONSORS_PER_PART
        assert len(chosen) == 2 * SPONSORS_PER_PART
        assert instance not in chosen


def test_no_relay_sponsors_many_more_than_the_others():
    domains = make_domains(200)
    chosen = Counter(s for instance in domains for s in sponsors(instance, domains))
    assert max(chosen.values()) <= 5 * 2 * SPONSORS_PER_PART


def test_views_that_differ_in_a_few_instances_choose_mostly_the_same_sponsors():
    domains = make_domains(200)
    fewer = dict(list(domains.items())[5:])
    for instance in list(fewer)[:50]:
        common = sponsors(instance, domains) & sponsors(instance, fewer)
        assert len(common) >= SPONSORS_PER_PART


def test_all_relays_of_a_small_fleet_are_sponsors():
    domains = make_domains(4, domains=1)
    for instance in domains:
        assert sponsors(instance, domains) == domains.keys() - {instance}


@pytest.mark.parametrize("sponsored", [True, False])
def test_a_relay_that_starts_while_the_store_is_down_serves_its_clients(
    sponsored, monkeypatch
):
    """Its sponsors may have no view to send, as they have restarted as well."""
    if not sponsored:
        monkeypatch.setattr(fleet_exchange, "sponsors", lambda *_: set())

    async def scenario():
        async with fleet_of(3) as fleet:
            fleet.store.mode = "reset"
            await fleet.restart(1)
            relay = fleet.relays[1]
            await until(lambda: relay.ready and relay.fleet_view.targets)
            await until(lambda: len(relay.links.links) == 2)
            statuses = []

            async def ask():
                statuses.append((await fleet.ask(relay)).status)

            # A service counts as unreachable until the shares are computed again.
            await until(lambda: 200 in statuses, ask=ask)
            assert set(statuses) <= {200, 503}

    asyncio.run(scenario())

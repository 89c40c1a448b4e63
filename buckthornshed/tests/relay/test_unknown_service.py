"""Tests of registrations with a service that the configuration does not name."""

import asyncio

from buckthornshed.coordination.relay.fleet.fleet_view import FleetView

from .fleet import BORN, fleet_of, until
from .makers import make_catalog, make_target
from .test_platform_documents import REGISTRATION


def run(scenario):
    asyncio.run(scenario)


# Guards against the loss of a sound server: an entry of another writer with a service
# that is not configured, the server's address and a later start took its place.
def test_an_entry_with_an_unknown_service_replaces_no_target():
    view = FleetView()
    view.accept_catalog(make_catalog())
    sound = make_target("t-1", address="10.0.0.1:9000", started=1_000)
    odd = make_target("a-odd", address="10.0.0.1:9000", started=2_000, service="?")
    view.accept_target(sound)
    view.accept_target(odd)
    assert view.usable["stalls"] == (sound,)


def test_a_relay_keeps_its_target_beside_an_entry_with_an_unknown_service():
    async def scenario():
        async with fleet_of(2) as fleet:
            relay, target = fleet.relays[0], fleet.targets[0]
            odd = REGISTRATION | {
                "addr": target.address,
                "service": "?",
                "born": BORN + 5_000,
            }
            await fleet.store.put("servers/a-odd", odd)
            await until(
                lambda: all("a-odd" in each.fleet_view.targets for each in fleet.relays)
            )
            registration = relay.local_target.registration
            assert registration is not None
            assert registration.name == target.name
            assert (await fleet.ask(relay)).status == 200

    run(scenario())

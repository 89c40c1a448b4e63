"""Tests of targets that state in their answers that they are leaving."""

import asyncio

import pytest

from .fleet import BORN, fleet_of, until

LEAVING = "server-leaving: 1\r\n"
UNREADABLE_LIMIT = "server-limit: soon\r\n"


def run(scenario):
    asyncio.run(scenario)


async def tell_all(fleet, headers=LEAVING):
    """Let the first target tell each relay that it is leaving.

    Returns the number of requests that the target has got by then.
    """
    leaving = fleet.targets[0]
    leaving.extra_headers = headers
    for relay in fleet.relays:
        await until(
            lambda relay=relay: relay.fleet_view.leaving,
            ask=lambda relay=relay: fleet.ask(relay),
        )
    return len(leaving.received)


async def ask_all(fleet, count=6):
    for relay in fleet.relays:
        for _ in range(count):
            response = await fleet.ask(relay)
            assert response.status == 200


def test_a_target_that_states_that_it_leaves_gets_no_new_requests():
    async def scenario():
        async with fleet_of(3) as fleet:
            told = await tell_all(fleet)
            await ask_all(fleet)
            assert len(fleet.targets[0].received) == told

    run(scenario())


def test_a_leaving_target_with_an_unreadable_limit_gets_no_new_requests():
    async def scenario():
        async with fleet_of(3) as fleet:
            told = await tell_all(fleet, UNREADABLE_LIMIT + LEAVING)
            await ask_all(fleet)
            assert len(fleet.targets[0].received) == told

    run(scenario())


@pytest.mark.parametrize("number", [0, 1])
def test_a_relay_that_has_restarted_does_not_use_a_leaving_target_again(number):
    async def scenario():
        async with fleet_of(3) as fleet:
            told = await tell_all(fleet)
            await fleet.restart(number)
            await fleet.wait_until_connected()
            await until(lambda: fleet.relays[number].fleet_view.leaving)
            await ask_all(fleet)
            assert len(fleet.targets[0].received) == told

    run(scenario())


def test_a_registration_that_still_says_ready_does_not_bring_a_leaving_target_back():
    async def scenario():
        async with fleet_of(2) as fleet:
            told = await tell_all(fleet)
            target = fleet.targets[0]
            await fleet.store.delete(f"servers/{target.name}")
            await until(
                lambda: all(
                    target.name not in relay.fleet_view.targets
                    for relay in fleet.relays
                )
            )
            await fleet.register(target, "stalls", seq=2)
            await fleet.wait_until_connected()
            await ask_all(fleet)
            assert len(target.received) == told

    run(scenario())


def test_the_next_incarnation_of_a_target_that_left_is_used():
    async def scenario():
        async with fleet_of(2) as fleet:
            told = await tell_all(fleet)
            target = fleet.targets[0]
            target.extra_headers = ""
            await fleet.register(target, "stalls", born=BORN + 60_000)
            await until(
                lambda: len(target.received) > told,
                ask=lambda: fleet.ask(fleet.relays[0]),
            )

    run(scenario())


def test_an_unreadable_limit_of_the_next_incarnation_does_not_mark_it_as_leaving():
    async def scenario():
        async with fleet_of(2) as fleet:
            told = await tell_all(fleet)
            target = fleet.targets[0]
            target.extra_headers = "server-limit: many\r\n"
            await fleet.register(target, "stalls", born=BORN + 60_000)
            await until(
                lambda: len(target.received) > told,
                ask=lambda: fleet.ask(fleet.relays[0]),
            )
            for relay in fleet.relays:
                assert relay.fleet_view.leaving == {target.name: BORN}

    run(scenario())


def test_a_queued_call_of_a_leaving_target_goes_to_another():
    async def scenario():
        async with fleet_of(2, slots=1) as fleet:
            leaving, other = fleet.targets
            leaving.scripts = ["slow"]
            other.scripts = ["slow"]
            asking = [
                asyncio.ensure_future(fleet.ask(relay))
                for relay in fleet.relays
                for _ in range(2)
            ]
            await until(lambda: leaving.running and other.running)
            leaving.extra_headers = LEAVING
            leaving.release.set()
            other.release.set()
            responses = await asyncio.gather(*asking)
            assert {response.status for response in responses} == {200}
            assert len(leaving.received) == 1

    run(scenario())

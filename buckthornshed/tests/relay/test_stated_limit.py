"""Tests of the limit that a target states for the requests of all relays together.

The clock of the relays stands still unless a test advances it, so that the number of
requests in a span of time does not depend on the speed of the machine.
"""

import asyncio

import pytest

from .fleet import ManualClock, fleet_of, until

LIMIT = 2.5
"""Stated limit in requests per second."""
STEP_S = 0.1
WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK = 5
"""A target may get `TOLERANCE` times its limit and `SLACK` requests in a window."""
MAX_REQUESTS = TOLERANCE * LIMIT * WINDOW_S + SLACK


MAX_ASKED = 100
"""Requests that a relay is asked until the target with the limit answers one."""


async def fleet_with_limit(fleet, clock):
    """Add two relays without a target of the service, and let all learn the limit."""
    for _ in range(2):
        await fleet.add("elsewhere")
    await fleet.wait_until_connected()
    target = fleet.targets[0]
    target.extra_headers = f"server-limit: {LIMIT}\r\n"
    for relay in fleet.relays:
        for _ in range(MAX_ASKED):
            response = await ask_in_time(fleet, clock, relay)
            # Another target of the service may answer, which states no limit.
            if response.body.endswith(f" by {target.name}".encode()):
                break
        assert response.headers["server-limit"] == str(LIMIT)
    return target


def run_with_limit(scenario):
    """Run a scenario with a fleet, its clock and a target that states a limit."""

    async def run():
        clock = ManualClock()
        async with fleet_of(1, slots=80, clock=clock) as fleet:
            target = await fleet_with_limit(fleet, clock)
            await scenario(fleet, clock, target)

    asyncio.run(run())


async def ask_in_time(fleet, clock, relay, **options):
    """Ask a relay and advance the clock until the response has come."""
    asking = asyncio.ensure_future(fleet.ask(relay, **options))
    await advance_until(clock, asking.done)
    return asking.result()


async def advance_until(clock, condition):
    async def step():
        clock.advance(STEP_S)
        await asyncio.sleep(0.03)

    await until(condition, ask=step)


async def flood(fleet, clock, *, requests=25, seconds=WINDOW_S):
    """Send requests to all relays at once, and more in each step of the clock.

    Returns the responses.
    """
    asking = []
    for step in range(round(seconds / STEP_S)):
        for relay in fleet.relays:
            for _ in range(requests if step == 0 else 1):
                asking.append(asyncio.ensure_future(fleet.ask(relay)))
        await asyncio.sleep(0.05)
        clock.advance(STEP_S)
    await advance_until(clock, lambda: all(each.done() for each in asking))
    return [each.result() for each in asking]


async def count_in_flood(fleet, clock, target):
    """Return the requests that the target gets in a flood of less than a window."""
    before = len(target.received)
    await flood(fleet, clock, seconds=WINDOW_S - 1.0)
    return len(target.received) - before


def test_requests_of_all_relays_together_keep_the_limit_that_a_target_states():
    async def scenario(fleet, clock, target):
        before = len(target.received)
        start = clock.now
        responses = await flood(fleet, clock)
        windows = (clock.now - start) / WINDOW_S
        assert len(target.received) - before <= MAX_REQUESTS * max(1.0, windows)
        assert {response.status for response in responses} == {200, 503}

    run_with_limit(scenario)


def test_the_limit_holds_when_the_relay_of_the_target_has_restarted():
    async def scenario(fleet, clock, target):
        await fleet.restart(0)
        await fleet.wait_until_connected()
        assert await count_in_flood(fleet, clock, target) <= MAX_REQUESTS

    run_with_limit(scenario)


def test_the_limit_holds_for_a_relay_that_was_cut_off_and_one_that_is_new():
    async def scenario(fleet, clock, target):
        for link in list(fleet.relays[1].links.links.values()):
            link.abort()
        await fleet.add("elsewhere")
        await fleet.wait_until_connected()
        assert await count_in_flood(fleet, clock, target) <= MAX_REQUESTS

    run_with_limit(scenario)


def test_rejected_calls_and_their_retries_count():
    async def scenario(fleet, clock, target):
        target.scripts = ["full", "error"] * 500
        assert await count_in_flood(fleet, clock, target) <= MAX_REQUESTS

    run_with_limit(scenario)


def test_the_limit_holds_after_the_relay_of_the_target_was_frozen():
    async def scenario(fleet, clock, target):
        clock.advance(30.0)
        assert await count_in_flood(fleet, clock, target) <= MAX_REQUESTS

    run_with_limit(scenario)


def test_calls_that_the_target_makes_itself_count():
    async def scenario(fleet, clock, target):
        target.scripts = ["slow"]
        clock.advance(1.0 / LIMIT + STEP_S)
        run = asyncio.ensure_future(
            fleet.ask(fleet.relays[1], "/book/1", body=b"x", request_id="run")
        )
        await advance_until(clock, lambda: target.running)
        before = len(target.received)
        nested = [
            asyncio.ensure_future(
                fleet.ask(fleet.relays[0], request_id=f"run.{number}")
            )
            for number in range(60)
        ]
        await advance_until(clock, lambda: all(each.done() for each in nested))
        assert len(target.received) - before <= MAX_REQUESTS
        target.release.set()
        await run

    run_with_limit(scenario)


def test_the_limit_ends_when_the_target_no_longer_states_it():
    async def scenario(fleet, clock, target):
        target.extra_headers = ""
        limiter = fleet.relays[0].local_target.limiter.rate_limiter
        while limiter.limited:
            await ask_in_time(fleet, clock, fleet.relays[1])
        responses = await asyncio.gather(
            *(fleet.ask(relay) for relay in fleet.relays for _ in range(15))
        )
        assert {response.status for response in responses} == {200}

    run_with_limit(scenario)


@pytest.mark.parametrize("script", ["unsigned", "truncated", "reset", "without-id"])
def test_a_spoiled_answer_does_not_end_the_limit(script):
    async def scenario(fleet, clock, target):
        target.extra_headers = ""
        target.scripts = [script]
        clock.advance(1.0 / LIMIT + STEP_S)
        response = await ask_in_time(
            fleet, clock, fleet.relays[1], path="/book/1", body=b"x"
        )
        assert response.status == 502
        assert fleet.relays[0].local_target.limiter.rate_limiter.limited

    run_with_limit(scenario)


def test_requests_go_to_the_other_targets_while_one_states_a_limit():
    async def scenario():
        clock = ManualClock()
        async with fleet_of(1, slots=80, clock=clock) as fleet:
            await fleet.add("stalls", slots=80)
            await fleet_with_limit(fleet, clock)
            responses = await flood(fleet, clock, requests=5, seconds=1.0)
            assert {response.status for response in responses} == {200}

    asyncio.run(scenario())

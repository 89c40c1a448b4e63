"""Tests of calls while one failure domain is cut off from the others."""

import asyncio
from collections import Counter
from typing import Any, NamedTuple

import pytest

from ..relay.fleet import configuration
from .fleet import BEAT_S, STORE, run, simulated_fleet
from .test_planned_stop import SlowTarget, start_targets
from .test_silent_calls import INTERVAL_S, PATHS, TIMEOUT_S, WORK_S, ask

CUT_S = 2.0
NOTICED_S = 0.6
"""Time after which no more calls are sent into a cut."""
LAPSE_S = 3 * BEAT_S
"""Time without a write after which the store removes a registration."""
SLOW_STORE_S = 0.2
"""Greatest delay of the store after a cut, later than what other relays tell."""
RETURN_S = 4.0
"""Time after a cut in which all relays know all targets again."""


class End(NamedTuple):
    """How a request ended, when it was sent after the cut, and how often it ran."""

    sent: float
    status: int
    runs: int


def paths_between(fleet, *domains):
    """Return the pairs of hosts of which one is in each of two failure domains."""
    first, second = (
        [each.host for each in fleet.instances if each.domain == domain]
        for domain in domains
    )
    return [(one, other) for one in first for other in second]


async def play(path):
    """Send requests in a domain without targets, cut off from one of two others."""
    async with simulated_fleet([2, 3, 3]) as fleet:
        fleet.listeners = configuration(timeout=TIMEOUT_S)["listeners"]
        await fleet.publish()
        targets = await start_targets(fleet, WORK_S, SlowTarget)
        entries = fleet.instances[:2]
        for each in entries:
            await each.unregister()
        cut = paths_between(fleet, "a", "b")
        await asyncio.sleep(8.0)
        asked: list[asyncio.Task[Any]] = []
        sent: list[float] = []

        async def send(until):
            while fleet.loop.now < until:
                for each in entries:
                    request = ask(each, f"r-{len(asked)}", path)
                    asked.append(fleet.network.run_on(each.host, request))
                    sent.append(fleet.loop.now)
                await asyncio.sleep(INTERVAL_S)

        await send(fleet.loop.now + 1.0)
        cut_at = fleet.loop.now
        for pair in cut:
            fleet.network.cut(*pair)
        await send(fleet.loop.now + CUT_S)
        for pair in cut:
            fleet.network.heal(*pair)
        statuses = await asyncio.gather(*asked)
        runs = Counter(name for target in targets for name in target.ran)
        return [
            End(at - cut_at, status, runs[name])
            for at, (name, status) in zip(sent, statuses, strict=True)
        ]


# Guards against calls that are lost because they are sent to relays which have already
# left other calls and a ping unanswered.
@pytest.mark.parametrize("path", PATHS.values(), ids=PATHS.keys())
def test_no_call_is_lost_soon_after_a_domain_is_cut_off(path):
    ends = run(lambda: play(path))
    late = [each for each in ends if each.sent > NOTICED_S]
    assert late and {each.status for each in late} == {200}
    assert max(each.runs for each in ends) == 1 or path == PATHS["idempotent"]


async def cut_off(fleet, domain, seconds):
    """Cut a domain off from all others and the store, which removes its targets.

    They register again as soon as they can.
    """
    inside = [each for each in fleet.instances if each.domain == domain]
    outside = [e.host for e in fleet.instances if e.domain != domain] + [STORE]
    paths = [(each.host, other) for each in inside for other in outside]
    for path in paths:
        fleet.network.cut(*path)
    await asyncio.sleep(LAPSE_S)
    for each in inside:
        await fleet.store.delete(f"servers/{each.name}")
    await asyncio.sleep(seconds - LAPSE_S)
    for each in inside:
        for path in ((each.host, STORE), (STORE, each.host)):
            fleet.network.delays[path] = fleet.rng.uniform(0.0, SLOW_STORE_S)
    for path in paths:
        fleet.network.heal(*path)
    for each in inside:
        await each.register()


# Guards against the loss of running targets: relays of a domain that was cut off told
# all others of the end of registrations that had been renewed since. What renews a
# registration here does not change it, so nothing else tells of it again.
@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize("sizes", [(4, 4), (6, 5, 5)])
def test_targets_of_a_domain_that_was_cut_off_are_known_again(sizes, seed):
    async def scenario():
        async with simulated_fleet(sizes, seed=seed) as fleet:
            await asyncio.sleep(8.0)
            for task in fleet.background[:-1]:
                task.cancel()
            await cut_off(fleet, "b", LAPSE_S + fleet.rng.uniform(0.1, 1.5))
            await asyncio.sleep(RETURN_S)
            fleet.check_all()
            return list(fleet.stale.values())

    assert run(scenario) == []

"""Tests of calls while one failure domain is cut off from the others."""

import asyncio
from collections import Counter
from typing import Any, NamedTuple

import pytest

from ..relay.fleet import configuration
from .fleet import run, simulated_fleet
from .test_planned_stop import SlowTarget, start_targets
from .test_silent_calls import INTERVAL_S, PATHS, TIMEOUT_S, WORK_S, ask

CUT_S = 2.0
NOTICED_S = 0.6
"""Time after which no more calls are sent into a cut."""


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

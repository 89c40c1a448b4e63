"""Tests of calls on connections between relays that become silent or are reset."""

import asyncio
from collections import Counter
from typing import Any, NamedTuple

import pytest

from ..relay.fleet import configuration, read_response
from .fleet import run, simulated_fleet
from .test_planned_stop import SlowTarget, request_bytes, start_targets

INTERVAL_S = 0.02
WORK_S = 0.05
TIMEOUT_S = 2.5
PATHS = {"idempotent": "/avail/1", "once": "/book/1"}


class End(NamedTuple):
    """How a request ended, and how often a target ran it."""

    status: int
    runs: int


def silence(transport):
    transport.silent = True


def reset(transport):
    transport.reset()
    transport.peer.reset()


async def ask(instance, request_id, path):
    reader, writer = await asyncio.open_connection(instance.host, 8304)
    writer.write(request_bytes(request_id, path))
    answer = await read_response(reader)
    writer.close()
    return request_id, answer.status


def disturb_links(fleet, disturb):
    """Disturb all connections between relays, but none to a target or a client."""
    for transport in list(fleet.network.transports):
        if 7620 in (transport.local[1], transport.remote[1]):
            disturb(transport)


async def play(path, disturb):
    async with simulated_fleet([4, 4]) as fleet:
        fleet.listeners = configuration(timeout=TIMEOUT_S)["listeners"]
        await fleet.publish()
        targets = await start_targets(fleet, WORK_S, SlowTarget)
        await asyncio.sleep(8.0)
        asked: list[asyncio.Task[Any]] = []

        async def send(until):
            while fleet.loop.now < until:
                for each in fleet.instances:
                    request = ask(each, f"r-{len(asked)}", path)
                    asked.append(fleet.network.run_on(each.host, request))
                await asyncio.sleep(INTERVAL_S)

        await send(fleet.loop.now + 1.0)
        disturb_links(fleet, disturb)
        await send(fleet.loop.now + 2.0)
        statuses = await asyncio.gather(*asked)
        runs = Counter(name for target in targets for name in target.ran)
        return [End(status, runs[name]) for name, status in statuses]


# Guards against failed requests that no target has received: their relay could not
# know that, and could not send them again.
@pytest.mark.parametrize("disturb", [silence, reset])
@pytest.mark.parametrize("path", PATHS.values(), ids=PATHS.keys())
def test_calls_that_no_relay_has_received_are_sent_again(path, disturb):
    ends = run(lambda: play(path, disturb))
    assert {each.status for each in ends if not each.runs} <= {503}
    served = sum(each.status == 200 for each in ends)
    assert served > 0.95 * len(ends)


# Guards against a second run of a request that may run once.
@pytest.mark.parametrize("disturb", [silence, reset])
def test_calls_that_are_sent_again_run_once(disturb):
    ends = run(lambda: play(PATHS["once"], disturb))
    assert max(each.runs for each in ends) == 1
    assert not [each for each in ends if each.status == 503 and each.runs]


# Guards against a second run: a relay that restarts does not know what it received.
def test_calls_to_a_relay_that_restarts_are_not_sent_again():
    async def scenario():
        async with simulated_fleet([3]) as fleet:
            fleet.listeners = configuration(timeout=TIMEOUT_S)["listeners"]
            await fleet.publish()
            targets = await start_targets(fleet, 1.0, SlowTarget)
            await asyncio.sleep(8.0)
            entry, restarted = fleet.instances[:2]
            asked = [
                fleet.network.run_on(entry.host, ask(entry, f"r-{n}", PATHS["once"]))
                for n in range(30)
            ]
            await asyncio.sleep(0.2)
            restarted.stop()
            await fleet.start(restarted)
            statuses = dict(await asyncio.gather(*asked))
            runs = Counter(name for target in targets for name in target.ran)
            assert max(runs.values()) == 1
            assert all(runs[name] == 0 for name in runs if statuses[name] == 503)
            lost = [name for name, status in statuses.items() if status == 502]
            assert lost and set(lost) <= runs.keys()

    run(scenario)

"""Disturbances of a simulated fleet, and plays of them by seed."""

import asyncio
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from .fleet import STORE, SimulatedFleet, Stale, run, simulated_fleet

Disturbance = Callable[[SimulatedFleet, Random], Coroutine[Any, Any, None]]

DISTURBANCES: dict[str, Disturbance] = {}
START_S = 8.0
"""Time in which the fleet starts and comes in touch."""
CALM_S = 8.0
CHANGE_PAUSES_S = (0.3, 1.3)
DISTURBANCE_PAUSES_S = (0.2, 2.5)


def disturbance(function: Disturbance) -> Disturbance:
    """Register a disturbance under its name."""
    DISTURBANCES[function.__name__] = function
    return function


def play(
    seed: int,
    names: list[str] | None = None,
    *,
    sizes: tuple[int, ...],
    seconds: float,
) -> list[Stale]:
    """Play disturbances, by default all kinds; return what relays in touch lacked."""

    async def scenario():
        async with simulated_fleet(sizes, seed=seed) as fleet:
            await disturb(fleet, names or list(DISTURBANCES), seconds)
            return list(fleet.stale.values())

    stale: list[Stale] = run(scenario)
    return stale


async def disturb(fleet: SimulatedFleet, names: list[str], seconds: float) -> None:
    """Change configurations and targets under disturbances, then wait for calm."""
    loop, rng = fleet.loop, fleet.rng
    await asyncio.sleep(START_S)
    end = loop.now + seconds
    tasks = [
        loop.create_task(change_configurations(fleet, Random(rng.random()), end)),
        loop.create_task(change_targets(fleet, Random(rng.random()), end)),
    ]
    while loop.now < end:
        chosen = DISTURBANCES[rng.choice(names)]
        tasks.append(loop.create_task(chosen(fleet, Random(rng.random()))))
        await asyncio.sleep(rng.uniform(*DISTURBANCE_PAUSES_S))
    await asyncio.gather(*tasks)
    await asyncio.sleep(CALM_S)
    fleet.check_all()


async def change_configurations(fleet, rng, end):
    while fleet.loop.now < end:
        await asyncio.sleep(rng.uniform(*CHANGE_PAUSES_S))
        await fleet.publish()


async def change_targets(fleet, rng, end):
    leaving = []
    while fleet.loop.now < end:
        await asyncio.sleep(rng.uniform(*CHANGE_PAUSES_S) * 2)
        chosen = rng.choice(fleet.instances)
        leave = fleet.leave(chosen, tells=rng.random() < 0.5)
        leaving.append(fleet.loop.create_task(leave))
    await asyncio.gather(*leaving)


@disturbance
async def silence_links(fleet, rng):
    """Let all open connections of one relay go silent, in both directions."""
    instance = rng.choice(fleet.instances)
    await silence(fleet, [instance], [each.host for each in fleet.instances])


@disturbance
async def silence_all(fleet, rng):
    """Let all open connections go silent, also those to the store."""
    hosts = [STORE, *(each.host for each in fleet.instances)]
    await silence(fleet, fleet.instances, hosts)


async def silence(fleet, instances, hosts):
    for instance in instances:
        instance.disturb()
        for host in hosts:
            fleet.network.silence(instance.host, host)
        instance.calm()


@disturbance
async def reset_links(fleet, rng):
    """Reset some connections of one relay."""
    instance = rng.choice(fleet.instances)
    instance.disturb()
    for transport in list(fleet.network.transports):
        if transport.local[0] == instance.host and rng.random() < 0.5:
            transport.reset()
            transport.peer.reset()
    instance.calm()


@disturbance
async def restart(fleet, rng):
    instance = rng.choice(fleet.instances)
    if instance.relay is None:
        return
    instance.disturb()
    instance.stop()
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    await fleet.start(instance)
    instance.calm()


@disturbance
async def cut_from_store(fleet, rng):
    """Cut a few relays of one domain from the store."""
    domain = rng.choice(fleet.instances).domain
    inside = [each for each in fleet.instances if each.domain == domain]
    chosen = rng.sample(inside, min(len(inside) - 1, rng.randint(1, 3)))
    await cut(fleet, rng, [(each, STORE) for each in chosen])


@disturbance
async def cut_readers(fleet, rng):
    """Cut the relays that read, in one domain or in all, from the store."""
    domain = rng.choice([*{each.domain for each in fleet.instances}, None])
    chosen = [
        each
        for each in fleet.instances
        if each.relay is not None
        and each.relay.fleet_updater.reading
        and domain in (each.domain, None)
    ]
    await cut(fleet, rng, [(each, STORE) for each in chosen])


@disturbance
async def delay_readers(fleet, rng):
    """Let the store's answers reach some relays late."""
    chosen = rng.sample(fleet.instances, rng.randint(1, 4))
    delays = fleet.network.delays
    for each in chosen:
        each.disturb()
        delays[STORE, each.host] = rng.uniform(0.1, 2.0)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    for each in chosen:
        delays.pop((STORE, each.host), None)
        each.calm()


@disturbance
async def cut_domain(fleet, rng):
    """Cut a domain from the others; both sides reach the store."""
    domain = rng.choice(fleet.instances).domain
    inside = [each for each in fleet.instances if each.domain == domain]
    outside = [each for each in fleet.instances if each.domain != domain]
    pairs = [(one, other.host) for one in inside for other in outside]
    await cut(fleet, rng, pairs, others=outside)


@disturbance
async def cut_relay(fleet, rng):
    """Cut one relay from all others."""
    instance = rng.choice(fleet.instances)
    hosts = [each.host for each in fleet.instances if each is not instance]
    await cut(fleet, rng, [(instance, host) for host in hosts])


async def cut(fleet, rng, pairs, others=()):
    disturbed = {one for one, _ in pairs} | set(others)
    for each in disturbed:
        each.disturb()
    for one, host in pairs:
        fleet.network.cut(one.host, host)
    await asyncio.sleep(rng.uniform(0.3, 5.0))
    for one, host in pairs:
        fleet.network.heal(one.host, host)
    for each in disturbed:
        each.calm()


@disturbance
async def pause(fleet, rng):
    """Let a relay stand still, as far as others see it."""
    instance = rng.choice(fleet.instances)
    instance.disturb()
    instance.paused = True
    hosts = [STORE, *(each.host for each in fleet.instances if each is not instance)]
    for host in hosts:
        fleet.network.cut(instance.host, host)
    await asyncio.sleep(rng.uniform(0.3, 4.0))
    instance.paused = False
    for host in hosts:
        fleet.network.heal(instance.host, host)
    instance.calm()


@disturbance
async def cut_watches(fleet, rng):
    fleet.store.cut_watches()


@disturbance
async def drop_history(fleet, rng):
    await fleet.store.drop_history()

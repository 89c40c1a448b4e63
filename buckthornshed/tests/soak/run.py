"""Run of a soak with one seed."""

import asyncio
from pathlib import Path
from random import Random
from typing import NamedTuple

from .disturbances import DISTURBANCES
from .system import System

CLIENTS_PER_RELAY = 4
PAUSES_S = (0.1, 1.2)
"""Shortest and longest time between the starts of two disturbances."""
CALM_TIMEOUT_S = 20.0


class SoakResult(NamedTuple):
    """Result of one seed."""

    requests: int
    answered: int
    disturbances: int
    violations: list[str]


async def soak(
    seed: int, folder: Path, *, relays: int, seconds: float, old: Path | None = None
) -> SoakResult:
    """Run relays under load and disturbances, then wait for calm and check.

    Parameters
    ----------
    seed : int
        Seed of the disturbances and of the clients.
    folder : Path
        Folder for settings and logs.
    relays : int
        Number of relay processes.
    seconds : float
        Time in which disturbances begin.
    old : Path, optional
        Folder of the version that all relays run at first. They are replaced by relays
        of this version one by one.
    """
    rng = Random(seed)
    system = System(folder.resolve(), old)
    stop = asyncio.Event()
    try:
        await system.open(relays)
        clients = [
            asyncio.create_task(system.run_client(each, Random(rng.random()), stop))
            for each in system.instances
            for _ in range(CLIENTS_PER_RELAY)
        ]
        upgrade = asyncio.create_task(replace_relays(system, seconds))
        running = await disturb(system, rng, seconds)
        await upgrade
        await asyncio.gather(*running)
        await wait_for_calm(system)
        stop.set()
        await asyncio.gather(*clients)
    finally:
        await system.close()
    exchanges = system.history.exchanges
    return SoakResult(
        requests=len(exchanges),
        answered=sum(each.status == 200 for each in exchanges),
        disturbances=len(running),
        violations=system.history.violations() + system.workspaces.faults,
    )


async def disturb(system: System, rng: Random, seconds: float):
    """Begin disturbances at random times and return their tasks."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    running: list[asyncio.Task[None]] = []
    while loop.time() < end:
        chosen = rng.choice(DISTURBANCES)
        running.append(asyncio.create_task(chosen(system, Random(rng.random()))))
        await asyncio.sleep(rng.uniform(*PAUSES_S))
    return running


async def replace_relays(system: System, seconds: float) -> None:
    """Replace the relays of the old version one by one, in about `seconds`."""
    if system.old is None:
        return
    pause = seconds / (len(system.instances) + 1)
    for instance in system.instances:
        await asyncio.sleep(pause)
        await instance.replace_relay()


async def wait_for_calm(system: System) -> None:
    """Wait until requests at all relays succeed again."""
    exchanges = system.history.exchanges
    try:
        async with asyncio.timeout(CALM_TIMEOUT_S):
            done = 0
            while done < 3:
                start = len(exchanges)
                await asyncio.sleep(0.5)
                recent = exchanges[start:]
                calm = recent and all(each.status == 200 for each in recent)
                done = done + 1 if calm else 0
    except TimeoutError:
        system.history.faults.append("requests still fail after all disturbances")

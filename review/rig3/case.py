"""Frame of a case: the switch for its disruption, its exit status, and bystanders."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from .client import KeptConnection, Outcome
from .deployment import Deployment
from .platform import BYTES_PER_MB
from .server import AppServer

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
LOST_ALLOWED = 3
"""Requests that a machine may lose as the rule LOST counts them."""
CLOSED_STATUS = None
STAGGER_S = 0.12
"""Delay between the first requests of successive bystanders."""


def with_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    make: Callable[[], Deployment], play: Callable[[Deployment], Awaitable[bool]]
) -> None:
    """Play a case and end the process with its exit status.

    Parameters
    ----------
    make : callable
        Returns the deployment.
    play : callable
        Plays the case; returns whether the rule held.
    """
    sys.exit(asyncio.run(_run(make, play)))


async def _run(
    make: Callable[[], Deployment], play: Callable[[Deployment], Awaitable[bool]]
) -> int:
    # Connections that are cut at the end of a case are no errors.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    deployment = make()
    try:
        async with asyncio.timeout(TIME_LIMIT_S):
            held = await play(deployment)
    except Exception:
        traceback.print_exc()
        return NOT_RUN
    finally:
        deployment.close()
    print("the rule held" if held else "the rule was broken", flush=True)
    return HELD if held else BROKEN


class Bystanders:
    """Clients with kept connections whose requests go to sound servers.

    Parameters
    ----------
    deployment : Deployment
        Where they run.
    machine : int
        Index of the machine whose relay they use.
    count : int
        Number of clients.
    path : str
        What they ask for, again and again.
    """

    def __init__(
        self, *, deployment: Deployment, machine: int, count: int, path: str
    ) -> None:
        self.deployment = deployment
        self.machine = deployment.machines[machine]
        self.path = path
        self.outcomes: list[Outcome] = []
        self.stopped = False
        self.tasks = [deployment.spawn(self._ask(number)) for number in range(count)]

    async def _ask(self, number: int) -> None:
        client = KeptConnection(
            address=self.machine.client_address,
            record=self.deployment.record,
            name=f"bystander-{number}",
        )
        # Some of them always wait for an answer.
        await asyncio.sleep(number * STAGGER_S)
        while not self.stopped:
            outcome = await client.send(self.path, method="POST", body=b"x" * 400)
            self.outcomes.append(outcome)
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Let the latest requests end."""
        self.stopped = True
        await asyncio.gather(*self.tasks)

    def lost(self) -> list[Outcome]:
        """Return the requests that a server ran and whose connection just ended."""
        return [
            each
            for each in self.outcomes
            if each.status is CLOSED_STATUS
            and any(each.request_id in s.runs for s in self.deployment.servers)
        ]


def report_lost(deployment: Deployment, bystanders: Bystanders) -> bool:
    """Show what the bystanders saw; return whether the rule LOST held."""
    lost = bystanders.lost()
    statuses: dict[Any, int] = {}
    for each in bystanders.outcomes:
        statuses[each.status] = statuses.get(each.status, 0) + 1
    machine = bystanders.machine
    deployment.record.say("bystanders", statuses=statuses)
    for each in lost:
        deployment.record.say(
            "lost",
            id=each.request_id,
            sent=round(each.sent_at, 3),
            machine=machine.name,
        )
    deployment.record.say(
        "result",
        lost=len(lost),
        allowed=LOST_ALLOWED,
        own_ends=machine.own_ends,
        peak_mb=round(machine.peak_bytes / BYTES_PER_MB),
        limit_mb=machine.fields["limits.memoryMb"],
    )
    return len(lost) <= LOST_ALLOWED


def slow_down(server: AppServer, factor: float) -> None:
    """Let the work of a server take longer."""
    server.slow_factor = factor
    server.record.say("slow", server=server.name, factor=factor)

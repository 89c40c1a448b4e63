"""Calls of servers are refused with 401 once the configuration has tenants."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig3.case import run_case, with_trouble
from rig3.client import KeptConnection, Outcome
from rig3.deployment import Deployment, rule

KEY = "k-3f81c0a94be2"
UNAUTHORIZED = 401
ALLOWED = 5
ALLOWED_ONE_IN = 500
BEFORE_S = 4.0
"""Time after the start from which the machines are in touch."""
AFTER_S = 8.0
PAUSE_S = 0.1
SETTINGS: dict[str, object] = {"bounds.configS": 2.5, "bounds.drainS": 2.5}


def make() -> Deployment:
    """Return three machines, each with a server of another service."""
    return Deployment(
        folder=Path(__file__).parent,
        services=["booking", "noticeboard", "stables"],
        overrides=SETTINGS,
    )


async def play(deployment: Deployment) -> bool:
    """Add tenants while clients book; return whether the rule held."""
    rules = [
        rule("reserve", "booking", kind="non_idempotent", priority=0),
        rule("capacity", "stables"),
    ]
    await deployment.open(rules)
    outcomes: list[Outcome] = []
    clients = [
        deployment.spawn(book(deployment, number, outcomes)) for number in range(6)
    ]
    await asyncio.sleep(BEFORE_S)
    if with_trouble():
        deployment.tenants = [{"name": "lakeside", "apiKeys": [KEY], "priority": 1}]
    deployment.configure(rules)
    await asyncio.sleep(AFTER_S)
    for client in clients:
        client.cancel()
    calls = [each for server in deployment.servers for each in server.call_statuses]
    denied = sum(status == UNAUTHORIZED and not sealed for status, sealed in calls)
    denied += sum(each.status == UNAUTHORIZED for each in outcomes)
    allowed = ALLOWED + (len(calls) + len(outcomes)) / ALLOWED_ONE_IN
    record = deployment.record
    record.say("bookings", statuses=dict(Counter(each.status for each in outcomes)))
    record.say("calls", statuses=dict(Counter(status for status, _ in calls)))
    record.say("result", denied=denied, allowed=round(allowed, 1))
    return denied <= allowed


async def book(deployment: Deployment, number: int, outcomes: list[Outcome]) -> None:
    """Book again and again; each booking makes one call."""
    client = KeptConnection(
        address=deployment.machines[number % 3].client_address,
        record=deployment.record,
        name=f"client-{number}",
        key=KEY,
    )
    while True:
        path = f"/reserve/work-20/call-capacity/{number}"
        outcomes.append(await client.send(path, method="POST", body=b"x" * 400))
        await asyncio.sleep(PAUSE_S)


if __name__ == "__main__":
    run_case(make, play)

"""A configuration whose version has twenty digits is never taken over."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig3.case import run_case, with_trouble
from rig3.client import KeptConnection
from rig3.deployment import Deployment, rule

FIRST_VERSION = 20_261_207_220_800
"""Time of the change, to the second."""
NEXT_VERSION = 20_261_207_221_530_123_456
"""Time of the change, to the microsecond."""
NEXT_VERSION_CALM = 20_261_207_221_530
CONFIG_S = 2.0
WATCH_S = 10.0
SETTLE_S = 4.0
"""Time after the start from which the machines are in touch."""
PAUSE_S = 0.1
LISTEN_MARGIN_S = 0.05


def make() -> Deployment:
    """Return three machines, each with a server of another service."""
    return Deployment(
        folder=Path(__file__).parent, services=["agenda", "catalogo", "reservas"]
    )


async def play(deployment: Deployment) -> bool:
    """Move a route to another service; return whether the rule held."""
    record = deployment.record
    deployment.version = FIRST_VERSION
    await deployment.open([rule("list", "agenda")], step=0)
    await asyncio.sleep(SETTLE_S)
    version = NEXT_VERSION if with_trouble() else NEXT_VERSION_CALM
    deployment.configure([rule("list", "catalogo")], step=version - FIRST_VERSION)
    acknowledged_at = record.now
    clients = [
        KeptConnection(address=m.client_address, record=record, name=f"client-{n}")
        for n, m in enumerate(deployment.machines)
    ]
    late: dict[str, float] = {}
    while record.now - acknowledged_at < WATCH_S:
        outcomes = await asyncio.gather(*(c.send("/list/work-5/x") for c in clients))
        for each in outcomes:
            age = each.sent_at - acknowledged_at
            ran_old = each.request_id in deployment.servers[0].runs
            if ran_old and age > CONFIG_S + LISTEN_MARGIN_S:
                late[each.request_id] = age
                record.note("late", id=each.request_id, sent_after_s=round(age, 3))
        await asyncio.sleep(PAUSE_S)
    old, new = deployment.servers[0], deployment.servers[1]
    record.say("runs", old_service=len(old.runs), new_service=len(new.runs))
    latest = round(max(late.values(), default=0.0), 3)
    record.say("result", late=len(late), latest_s=latest, allowed_s=CONFIG_S)
    return not late


if __name__ == "__main__":
    run_case(make, play)

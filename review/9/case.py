"""A configuration that withdraws a key and adds a tenant whose name has a space."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

from rig.case import run_case
from rig.clients import Connection
from rig.fleet import Fleet
from rig.servers import AppServer

FIRST_TENANT = "riders"
FIRST_KEY = "kq7m2x9f4hzt"
SECOND_KEY = "m3p8zq6dvt1r"
"""Key that takes the place of the first one."""
NEW_TENANT = "lakeside yards"
NEW_TENANT_WITHOUT_TROUBLE = "lakeside"
NEW_KEY = "t4vd81nwq0bc"
SETTLE_S = 6.0
WATCHED_S = 10.0
REQUEST_GAP_S = 0.2
CONFIG_S = 2.5
"""`configS` of the deployment that has tenants."""
HOST = "app.example"
REFUSED_STATUSES = (401, 403, 404)
SERVED_STATUS = 200


def make_fleet() -> Fleet:
    """Return three machines in one zone with servers of one service."""
    servers = [
        AppServer(name=f"i-{number}", service="svc-stables", slots=55)
        for number in range(3)
    ]
    return Fleet(servers, ["z1", "z1", "z1"])


def make_tenant(name: str, key: str) -> dict[str, object]:
    """Return a tenant with one key and a quota that is never reached."""
    return {
        "name": name,
        "apiKeys": [key],
        "priority": 1,
        "ratePerS": 500,
        "burst": 500,
    }


async def check(fleet: Fleet, trouble: bool) -> list[str]:
    """Change the tenants, and send requests with the added and the withdrawn key."""
    rule = {
        "name": "r-stall",
        "kind": "idempotent",
        "sloS": 0.5,
        "priority": 1,
        "public": False,
        "match": {"prefix": "/stall/"},
        "action": {"service": "svc-stables", "timeoutS": 1, "attempts": 2},
    }
    fleet.configure([rule], tenants=[make_tenant(FIRST_TENANT, FIRST_KEY)])
    await fleet.start()
    await asyncio.sleep(SETTLE_S)
    name = NEW_TENANT if trouble else NEW_TENANT_WITHOUT_TROUBLE
    fleet.configure(
        [rule],
        tenants=[
            make_tenant(FIRST_TENANT, SECOND_KEY),
            make_tenant(name, NEW_KEY),
        ],
    )
    acknowledged = time.monotonic()
    fleet.note(f"r{fleet.version} acknowledged: a tenant {name!r} with a key")
    return await watch(fleet, acknowledged)


async def watch(fleet: Fleet, acknowledged: float) -> list[str]:
    """Send requests to all relays; return those handled by the older version."""
    connections = [Connection(fleet.outbound(m)) for m in fleet.machines]
    refused: Counter[int] = Counter()
    served: Counter[int] = Counter()
    turn = 0
    while (after_s := time.monotonic() - acknowledged) < WATCHED_S:
        turn += 1
        added = await send_to_all(connections, f"added{turn}", NEW_KEY)
        withdrawn = await send_to_all(connections, f"withdrawn{turn}", FIRST_KEY)
        fleet.note(f"{after_s:.2f} s after: added {added}, withdrawn {withdrawn}")
        if after_s > CONFIG_S:
            refused.update(n for n, s in enumerate(added) if s in REFUSED_STATUSES)
            served.update(n for n, s in enumerate(withdrawn) if s == SERVED_STATUS)
        await asyncio.sleep(REQUEST_GAP_S)
    return [
        f"relay {number}, later than {CONFIG_S} s after the acknowledgement: "
        f"{refused[number]} requests with the added key refused, {served[number]} with "
        f"the withdrawn key served"
        for number in sorted(refused.keys() | served.keys())
    ]


async def send_to_all(connections: list[Connection], name: str, key: str) -> list[int]:
    """Send a request with a key to each relay; return the statuses."""
    outcomes = await asyncio.gather(
        *(
            connection.request(
                "GET",
                "/stall/1",
                HOST,
                f"{name}m{number}",
                deadline_ms=2000,
                headers={"Credential": key},
            )
            for number, connection in enumerate(connections)
        )
    )
    return [outcome.status for outcome in outcomes]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, make_fleet, check))

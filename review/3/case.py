"""A server leaves shortly after the store has cut the watches that waited."""

import asyncio
from pathlib import Path

from standins.case import run_case
from standins.client import Client, Outcome
from standins.deployment import Deployment, route
from standins.server import Reply

REQUEST_INTERVAL_S = 0.05
CLIENTS = 12
CALM_S = 4.0
CUTS_S = (-0.5, 1.0)
"""When the watches are cut, in seconds from the removal of the registration."""
DRAIN_S = 2.0
SERVED_S = 3.0
"""Time from the removal after which the server ends."""
WATCHED_S = 8.0
"""Time from the removal for which requests are sent."""
DEADLINE_S = 3.0
WORK_S = 0.16
OK_STATUS = 200


async def send_requests(
    deployment: Deployment, address: str, *, index: int, until: float
) -> list[Outcome]:
    """Send one request after another at a fixed interval."""
    client = Client(address=address, host=deployment.host, record=deployment.record)
    outcomes: list[Outcome] = []
    while deployment.record.now() < until:
        number = len(outcomes)
        outcome = await client.send(
            f"/book/{number}",
            f"{index:04x}{number:012x}",
            method="POST",
            deadline_s=DEADLINE_S,
        )
        outcomes.append(outcome)
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return outcomes


async def cut_watches(deployment: Deployment, begun: float) -> None:
    """Cut the watches at the chosen moments."""
    for cut in CUTS_S:
        await asyncio.sleep(begun + CALM_S + cut - deployment.record.now())
        deployment.store.cut_watches()
        deployment.record.write("watches_cut")


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Remove the registration of a server, and watch which requests it still gets."""
    record, store = deployment.record, deployment.store
    entry = deployment.add("front")
    deployment.add("booking", reply=lambda _: Reply(WORK_S))
    leaving = deployment.add("booking", reply=lambda _: Reply(WORK_S))
    deployment.configure(
        [
            route(
                "book", "/book/", "booking", kind="non_idempotent", timeout_s=DEADLINE_S
            )
        ]
    )
    await deployment.start()
    begun = record.now()
    until = begun + CALM_S + WATCHED_S
    traffic = [
        asyncio.create_task(
            send_requests(deployment, entry.client_address, index=each, until=until)
        )
        for each in range(CLIENTS)
    ]
    cuts = asyncio.create_task(cut_watches(deployment, begun)) if trouble else None
    await asyncio.sleep(begun + CALM_S - record.now())
    store.delete(f"servers/{leaving.server.name}")
    gone_at = record.write("gone", server=leaving.server.name)
    await asyncio.sleep(SERVED_S)
    leaving.server.exit()
    record.write("exit", server=leaving.server.name)
    outcomes = [each for sent in await asyncio.gather(*traffic) for each in sent]
    if cuts is not None:
        await cuts
    record.write("summary", watches_cut=store.watches_cut)
    failed = sum(each.status != OK_STATUS for each in outcomes)
    record.write("summary", requests=len(outcomes), not_answered_with_success=failed)
    late = [run for run in leaving.server.runs if run.at > gone_at + DRAIN_S]
    return [
        f"request {run.request_id} reached the server {run.at - gone_at:.2f} s after "
        "the store had acknowledged its removal"
        for run in late
    ]


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)

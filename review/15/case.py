"""A relay closes connections as idle while clients still read their answers."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig3.case import LOST_ALLOWED, run_case, with_trouble
from rig3.client import new_id, open_with_small_buffer, request_bytes
from rig3.deployment import Deployment, rule
from rig3.http import BrokenMessageError, read_head

CLIENTS = 8
ANSWER_BYTES = 2_000_000
RECEIVE_BYTES = 16_384
READ_BYTES_PER_S = 300_000
"""Rate at which a client on a slow network reads."""
STEP_S = 0.05
IDLE_TIMEOUT_S = 3
NEXT_REQUEST_S = 5.5
"""Time from the first request of a client to its next one."""
DEADLINE_MS = 10_000
SETTLE_S = 4.0
"""Time after the start from which the machines are in touch."""


@dataclass
class Download:
    """What a client has got of the answer to its first request."""

    request_id: str
    expected: int = 0
    got: int = 0
    error: str = ""

    @property
    def complete(self) -> bool:
        """Whether the whole answer has come."""
        return self.expected > 0 and self.got == self.expected


def make() -> Deployment:
    """Return three machines, each with a server of another service."""
    return Deployment(
        folder=Path(__file__).parent, services=["agenda", "catalogo", "reservas"]
    )


async def play(deployment: Deployment) -> bool:
    """Let clients read slowly; return whether the rule held."""
    deployment.idle_timeout_s = IDLE_TIMEOUT_S
    await deployment.open([rule("page", "catalogo", timeout=10.0)])
    await asyncio.sleep(SETTLE_S)
    rate = READ_BYTES_PER_S if with_trouble() else None
    deployment.record.say("clients_begin", read_bytes_per_s=rate)
    clients = [
        deployment.spawn(download(deployment, number, rate))
        for number in range(CLIENTS)
    ]
    results = await asyncio.gather(*clients)
    for each in results:
        deployment.record.say(
            "answer",
            id=each.request_id,
            got=each.got,
            of=each.expected,
            ran=deployment.servers[1].runs.get(each.request_id, 0),
            complete=each.complete,
            error=each.error or "-",
        )
    lost = sum(not each.complete for each in results)
    deployment.record.say("result", lost=lost, of=CLIENTS, allowed=LOST_ALLOWED)
    return lost <= LOST_ALLOWED


async def download(deployment: Deployment, number: int, rate: int | None) -> Download:
    """Read an answer slowly, and send the next request before it is complete."""
    result = Download(new_id())
    record = deployment.record
    reader, writer = await open_with_small_buffer(
        deployment.machines[1].client_address, RECEIVE_BYTES
    )
    path = f"/page/work-5/bytes-{ANSWER_BYTES}/{number}"
    record.note("sent", client=number, id=result.request_id, path=path)
    writer.write(request_bytes(path, result.request_id, deadline_ms=DEADLINE_MS))
    sent_at = record.now
    next_sent = False
    try:
        head = await read_head(reader)
        assert head is not None
        record.note("head", client=number, id=result.request_id, **head_fields(head))
        result.expected = int(head[1]["content-length"])
        while result.got < result.expected:
            left = result.expected - result.got
            data = await reader.read(
                left if rate is None else min(int(rate * STEP_S), left)
            )
            if not data:
                result.error = "the connection ended"
                break
            result.got += len(data)
            if rate is not None:
                await asyncio.sleep(STEP_S)
            if not next_sent and record.now - sent_at > NEXT_REQUEST_S:
                next_sent = True
                request_id = new_id()
                next_path = f"/page/work-5/bytes-100/{number}-next"
                record.note("sent", client=number, id=request_id, path=next_path)
                writer.write(
                    request_bytes(next_path, request_id, deadline_ms=DEADLINE_MS)
                )
    except (OSError, BrokenMessageError) as error:
        result.error = type(error).__name__
    finally:
        writer.close()
    record.note("ended", client=number, id=result.request_id, got=result.got)
    return result


def head_fields(head: tuple[str, dict[str, str]]) -> dict[str, str]:
    """Return what the record shows of the head of an answer."""
    start, headers = head
    return {
        "status": start.split(" ")[1],
        "connection": headers.get("connection", "-"),
        "seal": headers.get("response-seal", "-"),
    }


if __name__ == "__main__":
    run_case(make, play)

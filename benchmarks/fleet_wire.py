"""Measure the CPU time and traffic of the fleet component of nodes over loopback.

Starts a number of nodes in one process, each with its own listener and links, and an
in-memory platform without sockets. The measured period has no faults and a fixed rate
of changes. CPU time is that of the whole process divided by the number of nodes.

Run ``python benchmarks/fleet_wire.py --sizes 10 20 40``.
"""

import argparse
import json
import random
import resource
import socket
import time
import tracemalloc
from pathlib import Path

import anyio
from tabulate import tabulate

from buckthornshed.coordination.knowledge.fleet_actions import Activate
from buckthornshed.protocol.authentication import Authenticator
from buckthornshed.protocol.peer_codec import PeerCodec
from buckthornshed.protocol.peer_messages import (
    Changes,
    Delta,
    Digest,
    Envelope,
    Peer,
    Version,
)
from buckthornshed.tests.fleet_simulation import (
    KEY,
    FakePlatform,
    object_digest,
    objects_of,
    set_digest,
)
from buckthornshed.tests.test_fleet import FleetNode

MEASUREMENT_S = 20.0
CHANGES_PER_S = 23_000 / 86_400
NUM_DOMAINS = 2


def find_free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens."""
    sockets = [socket.socket() for _ in range(count)]
    for listener in sockets:
        listener.bind(("127.0.0.1", 0))
    ports = [listener.getsockname()[1] for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


async def run_nodes(size: int) -> dict[str, float]:
    """Run nodes for a period without faults and return the results."""
    ports = find_free_ports(size)
    peers = [
        Peer(f"n{index}", f"d{index % NUM_DOMAINS}", f"127.0.0.1:{port}")
        for index, port in enumerate(ports)
    ]
    platform = FakePlatform()
    platform.publish(objects_of(peers))
    delays: list[float] = []
    published_at = {1: time.monotonic()}

    def record_activation(active: Activate) -> None:
        if active.version.generation > 1:
            delays.append(time.monotonic() - published_at[active.version.generation])

    nodes = []
    for index, peer in enumerate(peers):
        seeds = tuple(peers[(index + step) % size].address for step in (1, 2, 5))
        node = FleetNode(peer, seeds, platform)
        node.fleet.on_active = record_activation
        nodes.append(node)
    async with anyio.create_task_group() as tasks:
        for node in nodes:
            tasks.start_soon(node.fleet.run)
        while not all(node.fleet.fresh for node in nodes):
            await anyio.sleep(0.1)
        await anyio.sleep(3.0)
        reads = sum(node.fleet.reader.reads for node in nodes)
        sent_bytes = sum(node.fleet.links.sent_bytes for node in nodes)
        messages = sum(node.fleet.links.sent for node in nodes)
        started_at, cpu_s = time.monotonic(), time.process_time()
        rng = random.Random(1)
        num_published = 0
        while time.monotonic() < started_at + MEASUREMENT_S:
            await anyio.sleep(1 / CHANGES_PER_S)
            num_published += 1
            value = rng.randbytes(100).hex().encode()
            version = platform.publish(
                {**platform.objects, f"priority/p{num_published}": value}
            )
            published_at[version.generation] = time.monotonic()
        elapsed = time.monotonic() - started_at
        cpu_s = time.process_time() - cpu_s
        reads = sum(node.fleet.reader.reads for node in nodes) - reads
        sent_bytes = sum(node.fleet.links.sent_bytes for node in nodes) - sent_bytes
        messages = sum(node.fleet.links.sent for node in nodes) - messages
        tasks.cancel_scope.cancel()
    delays.sort()
    return {
        "nodes": size,
        "core_percent": 100 * cpu_s / elapsed / size,
        "messages_per_s": messages / elapsed / size,
        "payload_sent_per_s": sent_bytes / elapsed / size,
        "reads_per_s": reads / elapsed,
        "p50_s": delays[len(delays) // 2],
        "last_s": delays[-1],
        "process_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
    }


def measure_call_us(action: object, times: int) -> float:
    """Return the CPU time of one call in microseconds."""
    started_at = time.process_time()
    for _ in range(times):
        action()  # type: ignore[operator]
    return (time.process_time() - started_at) / times * 1e6


def measure_codec() -> list[dict[str, float | str]]:
    """Return the CPU time to encode and to decode signed messages."""
    codec = PeerCodec(authenticator=Authenticator(keys=(KEY,)))
    version = Version(1_000, b"d" * 32)
    delta = Delta(999, 1_000, b"d" * 32, {"route/booking-create": b"x" * 200}, ())
    rows: list[dict[str, float | str]] = []
    for message in (Digest(version, 1.0), Changes((delta,)), Changes((delta,) * 100)):
        envelope = Envelope(
            "booking-17", "10.0.0.1:9000", 7, "10.0.0.2:9000", 9, message
        )
        signed = codec.encode_signed(envelope)
        rows.append(
            {
                "message": type(message).__name__,
                "bytes": signed.ByteSize(),
                "seal_us": measure_call_us(
                    lambda e=envelope: codec.encode_signed(e), 2_000
                ),
                "open_us": measure_call_us(
                    lambda s=signed: codec.decode_signed(s), 2_000
                ),
            }
        )
    return rows


def measure_sets(sizes: list[int]) -> list[dict[str, float]]:
    """Return the CPU time to digest a set after one change, and its memory."""
    rows = []
    for size in sizes:
        tracemalloc.start()
        objects = {
            f"target/service-{index % 820}-{index:05d}": random.Random(index).randbytes(
                220
            )
            for index in range(size)
        }
        held_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        set_digest(objects)

        def change(objects: dict[str, bytes] = objects) -> None:
            set_digest({**objects, "route/a": random.randbytes(32)})

        rows.append(
            {
                "objects": size,
                "change_us": measure_call_us(change, 50),
                "held_bytes": held_bytes,
            }
        )
    return rows


def main() -> None:
    """Run the benchmark and print its tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 20, 40])
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    object_digest.cache_clear()
    results = {
        "codec": measure_codec(),
        "sets": measure_sets([1_000, 3_000, 9_000]),
        "nodes": [anyio.run(run_nodes, size) for size in arguments.sizes],
    }
    for rows in results.values():
        print(tabulate(rows, headers="keys", floatfmt=".3g"))
        print()
    if arguments.json:
        arguments.json.write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()

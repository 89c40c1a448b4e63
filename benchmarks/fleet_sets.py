"""Measure the cost of published sets of growing size to one node.

The node joins from the platform and then receives single changes as deltas, with the
real formats, digests and checks. The sizes are the design target and fractions of it.

Run ``python benchmarks/fleet_sets.py``.
"""

import argparse
import json
import random
import time
import tracemalloc
from pathlib import Path
from statistics import median

from tabulate import tabulate

from buckthornshed.coordination.knowledge.dissemination import Dissemination
from buckthornshed.coordination.knowledge.fleet_actions import Activate
from buckthornshed.coordination.knowledge.node_formats import node_formats
from buckthornshed.protocol.canonical import canonical_bytes
from buckthornshed.protocol.encoded_sets import (
    decode_object,
    encode_objects,
    encode_set,
)
from buckthornshed.protocol.peer_messages import Changes, Delta, Version
from buckthornshed.state.objects import ConfigurationSet

try:
    from .configuration import Size, create_synthetic_set
except ImportError:
    from configuration import Size, create_synthetic_set  # type: ignore[no-redef]

SIZES = (Size(82, 710), Size(274, 2_367), Size(820, 7_100))
NUM_CHANGES = 20
DAY_S = 86_400
CHANGES_PER_DAY = 23_000


def create_joined_node(objects: ConfigurationSet, body: bytes) -> Dissemination:
    """Return a node with an active configuration set."""
    name, target = next(iter(objects["target"].items()))
    node = Dissemination(
        name=name,
        domain=target["failure_domain"],
        address=target["control"],
        seeds=(),
        formats=node_formats(),
        is_live=lambda other: True,
        rng=random.Random(1),
    )
    node.start(0.0)
    node.handle_value(0.1, "set", 1, body)
    # No peer answers the survey of a joining node.
    node.tick(1.5)
    assert node.has_set
    return node


def create_delta(
    node: Dissemination, number: int, kind: str, field: str, compute_digest: object
) -> Delta:
    """Return a delta that increments one field of one object."""
    key = sorted(key for key in node.objects if key.startswith(kind))[number]
    fields = decode_object(key, node.objects[key])
    fields[field] += 1
    objects = {**node.objects, key: canonical_bytes(fields)}
    generation = node.version.generation
    digest = compute_digest(objects)  # type: ignore[operator]
    return Delta(generation, generation + 1, digest, {key: objects[key]}, ())


def measure_change_ms(node: Dissemination, kind: str, field: str) -> float:
    """Return the median CPU milliseconds to apply a change of one object."""
    times = []
    compute_digest = node_formats().digest
    source = node.topology.addresses(node.topology.neighbours())[0]
    for number in range(NUM_CHANGES):
        delta = create_delta(node, number, kind, field, compute_digest)
        now = 1_000.0 * (1 + node.version.generation)
        node.last_tick = now
        started_at = time.process_time()
        actions = node.receive(now, source, Changes((delta,)))
        times.append((time.process_time() - started_at) * 1e3)
        assert any(isinstance(action, Activate) for action in actions)
    return median(times)


def measure(size: Size) -> dict[str, float]:
    """Return the results at one set size."""
    objects = create_synthetic_set(size)
    encoded = encode_objects(objects)
    body = encode_set(1, encoded)
    started_at = time.process_time()
    node = create_joined_node(objects, body)
    join_ms = (time.process_time() - started_at) * 1e3
    target_ms = measure_change_ms(node, "target/", "slots")
    route_ms = measure_change_ms(node, "route/", "deadline_ms")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    second_node = create_joined_node(objects, body)
    held_bytes = tracemalloc.get_traced_memory()[0] - before
    peak_bytes = tracemalloc.get_traced_memory()[1] - before
    tracemalloc.stop()
    assert second_node.version == Version(1, second_node.version.digest)
    max_change_ms = max(target_ms, route_ms)
    return {
        "targets": size.targets,
        "objects": len(encoded),
        "set_bytes": len(body),
        "join_ms": join_ms,
        "target_change_ms": target_ms,
        "route_change_ms": route_ms,
        "core_percent_a_day": max_change_ms / 1e3 * CHANGES_PER_DAY / DAY_S * 100,
        "held_mb": held_bytes / 1e6,
        "peak_mb": peak_bytes / 1e6,
    }


def main() -> None:
    """Run the benchmark and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    rows = [measure(size) for size in SIZES]
    print(tabulate(rows, headers="keys", floatfmt=".3g"))
    if arguments.json:
        arguments.json.write_text(json.dumps(rows, indent=1))


if __name__ == "__main__":
    main()

"""Measure how fast configuration spreads in a fleet, its reads and its traffic.

The decision objects of all nodes run in one process and exchange messages in order of
virtual time, with a one-way latency of 1 ms on each link; sizes are those of the
encoded messages. The percentage of a core per node is the CPU time of the decisions
and of the simulation itself, relative to the virtual time. ``fleet_wire`` measures the
codec and gRPC.

Run ``python benchmarks/fleet.py --sizes 110 330 990 --json fleet.json``.
"""

import argparse
import json
import random
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TypedDict

from tabulate import tabulate

from buckthornshed.coordination.knowledge.fleet_actions import ReadValue
from buckthornshed.protocol.peer_messages import Version
from buckthornshed.tests.fleet_simulation import (
    FleetSimulation,
    Peer,
    SimulatedNode,
    choose_seeds,
    make_peers,
    objects_of,
    start_fleet,
)

NUM_DOMAINS = 11
CHANGES_PER_S = 23_000 / 86_400
CALM_S = 120.0
OUTAGE_S = 600.0
RESTART_S = 300.0
PARTITION_S = 120.0
BURST = 100
OBJECT_BYTES = 200


class Row(TypedDict):
    """Results of one scenario at one fleet size."""

    scenario: str
    nodes: int
    p50_s: float
    p99_s: float
    last_s: float
    reads_per_s: float
    peak_reads_per_s: float
    bytes_per_s: float
    top_node_bytes_per_s: float
    core_percent: float
    messages_per_s: float
    behind: int


class Run:
    """One simulated fleet, and the delays until nodes activate versions."""

    def __init__(self, size: int, seed: int) -> None:
        self.simulation, self.peers = start_fleet(
            size // NUM_DOMAINS, NUM_DOMAINS, seed
        )
        self.simulation.on_active = self.record_activation
        self.rng = random.Random(seed)
        self.delays: list[float] = []
        self.published_at: dict[int, float] = {}
        self.latest_generations: dict[str, int] = {}
        self.started_at: dict[str, float] = {}
        self.read_times: list[float] = []
        self.num_published = 0
        read = self.simulation.start_read

        def record_read(node: SimulatedNode, action: ReadValue) -> None:
            self.read_times.append(self.simulation.now)
            read(node, action)

        self.simulation.start_read = record_read  # type: ignore[method-assign]

    def record_activation(self, node: SimulatedNode, version: Version) -> None:
        """Record the activation delay of each publication that a version includes.

        The delay of the first version of a node counts from the start of the node.
        """
        now = self.simulation.now
        name = node.peer.name
        first = len(node.history) == 1
        oldest = version.generation if first else self.latest_generations[name] + 1
        self.latest_generations[name] = version.generation
        for generation in range(oldest, version.generation + 1):
            available_at = self.published_at.get(generation)
            if first:
                available_at = self.started_at.get(name)
            if available_at is not None:
                self.delays.append(now - available_at)

    def publish(self) -> None:
        """Publish a change of one object."""
        self.num_published += 1
        value = self.rng.randbytes(OBJECT_BYTES // 2).hex().encode()
        objects = {**self.simulation.platform.objects}
        objects[f"priority/p{self.num_published % 50}"] = value
        version = self.simulation.platform.publish(objects)
        self.published_at[version.generation] = self.simulation.now

    def publish_at_rate(self, until: float) -> None:
        """Schedule publications at the daily rate of the design target until a time."""
        at = self.simulation.now
        while True:
            at += self.rng.expovariate(CHANGES_PER_S)
            if at >= until:
                return
            self.simulation.schedule_at(at, self.publish)

    def measure(self, scenario: str, seconds: float, inject: Callable[[], None]) -> Row:
        """Run a scenario for ``seconds`` of virtual time and return its results."""
        simulation = self.simulation
        self.delays.clear()
        self.read_times.clear()
        before = simulation.traffic.copy()
        messages = simulation.messages.total()
        started_at = simulation.now
        cpu_s = time.process_time()
        inject()
        simulation.run(started_at + seconds)
        cpu_s = time.process_time() - cpu_s
        nodes = list(simulation.nodes.values())
        traffic = [
            (simulation.traffic[node.peer.address] - before[node.peer.address])
            / seconds
            for node in nodes
        ]
        delays = sorted(self.delays) or [float("nan")]
        per_second = [0] * (int(seconds) + 2)
        for at in self.read_times:
            per_second[int(at - started_at)] += 1
        latest = simulation.platform.latest
        return Row(
            scenario=scenario,
            nodes=len(nodes),
            p50_s=delays[len(delays) // 2],
            p99_s=delays[int(len(delays) * 0.99)],
            last_s=delays[-1],
            reads_per_s=len(self.read_times) / seconds,
            peak_reads_per_s=max(per_second),
            bytes_per_s=sum(traffic) / len(traffic),
            top_node_bytes_per_s=max(traffic),
            core_percent=100 * cpu_s / seconds / len(nodes),
            messages_per_s=(simulation.messages.total() - messages)
            / seconds
            / len(nodes),
            behind=sum(node.decisions.version != latest for node in nodes),
        )


def calm(run: Run) -> Row:
    """Publish changes at the daily rate of the design target."""
    end = run.simulation.now + CALM_S
    return run.measure("calm", CALM_S, lambda: run.publish_at_rate(end - 5.0))


def burst(run: Run) -> Row:
    """Publish a hundred changes within one second."""

    def inject() -> None:
        for number in range(BURST):
            run.simulation.schedule_at(run.simulation.now + number / BURST, run.publish)

    return run.measure("burst of 100", 30.0, inject)


def outage(run: Run) -> Row:
    """Make the platform unreachable for ten minutes, then publish a change."""
    platform = run.simulation.platform

    def end() -> None:
        platform.down = False
        run.publish()

    def inject() -> None:
        platform.down = True
        run.simulation.schedule_at(run.simulation.now + OUTAGE_S, end)

    return run.measure("platform outage", OUTAGE_S + 30.0, inject)


def partition(run: Run) -> Row:
    """Disconnect one domain while changes continue, then reconnect it.

    The delays of all publications count from the end of the partition.
    """
    simulation = run.simulation

    def heal() -> None:
        simulation.cut = lambda one, other: False
        simulation.platform_cut = lambda peer: False
        for generation in run.published_at:
            run.published_at[generation] = simulation.now

    def inject() -> None:
        simulation.cut = lambda one, two: (one.domain == "d0") != (two.domain == "d0")
        simulation.platform_cut = lambda peer: peer.domain == "d0"
        end = simulation.now + PARTITION_S
        run.publish_at_rate(end - 5.0)
        simulation.schedule_at(end, run.delays.clear)
        simulation.schedule_at(end, heal)

    return run.measure("partition healed", PARTITION_S + 30.0, inject)


def restarts(run: Run) -> Row:
    """Replace every node within five minutes while changes continue."""
    simulation = run.simulation
    order = list(run.peers)
    run.rng.shuffle(order)

    def restart(peer: Peer) -> None:
        simulation.stop(simulation.nodes[peer.address])
        run.latest_generations.pop(peer.name, None)
        run.started_at[peer.name] = simulation.now
        simulation.start(peer, choose_seeds(peer, run.peers, run.rng))

    def inject() -> None:
        for number, peer in enumerate(order):
            at = simulation.now + RESTART_S * number / len(order)
            simulation.schedule_at(at, lambda peer=peer: restart(peer))
        run.publish_at_rate(simulation.now + RESTART_S)

    return run.measure("rolling restart", RESTART_S + 20.0, inject)


def cold_start(size: int, seed: int) -> Row:
    """Start all nodes at once, when no node has an active configuration."""
    run = Run(size, seed)
    for peer in run.peers:
        run.started_at[peer.name] = 0.0
    return run.measure("all start at once", 30.0, lambda: None)


SCENARIOS = {
    "calm": calm,
    "burst": burst,
    "outage": outage,
    "partition": partition,
    "restarts": restarts,
}


def baseline(size: int, seed: int) -> Row:
    """Let every node watch the latest version and read each delta itself."""
    run = Run(size, seed)
    run.simulation.run(30.0)
    for node in run.simulation.nodes.values():
        node.decisions.topology.is_reader = lambda: True  # type: ignore[method-assign]
        name = node.peer.name
        node.decisions.topology.primary = lambda _, name=name: name  # type: ignore[method-assign,misc]
        node.decisions.push.schedule = lambda *_: None  # type: ignore[method-assign]
    end = run.simulation.now + CALM_S
    return run.measure("each node reads", CALM_S, lambda: run.publish_at_rate(end - 5))


def run_scenarios(sizes: list[int], scenarios: list[str], seed: int) -> Iterator[Row]:
    """Yield the results of the scenarios at all sizes."""
    for size in sizes:
        if "start" in scenarios:
            yield cold_start(size, seed)
        if "baseline" in scenarios:
            yield baseline(size, seed)
        run = Run(size, seed)
        run.simulation.run(40.0)
        for node in run.simulation.nodes.values():
            run.latest_generations[node.peer.name] = node.decisions.version.generation
        for name in scenarios:
            if name in SCENARIOS:
                yield SCENARIOS[name](run)


def measure_memory(size: int) -> dict[str, float]:
    """Return the bytes that the state of one node takes at a fleet size."""
    peers = make_peers(size // NUM_DOMAINS, NUM_DOMAINS)
    objects = objects_of(peers, padding=b"")
    padded_objects = {key: value.ljust(OBJECT_BYTES) for key, value in objects.items()}
    simulation = FleetSimulation()
    simulation.platform.publish(objects)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    node = simulation.start(peers[0])
    simulation.run(10.0)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert node.decisions.fresh
    padding_bytes = sum(map(len, padded_objects.values())) - sum(
        map(len, objects.values())
    )
    return {"nodes": size, "bytes": after - before + padding_bytes}


def main() -> None:
    """Run the benchmark and print its tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[110, 330, 990])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    names = ["start", "baseline", *SCENARIOS]
    parser.add_argument("--scenarios", nargs="+", choices=names, default=names)
    arguments = parser.parse_args()
    report: dict[str, object] = {"seed": arguments.seed}
    report["memory"] = [measure_memory(size) for size in arguments.sizes]
    results: list[Row] = []
    report["scenarios"] = results
    for row in run_scenarios(arguments.sizes, arguments.scenarios, arguments.seed):
        results.append(row)
        print(json.dumps(row), file=sys.stderr)
        if arguments.json:
            arguments.json.write_text(json.dumps(report, indent=1))
    print(tabulate(results, headers="keys", floatfmt=".3g"))
    print(tabulate(report["memory"], headers="keys", floatfmt=".0f"))  # type: ignore[call-overload]
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(f"peak of the process: {peak / 1024:.0f} MB")


if __name__ == "__main__":
    main()

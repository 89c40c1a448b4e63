"""Latency that two nodes add to a call, compared with the same chain without nodes.

Both chains run at the same time and receive the same open-loop arrivals. The CPU time
of each process shows the cost even on a machine that is busy with other work:

    python benchmarks/added_latency.py --rate 240 --seconds 30
"""

import argparse
import asyncio
import tempfile
from pathlib import Path

import uvloop
from tabulate import tabulate

from buckthornshed.load.fleet import Fleet, Objects
from buckthornshed.load.plan import ClientBehaviour, Phase, Plan, Traffic
from buckthornshed.load.processes import Ports
from buckthornshed.load.runner import LoadRunner
from buckthornshed.load.summary import added_latency, answer_latency, summarize
from buckthornshed.standins.behaviour import read_deployment

TARGET_P99_MS = 0.44
WARM_UP_S = 3.0
CHAINS = ("two nodes", "direct")

BEHAVIOUR = """
[service.front]
[[service.front.route]]
method = "GET"
path = "/"
service_ms = 0.0
calls = [{ service = "back", method = "GET", path = "/" }]
[service.back]
[[service.back.route]]
method = "GET"
path = "/"
service_ms = 0.0
"""


def create_objects() -> Objects:
    """Return a configuration set of two services with one target each."""
    target = {"provider": "one", "failure_domain": "a", "slots": 50, "connections": 400}
    target |= {"address": "127.0.0.1:1", "control": "127.0.0.1:2"}
    route = {
        "methods": ["GET"],
        "path": "/",
        "purpose": "browsing",
        "priority": "browsing",
        "retry": "once",
        "idempotency": "repeatable",
        "deadline_ms": 2000,
    }
    return {
        "failure_domain": {"a": {"region": "a"}},
        "provider": {"one": {}},
        "service": {
            "front": {"calls": ["back"], "admission": "wide"},
            "back": {"admission": "wide"},
        },
        "target": {
            "front-1": target | {"service": "front"},
            "back-1": target | {"service": "back"},
        },
        "priority": {"browsing": {"rank": 10}},
        "retry": {"once": {"allowance": 1, "backoff_ms": 50}},
        "idempotency": {"repeatable": {"repeatable": True}},
        "admission": {
            "wide": {
                "queue_delay_ms": 50,
                "queue": 100,
                "retry_after_min_s": 1,
                "retry_after_max_s": 5,
            }
        },
        "route": {
            "front": route | {"service": "front"},
            "back": route | {"service": "back"},
        },
        "shift": {},
    }


def create_plan(rate: float, seconds: float) -> Plan:
    traffic = (Traffic("browsing", 10, "front", "GET", "/"),)
    phases = (Phase("warm-up", WARM_UP_S), Phase("measured", seconds))
    client = ClientBehaviour(timeout_ms=2000.0, retries=0)
    return Plan(rate=rate, traffic=traffic, phase=phases, client=client)


async def measure(rate: float, seconds: float) -> str:
    plan = create_plan(rate, seconds)
    ports = Ports()
    with tempfile.TemporaryDirectory(prefix="buckthornshed-") as name:
        folder = Path(name)
        behaviour = folder / "behaviour.toml"
        behaviour.write_text(BEHAVIOUR)
        fleets = []
        for nodes in (True, False):
            fleet_folder = folder / f"nodes-{nodes}"
            fleet_folder.mkdir()
            fleet = Fleet(
                objects=create_objects(),
                behaviour=behaviour,
                nodes=nodes,
                folder=fleet_folder,
                ports=ports,
            )
            fleets.append(fleet)
        async with fleets[0], fleets[1]:
            runners = [
                LoadRunner(
                    plan=plan,
                    entry_addresses=fleet.entry_addresses(),
                    deployment=read_deployment(behaviour),
                )
                for fleet in fleets
            ]
            before = read_cpu_times(fleets[0])
            await asyncio.gather(*(runner.run() for runner in runners))
            after = read_cpu_times(fleets[0])
    calls = len(runners[0].records)
    cpu_per_call = {name: (after[name] - before[name]) / calls for name in before}
    return format_latencies(plan, *runners) + "\n" + format_cpu_times(cpu_per_call)


def read_cpu_times(fleet: Fleet) -> dict[str, float]:
    """Return the CPU seconds that each process of a fleet has used so far."""
    return {name: process.cpu_s() for name, process in fleet.processes.items()}


def format_cpu_times(cpu_per_call: dict[str, float]) -> str:
    rows = [[name, f"{1e3 * cpu_s:.3f}"] for name, cpu_s in cpu_per_call.items()]
    return tabulate(rows, ["process", "processor ms a call"])


def format_latencies(plan: Plan, with_nodes: LoadRunner, direct: LoadRunner) -> str:
    measured = [
        [record for record in runner.records if record.arrival >= WARM_UP_S]
        for runner in (with_nodes, direct)
    ]
    summaries = [summarize(plan, records) for records in measured]
    rows = [
        [
            name,
            summary["requests"],
            summary["results"],
            *answer_latency(records).values(),
        ]
        for name, summary, records in zip(CHAINS, summaries, measured, strict=True)
    ]
    added_ms = added_latency(*measured)
    rows.append(["added", "", "", *added_ms.values()])
    table = tabulate(
        rows, ["", "calls", "results", "p50 ms", "p99 ms", "p99.9 ms", "max"]
    )
    target_status = "met" if added_ms["p99"] <= TARGET_P99_MS else "not met"
    if any(set(summary["results"]) != {"whole"} for summary in summaries):
        target_status = "not measured, since calls failed"
    return f"{table}\ntarget {TARGET_P99_MS} ms for 99 in 100: {target_status}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=240.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    arguments = parser.parse_args()
    uvloop.install()
    print(asyncio.run(measure(arguments.rate, arguments.seconds)))


if __name__ == "__main__":
    main()

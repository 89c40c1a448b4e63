"""``buckthornshed load``: generate open-loop load and report the results."""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import anyio
import cappa
import msgspec

from ..load.plan import Plan, Trigger, read_plan
from ..load.runner import LoadRunner, TimedAction
from ..load.summary import added_latency, format_tables, summarize
from ..standins.behaviour import read_deployment
from ..standins.http_client import ClientPool, encode_request
from .target import parse_peers

__all__ = ["Load"]

EXIT_FAILED = 1
TRIGGER_TIMEOUT_S = 5.0

Report = Callable[[str], None]


@cappa.command(name="load")
@dataclass(kw_only=True)
class Load:
    """Generate open-loop load; report goodput, refusals, retries and latency."""

    plan: Annotated[Path, cappa.Arg(help="TOML file with the load plan")]
    entry: Annotated[
        str, cappa.Arg(long=True, help="service=ip:port+ip:port,... to send to")
    ]
    direct: Annotated[
        str, cappa.Arg(long=True, help="entry addresses of a deployment without nodes")
    ] = ""
    behaviour: Annotated[
        Path | None,
        cappa.Arg(long=True, help="TOML file that responses are verified against"),
    ] = None
    seed: Annotated[
        int | None, cappa.Arg(long=True, help="random seed, overrides the plan")
    ] = None
    output: Annotated[
        Path | None, cappa.Arg(long=True, help="file for the results as JSON")
    ] = None

    def __call__(self) -> None:
        """Run the plan and print the tables.

        Exit with 1 if a response was wrong or a request could not be sent.
        """
        passed = anyio.run(self.run, backend_options={"use_uvloop": True})
        if not passed:
            raise cappa.Exit(code=EXIT_FAILED)

    async def run(self) -> bool:
        """Run the plan against `entry` and, if set, against `direct` at the same time.

        Return whether no response was wrong and all requests were sent.
        """
        plan = read_plan(self.plan)
        if self.seed is not None:
            plan = plan._replace(seed=self.seed)
        with_nodes = self.create_runner(plan, self.entry, "r", print_progress)
        direct = self.create_runner(plan, self.direct, "d", print_direct_progress)
        async with anyio.create_task_group() as group:
            group.start_soon(with_nodes.run)
            if self.direct:
                group.start_soon(direct.run)
        summary = summarize(plan, with_nodes.records, unsent=with_nodes.unsent)
        figures: dict[str, object] = {"through": summary}
        print(format_tables(summary))
        if self.direct:
            baseline = summarize(plan, direct.records, unsent=direct.unsent)
            added = added_latency(with_nodes.records, direct.records)
            figures |= {"direct": baseline, "added_ms": added}
            print("\nwithout nodes\n\n" + format_tables(baseline))
            print("\nadded latency, ms: " + msgspec.json.encode(added).decode())
        if self.output is not None:
            encoded = msgspec.json.format(msgspec.json.encode(figures))
            self.output.write_bytes(encoded)
        return not summary["wrong"] and not summary["unsent"]

    def create_runner(
        self, plan: Plan, addresses: str, name: str, report: Report
    ) -> LoadRunner:
        """Return a runner that sends the load to `addresses`.

        The triggers of the plan are part of the run against `entry` only.
        """
        deployment = read_deployment(self.behaviour) if self.behaviour else None
        triggers = plan.trigger if addresses == self.entry else ()
        return LoadRunner(
            plan=plan,
            entry_addresses=parse_peers(addresses),
            deployment=deployment,
            actions=tuple(create_trigger_action(trigger) for trigger in triggers),
            name=name,
            report=report,
        )


def create_trigger_action(trigger: Trigger) -> TimedAction:
    """Return the timed action that sends the request of a trigger."""

    async def send_request() -> None:
        pool = ClientPool()
        request = encode_request(
            method=trigger.method,
            path=trigger.path,
            host=trigger.address,
            headers=(),
            body=trigger.body.encode(),
        )
        await pool.request(trigger.address, request, timeout_s=TRIGGER_TIMEOUT_S)
        pool.close()

    label = f"{trigger.method} {trigger.address}{trigger.path} {trigger.body}"
    return TimedAction(trigger.at_s, label, send_request)


def print_progress(line: str) -> None:
    """Print a progress line of the run through the nodes."""
    print(line, file=sys.stderr, flush=True)


def print_direct_progress(line: str) -> None:
    """Print a progress line of the run without nodes."""
    print("direct  " + line, file=sys.stderr, flush=True)


if __name__ == "__main__":
    cappa.invoke(Load)

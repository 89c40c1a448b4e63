"""Runs a load plan against a deployment while events such as failures occur."""

import asyncio
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from ..protocol.outcome import Reason
from ..standins.behaviour import Deployment, read_deployment
from .fleet import Fleet
from .guarantees import CheckResult, RunData, check_guarantees, wasted_fraction
from .plan import Plan
from .records import Attempt, Result
from .runner import LoadRunner, TimedAction
from .summary import LoadSummary, summarize

__all__ = ["Event", "EventExecutor", "ExperimentResult", "run_experiment"]

STOP_MARGIN_S = 0.5


class Event(NamedTuple):
    """A scheduled change to the deployment during a run.

    Parameters
    ----------
    at_s : float
        Time from the start of the run, seconds.
    action : str
        ``slow`` and ``mend`` apply to a service; ``kill``, ``replace`` and
        ``stop`` to an instance; ``freeze`` and ``wake`` to a failure domain.
        ``publish`` has no subject.
    subject : str
        Name of the service, instance or failure domain.
    factor : float
        Factor by which ``slow`` multiplies service times.
    """

    at_s: float
    action: str
    subject: str = ""
    factor: float = 1.0


class ExperimentResult(NamedTuple):
    """Result of a run.

    Parameters
    ----------
    summary : LoadSummary
        Statistics of the client requests.
    checks : list of CheckResult
        Results of the checks of all guarantees.
    wasted_fraction : float
        Fraction of the run time of targets that was spent on failed attempts.
    offered : Counter
        Number of arrivals by phase name and index of the request type.
    """

    summary: LoadSummary
    checks: list[CheckResult]
    wasted_fraction: float
    offered: Counter[tuple[str, int]]


class EventExecutor:
    """Executes events on a fleet and records the data that the checks need.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    runner : LoadRunner
        Provides the elapsed time of the run and the records of requests.
    """

    def __init__(self, *, fleet: Fleet, runner: LoadRunner) -> None:
        self.fleet = fleet
        self.runner = runner
        self.exit_codes: dict[str, int] = {}
        self.stops: list[tuple[str, float, float]] = []
        self.generation = 0

    async def execute(self, event: Event) -> None:
        """Execute one event."""
        await ACTIONS[event.action](self, event)

    def interrupted_attempts(self) -> tuple[str, ...]:
        """Return the attempts that a planned stop interrupted, each with the symptom.

        These are attempts whose connection to the stopped instance was lost, attempts
        whose answer was lost between nodes during the stop, and attempts whose run at
        the stopped target did not complete although the client had not timed out.
        """
        interrupted = []
        for name, start, end in self.stops:
            addresses = self.fleet.addresses_of(name)
            attempts = self.attempts_between(start, end)
            interrupted += [
                f"{one} {attempt.reason or attempt.detail}"
                for one, attempt in attempts.items()
                if (attempt.result is Result.LOST and attempt.address in addresses)
                or attempt.reason == Reason.ANSWER_LOST
            ]
            interrupted += self.interrupted_runs(name, attempts)
        return tuple(interrupted)

    def interrupted_runs(self, name: str, attempts: dict[str, Attempt]) -> list[str]:
        """Return attempts whose run at a target did not complete, unless timed out."""
        return [
            f"{entry.request} run {entry.outcome} at {name}"
            for ledger in self.fleet.ledgers()
            if ledger.name == name
            for entry in ledger.entries
            if entry.outcome in ("running", "cancelled")
            and entry.request in attempts
            and attempts[entry.request].result is not Result.TIMEOUT
        ]

    def attempts_between(self, start: float, end: float) -> dict[str, Attempt]:
        """Return the attempts that were in flight during an interval, by their ids."""
        return {
            attempt.attempt_id: attempt
            for record in self.runner.records
            for attempt in record.attempts
            if attempt.end >= start and attempt.start <= end
        }


async def slow_service(executor: EventExecutor, event: Event) -> None:
    """Multiply the service times of all targets of a service."""
    await executor.fleet.set_faults(event.subject, slow_factor=event.factor)


async def restore_service(executor: EventExecutor, event: Event) -> None:
    """Reset the service times of a service."""
    await executor.fleet.set_faults(event.subject, slow_factor=1.0)


async def kill_instance(executor: EventExecutor, event: Event) -> None:
    """Kill a target and its node."""
    executor.fleet.kill(event.subject)


async def replace_instance(executor: EventExecutor, event: Event) -> None:
    """Start a killed instance again, without its former state."""
    await executor.fleet.start_member(event.subject)


async def stop_instance(executor: EventExecutor, event: Event) -> None:
    """Stop an instance gracefully, then remove it from the entry addresses."""
    start = executor.runner.elapsed()
    codes = await executor.fleet.stop_member(event.subject)
    end = executor.runner.elapsed() + STOP_MARGIN_S
    executor.exit_codes |= codes
    executor.stops.append((event.subject, start, end))
    executor.runner.entry_addresses = executor.fleet.entry_addresses()


async def pause_domain(executor: EventExecutor, event: Event) -> None:
    """Suspend all processes of a failure domain."""
    for process in executor.fleet.processes_in(event.subject):
        process.pause()


async def resume_domain(executor: EventExecutor, event: Event) -> None:
    """Resume all processes of a failure domain."""
    for process in executor.fleet.processes_in(event.subject):
        process.resume()


async def publish_set(executor: EventExecutor, event: Event) -> None:
    """Publish the configuration set under the next generation."""
    if executor.fleet.nodes:
        executor.generation = await executor.fleet.publish_next()


ACTIONS = {
    "slow": slow_service,
    "mend": restore_service,
    "kill": kill_instance,
    "replace": replace_instance,
    "stop": stop_instance,
    "freeze": pause_domain,
    "wake": resume_domain,
    "publish": publish_set,
}


async def run_experiment(
    fleet: Fleet,
    plan: Plan,
    events: tuple[Event, ...],
    *,
    behaviour: Path,
    bottleneck: str,
    report: Callable[[str], None],
) -> ExperimentResult:
    """Start the fleet, run the plan, stop the fleet and check the guarantees."""
    deployment = read_deployment(behaviour)
    async with fleet:
        runner, executor = create_runner(fleet, plan, deployment, events, report)
        await runner.run()
        generations = fleet.generations_in_force()
        await fleet.save_dumps()
    data = RunData(
        plan=plan,
        deployment=deployment,
        records=runner.records,
        ledgers=fleet.ledgers(),
        retry_allowances=fleet.retry_allowances(plan),
        exit_codes=executor.exit_codes,
        interrupted=executor.interrupted_attempts(),
        generations=generations,
        generation=executor.generation,
        bottleneck=bottleneck,
    )
    summary = summarize(plan, runner.records, unsent=runner.unsent)
    return await asyncio.to_thread(evaluate, data, summary)


def create_runner(
    fleet: Fleet,
    plan: Plan,
    deployment: Deployment,
    events: tuple[Event, ...],
    report: Callable[[str], None],
) -> tuple[LoadRunner, EventExecutor]:
    """Return a load runner that executes the events, and their executor."""
    runner = LoadRunner(
        plan=plan,
        entry_addresses=fleet.entry_addresses(),
        deployment=deployment,
        report=report,
    )
    executor = EventExecutor(fleet=fleet, runner=runner)

    def action(event: Event) -> TimedAction:
        label = f"{event.action} {event.subject}"
        return TimedAction(event.at_s, label, lambda: executor.execute(event))

    runner.actions = tuple(action(event) for event in events)
    return runner, executor


def evaluate(data: RunData, summary: LoadSummary) -> ExperimentResult:
    """Check the guarantees and return the result of the run."""
    offered = Counter(
        (data.plan.phase_at(record.arrival).name, record.traffic_index)
        for record in data.records
    )
    return ExperimentResult(
        summary, check_guarantees(data), wasted_fraction(data), offered
    )

"""Checks of the guarantees, from the records of clients and of targets."""

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import NamedTuple

from ..standins.behaviour import Deployment, find_route
from ..standins.ledger import Entry
from .fleet import TargetLedger
from .plan import Plan, Traffic
from .records import Attempt, RequestRecord, Result
from .verify import expected_answer

__all__ = ["CHECKS", "CheckResult", "RunData", "check_guarantees", "register_check"]

DRAIN_GRACE_S = 3.0
MIN_SUCCESS_FRACTION = 0.95
MAX_EXAMPLES = 3


class RunData(NamedTuple):
    """Data of a run that the checks use.

    Parameters
    ----------
    plan : Plan
        Plan of the run.
    deployment : Deployment
        Behaviour of the targets.
    records : sequence of RequestRecord
        Requests of the clients with the results of their attempts.
    ledgers : sequence of TargetLedger
        Runs recorded by the targets.
    retry_allowances : tuple of int
        Number of retries that one client request may cause, for each request type
        of the plan.
    exit_codes : dict
        Exit codes of the processes that were stopped gracefully, by name.
    interrupted : tuple of str
        Attempts that a planned stop interrupted, each with the symptom.
    generations : dict
        Generations that were in force at each node, in order.
    generation : int
        The last published generation, 0 if none was published.
    bottleneck : str
        The service that limits goodput. The comparison of priorities omits request
        types that do not call it; an empty name omits none.
    """

    plan: Plan
    deployment: Deployment
    records: Sequence[RequestRecord]
    ledgers: Sequence[TargetLedger]
    retry_allowances: tuple[int, ...]
    exit_codes: dict[str, int]
    interrupted: tuple[str, ...] = ()
    generations: dict[str, list[int]] = {}  # noqa: RUF012
    generation: int = 0
    bottleneck: str = ""


class CheckResult(NamedTuple):
    """Result of the check of one guarantee.

    Parameters
    ----------
    guarantee : str
        The guarantee in words.
    held : bool or None
        Whether it held; None if the run did not test it.
    detail : str
        The figures that the result is based on.
    """

    guarantee: str
    held: bool | None
    detail: str


Check = Callable[[RunData], CheckResult]

CHECKS: list[Check] = []


def register_check(check: Check) -> Check:
    """Register a check, which `check_guarantees` then runs."""
    CHECKS.append(check)
    return check


def check_guarantees(data: RunData) -> list[CheckResult]:
    """Return the result of the check of each guarantee."""
    return [check(data) for check in CHECKS]


def attempts_by_id(data: RunData) -> dict[str, Attempt]:
    """Return all attempts of clients by their ids."""
    return {
        attempt.attempt_id: attempt
        for record in data.records
        for attempt in record.attempts
    }


def entries_by_attempt(data: RunData) -> dict[str, list[tuple[str, Entry]]]:
    """Return the service and ledger entry of each run, by the id of its attempt."""
    runs: dict[str, list[tuple[str, Entry]]] = defaultdict(list)
    for ledger in data.ledgers:
        for entry in ledger.entries:
            runs[entry.request].append((ledger.service, entry))
    return runs


ServiceRoute = tuple[str, str]
"""Name of a service and method and path prefix of its route."""


class CallTree(NamedTuple):
    """The calls that a request of one type causes.

    Parameters
    ----------
    root : ServiceRoute
        The route that the client calls.
    calls : dict
        Number of downstream calls by route, for each run of a route.
    """

    root: ServiceRoute
    calls: dict[ServiceRoute, Counter[ServiceRoute]]


def build_call_tree(data: RunData, kind: Traffic) -> CallTree | None:
    """Return the call tree of a request type, None if its route is unknown."""
    expected = expected_answer(data.deployment, kind.service, kind.method, kind.path)
    if expected is None:
        return None
    calls: dict[ServiceRoute, Counter[ServiceRoute]] = {}
    pending = [expected]
    while pending:
        part = pending.pop()
        downstream = Counter((part.service, part.route) for part in part.parts)
        calls[part.service, part.route] = downstream
        pending.extend(part.parts)
    return CallTree((expected.service, expected.route), calls)


def count_retries(tree: CallTree | None, runs: Counter[ServiceRoute]) -> int:
    """Return the number of runs that are retries.

    One run is expected for the client's call, and one for each downstream call that a
    run of a caller makes. Runs beyond these are retries, so that the calls of a retried
    run are not counted as retries themselves.
    """
    if tree is None:
        return 0
    expected = Counter({tree.root: 1})
    for caller, calls in tree.calls.items():
        for callee, times in calls.items():
            expected[callee] += runs[caller] * times
    return (runs - expected).total()


def uses_bottleneck(data: RunData, kind: Traffic) -> bool:
    """Return whether a request type calls the bottleneck, or none is given."""
    tree = build_call_tree(data, kind)
    services = {service for service, _ in tree.calls} if tree else set()
    return not data.bottleneck or data.bottleneck in services


def max_retries(data: RunData) -> list[int]:
    """Return the most retries that one client attempt caused, by request type."""
    entries = entries_by_attempt(data)
    largest = [0] * len(data.plan.traffic)
    trees = [build_call_tree(data, kind) for kind in data.plan.traffic]
    for record in data.records:
        for attempt in record.attempts:
            runs = Counter(
                (service, entry.route) for service, entry in entries[attempt.attempt_id]
            )
            retries = count_retries(trees[record.traffic_index], runs)
            largest[record.traffic_index] = max(largest[record.traffic_index], retries)
    return largest


@register_check
def check_retries(data: RunData) -> CheckResult:
    """Check that the retries caused by a client attempt stay within the allowance."""
    largest = max_retries(data)
    pairs = list(zip(largest, data.retry_allowances, strict=True))
    held = all(extra <= allowance for extra, allowance in pairs)
    detail = "maximum retries executed / allowance: "
    detail += ", ".join(
        f"{kind.purpose} {extra}/{allowance}"
        for kind, (extra, allowance) in zip(data.plan.traffic, pairs, strict=True)
    )
    return CheckResult("retries stay within the allowance", held, detail)


@register_check
def check_priorities(data: RunData) -> CheckResult:
    """Check that the success rate in a surge does not increase with the rank."""
    offered: Counter[int] = Counter()
    succeeded: Counter[int] = Counter()
    contending = [uses_bottleneck(data, one) for one in data.plan.traffic]
    for record in data.records:
        surge = data.plan.phase_at(record.arrival).factor > 1.0
        if surge and contending[record.traffic_index]:
            rank = data.plan.traffic[record.traffic_index].rank
            offered[rank] += 1
            succeeded[rank] += record.succeeded()
    success_rates = [succeeded[rank] / offered[rank] for rank in sorted(offered)]
    held = all(first >= second for first, second in pairwise(success_rates))
    detail = ", ".join(
        f"rank {rank} {100 * rate:.1f}%"
        for rank, rate in zip(sorted(offered), success_rates, strict=True)
    )
    overloaded = bool(success_rates) and min(success_rates) < 1.0
    guarantee = "lower priorities do not succeed more often"
    return CheckResult(
        guarantee, held if overloaded else None, f"succeeded in the surge: {detail}"
    )


@register_check
def check_normal_load(data: RunData) -> CheckResult:
    """Check that requests succeed in the first phase, before any disturbance."""
    first = data.plan.phase[0]
    early = [one for one in data.records if one.arrival < first.seconds]
    succeeded = sum(one.succeeded() and len(one.attempts) == 1 for one in early)
    detail = f"{succeeded} of {len(early)} succeeded at first attempt in {first.name}"
    held = (
        succeeded >= MIN_SUCCESS_FRACTION * len(early) if first.factor == 1.0 else None
    )
    return CheckResult("requests succeed under normal load", held, detail)


@register_check
def check_answers(data: RunData) -> CheckResult:
    """Check that no successful answer was incomplete or of another request."""
    wrong = [
        attempt
        for record in data.records
        for attempt in record.attempts
        if attempt.result is Result.WRONG
    ]
    details = "; ".join(attempt.detail for attempt in wrong[:MAX_EXAMPLES])
    detail = f"{len(wrong)} wrong answers {details}".strip()
    return CheckResult(
        "answers are complete and belong to their request", not wrong, detail
    )


@register_check
def check_refusals(data: RunData) -> CheckResult:
    """Check that no ledger has a run of a request reported as not run."""
    runs = entries_by_attempt(data)
    refused = [
        attempt_id
        for attempt_id, attempt in attempts_by_id(data).items()
        if attempt.outcome == "not_run"
    ]
    ran = [attempt_id for attempt_id in refused if runs[attempt_id]]
    detail = f"{len(refused)} reported, of which {len(ran)} ran {ran[:MAX_EXAMPLES]}"
    held = not ran if refused else None
    return CheckResult("requests reported as not run did not run", held, detail)


@register_check
def check_single_runs(data: RunData) -> CheckResult:
    """Check that no idempotency key ran twice at a service."""
    runs: Counter[tuple[str, str, str]] = Counter()
    for ledger in data.ledgers:
        for entry in ledger.entries:
            if entry.key:
                runs[ledger.service, entry.route, entry.key] += 1
    repeated = sum(count > 1 for count in runs.values())
    detail = f"{len(runs)} keys, {repeated} ran more than once"
    return CheckResult(
        "requests with an idempotency key run at most once",
        not repeated if runs else None,
        detail,
    )


@register_check
def check_draining(data: RunData) -> CheckResult:
    """Check that a draining target gets no new requests after a grace period."""
    draining = [
        entry.leaving_s
        for ledger in data.ledgers
        for entry in ledger.entries
        if entry.leaving_s
    ]
    late = [seconds for seconds in draining if seconds > DRAIN_GRACE_S]
    detail = f"{len(draining)} runs began while draining, {len(late)} of them late"
    return CheckResult("draining targets receive no new requests", not late, detail)


@register_check
def check_planned_stops(data: RunData) -> CheckResult:
    """Check that planned stops exited with 0 and interrupted no requests."""
    if not data.exit_codes:
        return CheckResult(
            "a planned stop interrupts no requests", None, "no planned stop"
        )
    bad = {name: code for name, code in data.exit_codes.items() if code}
    detail = f"{len(data.exit_codes)} stops, exit codes not 0: {bad or 'none'}, "
    detail += (
        f"{len(data.interrupted)} interrupted {list(data.interrupted[:MAX_EXAMPLES])}"
    )
    return CheckResult(
        "a planned stop interrupts no requests",
        not bad and not data.interrupted,
        detail,
    )


@register_check
def check_configuration(data: RunData) -> CheckResult:
    """Check that the last set is in force at all nodes and none reverted."""
    guarantee = "a new configuration takes effect on all nodes"
    if not data.generation:
        return CheckResult(guarantee, None, "none published")
    behind = [
        name
        for name, seen in data.generations.items()
        if not seen or seen[-1] != data.generation
    ]
    reverted = [name for name, seen in data.generations.items() if seen != sorted(seen)]
    detail = f"generation {data.generation}: {len(behind)} of "
    detail += f"{len(data.generations)} nodes behind, {len(reverted)} reverted"
    held = bool(data.generations) and not behind and not reverted
    return CheckResult(guarantee, held, detail)


def wasted_fraction(data: RunData) -> float:
    """Return the fraction of run time that was spent on failed attempts.

    Only runs without downstream calls count, since the time of other runs includes
    waiting for their calls.
    """
    attempts = attempts_by_id(data)
    total = wasted = 0.0
    for ledger in data.ledgers:
        for entry in ledger.entries:
            route = find_route(
                data.deployment.service[ledger.service],
                *entry.route.split(" ", 1),
            )
            if route is None or route.calls or not entry.end:
                continue
            total += entry.end - entry.start
            attempt = attempts.get(entry.request)
            if attempt is None or attempt.result is not Result.SUCCEEDED:
                wasted += entry.end - entry.start
    return wasted / total if total else 0.0

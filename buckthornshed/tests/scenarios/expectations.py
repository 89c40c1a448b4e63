"""Checks of a finished simulation run, one for each expectation of the language."""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from ...protocol.messages import Answer
from ...protocol.outcome import Outcome, Reason
from .deployment import ENTRY_ROUTES, expected_body
from .driver import World

CHECKS: dict[str, Callable[..., Iterator[str]]] = {}
NON_REPEATABLE_METHOD = b"POST"
CAPACITY_REASONS = (Reason.OVERLOAD, Reason.QUEUE_FULL)
WINDOW_S = 1.0
MIN_WINDOW_ANSWERS = 8
MIN_COMPLETE_SHARE = 0.99


def check(function):
    """Register the function as an expectation, by its name; it yields failures."""
    CHECKS[function.__name__] = function
    return function


def check_expectations(world: World) -> list[str]:
    """Return the failed expectations of a finished run, at most three each."""
    messages: list[str] = []
    for each in world.scenario.checks:
        failures = list(CHECKS[each.name](world, *each.arguments))
        messages += [f"{each.name}: {one}" for one in failures[:3]]
    return messages


def answers(world: World) -> Iterator[tuple]:
    for client in world.clients:
        for attempt in client.attempts:
            if isinstance(attempt.result, Answer):
                yield client, attempt, attempt.result


def completed(client) -> bool:
    results = [attempt.result for attempt in client.attempts]
    return any(
        isinstance(each, Answer) and each.outcome is Outcome.COMPLETE
        for each in results
    )


@check
def once(world: World) -> Iterator[str]:
    """Check that no non-repeatable call ran more than once."""
    runs = Counter(
        (run.service, run.prefix, run.client_id)
        for run in world.runs
        if run.method == NON_REPEATABLE_METHOD
    )
    for call, count in runs.items():
        if count > 1:
            yield f"{call} ran {count} times"


@check
def truth(world: World) -> Iterator[str]:
    """Check that no request answered as not run had run, also in earlier attempts."""
    executed_requests = {run.request_id for run in world.runs}
    first_runs: dict[str, float] = {}
    for run in world.runs:
        if run.method == NON_REPEATABLE_METHOD:
            first_runs.setdefault(run.client_id, run.started_at)
    for client, attempt, answer in answers(world):
        if answer.outcome is not Outcome.NOT_RUN:
            continue
        if attempt.request_id in executed_requests:
            yield f"{client.client_id} {client.kind}: {answer.reason}, but ran"
        elif client.key and first_runs.get(client.client_id, 1e9) < attempt.started_at:
            yield f"{client.client_id} {client.kind}: {answer.reason}, but ran before"


@check
def sends(world: World, limit: int) -> Iterator[str]:
    """Check that each request was sent and ran at most `limit` times."""
    runs = Counter(run.request_id for run in world.runs)
    for request, count in world.sends.items():
        if count > limit:
            yield f"{request.hex()[:8]} was sent {count} times"
    for request, count in runs.items():
        if count > limit:
            yield f"{request.hex()[:8]} ran {count} times"


@check
def own(world: World) -> Iterator[str]:
    """Check that each request got at most one answer, its own and complete."""
    yield from (f"unmatched answer: {answer}" for answer in world.unmatched_answers)
    for client, _, answer in answers(world):
        service, _, prefix = ENTRY_ROUTES[client.kind]
        expected = expected_body(service, prefix, client.client_id)
        if answer.outcome is Outcome.COMPLETE and answer.body != expected:
            yield f"{client.client_id} got {answer.body!r}, expected {expected!r}"


@check
def outlast(world: World) -> Iterator[str]:
    """Check that in no window a higher share of bookings than of browsing is refused.

    Only refusals for lack of capacity count, and only windows with enough answers.
    """
    windows: dict[int, dict[bool, list[bool]]] = defaultdict(lambda: defaultdict(list))
    for client, attempt, answer in answers(world):
        high_priority = client.kind in ("booking", "deposit")
        refused = answer.reason in CAPACITY_REASONS
        windows[int(attempt.started_at / WINDOW_S)][high_priority].append(refused)
    for number, kinds in windows.items():
        if min(len(kinds[True]), len(kinds[False])) < MIN_WINDOW_ANSWERS:
            continue
        high = sum(kinds[True]) / len(kinds[True])
        low = sum(kinds[False]) / len(kinds[False])
        if high > low:
            yield f"second {number}: bookings refused {high:.2f}, browsing {low:.2f}"


@check
def leaving(world: World, name: str, seconds: float) -> Iterator[str]:
    """Check that a draining target starts no call `seconds` after its drain began."""
    since = world.drain_started_at[name]
    for run in world.runs:
        if run.target == name and run.started_at > since + seconds:
            if run.process.core.drain.stop_requested_at is None:
                continue
            yield f"{name} ran {run.prefix} {run.started_at - since:.2f} s after"


@check
def stops(world: World) -> Iterator[str]:
    """Check that drained nodes exited and aborted no request."""
    yield from world.aborted_by_stop
    for name in world.drain_started_at:
        process = world.processes.get(name)
        if process is not None and process.core.drain.draining:
            yield f"{name} has not exited"


@check
def monotonic(world: World) -> Iterator[str]:
    """Check that the generation in force never decreases on any node."""
    for name, history in world.histories.items():
        generations = [generation for _, generation, _ in history]
        if generations != sorted(generations):
            yield f"{name}: {generations}"


@check
def in_force(world: World, generation: int, seconds: float) -> Iterator[str]:
    """Check that all nodes activated a generation within `seconds` of publication."""
    limit = world.published_at[generation] + seconds
    for name in world.processes:
        times = [at for at, number, _ in world.histories[name] if number >= generation]
        if not times or min(times) > limit:
            yield f"{name}: {times[:1]}"


@check
def conflict(world: World) -> Iterator[str]:
    nodes = world.simulation.nodes.values()
    if not any(node.reports["conflict"] for node in nodes):
        yield "no node reported two sets with the same generation"


@check
def calm(world: World, since: float) -> Iterator[str]:
    """Check that nearly all requests that began after `since` complete."""
    clients = [
        c for c in world.clients if since <= c.started_at < world.scenario.end - 1.0
    ]
    num_completed = sum(map(completed, clients))
    if num_completed < MIN_COMPLETE_SHARE * len(clients) or not clients:
        yield f"{num_completed} of {len(clients)} complete"


@check
def complete(world: World, percent: int, kind: str) -> Iterator[str]:
    clients = [client for client in world.clients if client.kind == kind]
    num_completed = sum(map(completed, clients))
    if num_completed * 100 < percent * len(clients):
        yield f"{num_completed} of {len(clients)} complete"


@check
def refused(world: World, minimum: int) -> Iterator[str]:
    """Check that capacity is exhausted; other expectations hold trivially if not."""
    num_refused = sum(
        answer.reason in CAPACITY_REASONS for _, _, answer in answers(world)
    )
    if num_refused < minimum:
        yield f"{num_refused} refused"

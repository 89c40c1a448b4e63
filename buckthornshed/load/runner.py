"""Load generator with open-loop arrivals and clients that time out and retry."""

import asyncio
import gc
import random
import time
import uuid
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from ..errors import SettingsError, UpstreamError
from ..protocol.http import OUTCOME_HEADER
from ..standins.asgi import Response
from ..standins.behaviour import Deployment
from ..standins.calls import DEADLINE_HEADER
from ..standins.http_client import ClientPool, UnreachableError, encode_request
from .plan import Plan, Traffic
from .records import Attempt, RequestRecord, Result
from .verify import expected_answer, find_answer_error

__all__ = ["LoadRunner", "TimedAction", "generate_key"]

MS = 1e-3
MAX_IN_FLIGHT = 20_000
MAX_REQUESTS = 500_000
PROGRESS_INTERVAL_S = 1.0
PROBLEM_JSON = b"application/problem+json"

REFUSED_STATUSES = frozenset({429, 503})


class TimedAction(NamedTuple):
    """A callback that the load generator runs at a given time of the run."""

    at_s: float
    label: str
    callback: Callable[[], Awaitable[None]]


def generate_key(rng: random.Random, *, wall_clock: Callable[[], float]) -> str:
    """Return a new UUID of version 7 (RFC 9562)."""
    timestamp_ms = int(wall_clock() * 1000)
    value = timestamp_ms << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | 0x7 << 76
    value = value & ~(0x3 << 62) | 0x2 << 62
    return str(uuid.UUID(int=value))


class LoadRunner:
    """Executes a plan against the entry addresses of services.

    Parameters
    ----------
    plan : Plan
        Arrival rate, request types, phases and behaviour of the clients.
    entry_addresses : dict
        Addresses that clients may call, by service.
    deployment : Deployment or None
        Behaviour of the targets, from which the expected answers are derived; None
        checks only the request ids in answers.
    actions : tuple of TimedAction
        Callbacks to run at given times.
    name : str
        Prefix of all request ids.
    report : callable
        Receives a line of progress each second.
    """

    def __init__(
        self,
        *,
        plan: Plan,
        entry_addresses: dict[str, tuple[str, ...]],
        deployment: Deployment | None = None,
        actions: tuple[TimedAction, ...] = (),
        name: str = "r",
        report: Callable[[str], None] = lambda line: None,
    ) -> None:
        self.plan = plan
        self.entry_addresses = entry_addresses
        self.actions = actions
        self.name = name
        self.report = report
        self.rng = random.Random(plan.seed)
        self.pool = ClientPool()
        self.records: list[RequestRecord] = []
        self.in_flight = 0
        self.unsent = 0
        self.results: Counter[Result] = Counter()
        self.started_at = 0.0
        self.expected = [
            expected_answer(deployment, kind.service, kind.method, kind.path)
            if deployment
            else None
            for kind in plan.traffic
        ]

    def elapsed(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    async def run(self) -> list[RequestRecord]:
        """Run the plan and return the records of all requests.

        Raises
        ------
        SettingsError
            If a request type has no entry address.
        """
        for kind in self.plan.traffic:
            if not self.entry_addresses.get(kind.service):
                raise SettingsError(
                    subject=kind.service,
                    found="no entry address",
                    expected="at least one address",
                )
        # Garbage collection pauses would count as latency of the system under test.
        gc.disable()
        try:
            await self.run_plan()
        finally:
            gc.enable()
        self.pool.close()
        return self.records

    async def run_plan(self) -> None:
        """Generate arrivals, run timed actions and report progress."""
        self.started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            progress = group.create_task(self.report_progress())
            for action in self.actions:
                group.create_task(self.run_action(action))
            await self.generate_arrivals()
            progress.cancel()

    async def run_action(self, action: TimedAction) -> None:
        """Run one timed action when it is due."""
        await asyncio.sleep(action.at_s - self.elapsed())
        self.report(f"t={self.elapsed():5.1f} s  {action.label}")
        await action.callback()

    async def generate_arrivals(self) -> None:
        """Start each request at its arrival time and wait until all have ended.

        Each request has its own random number generator, so that the arrivals and
        request types of a seed do not depend on the answers.
        """
        due = 0.0
        count = 0
        duration = self.plan.duration_s()
        weights = [kind.weight for kind in self.plan.traffic]
        kinds = range(len(weights))
        async with asyncio.TaskGroup() as group:
            while count < MAX_REQUESTS:
                factor = max(self.plan.phase_at(due).factor, 1e-6)
                due += self.rng.expovariate(self.plan.rate * factor)
                kind = self.rng.choices(kinds, weights)[0]
                seed = self.rng.getrandbits(64)
                if due >= duration:
                    break
                delay = due - self.elapsed()
                if delay > 0.0:
                    await asyncio.sleep(delay)
                count += 1
                if self.in_flight >= MAX_IN_FLIGHT:
                    self.unsent += 1
                    continue
                request = self.run_request(count, kind, due, random.Random(seed))
                group.create_task(request)

    async def run_request(
        self, request_number: int, traffic_index: int, due: float, rng: random.Random
    ) -> None:
        """Send one request with its retries and record its attempts."""
        self.in_flight += 1
        traffic = self.plan.traffic[traffic_index]
        behaviour = self.plan.client
        request_id = f"{self.name}{request_number}"
        key = generate_key(rng, wall_clock=time.time) if traffic.keyed else ""
        addresses = self.entry_addresses[traffic.service]
        first_index = rng.randrange(len(addresses))
        attempts: list[Attempt] = []
        pause_s = 0.0
        for attempt_number in range(behaviour.retries + 1):
            if pause_s:
                await asyncio.sleep(pause_s)
            address = addresses[(first_index + attempt_number) % len(addresses)]
            attempt_id = f"{request_id}.{attempt_number}"
            attempt, retry_after = await self.send_attempt(
                traffic_index, address, attempt_id, key
            )
            attempts.append(attempt)
            self.results[attempt.result] += 1
            if attempt.result is Result.SUCCEEDED:
                break
            pause_s = rng.uniform(0.5, 1.5) * behaviour.pause_ms * MS
            if behaviour.honour_retry_after:
                pause_s = max(pause_s, retry_after)
        record = RequestRecord(request_id, traffic_index, key, due, tuple(attempts))
        self.records.append(record)
        self.in_flight -= 1

    async def send_attempt(
        self, traffic_index: int, address: str, attempt_id: str, key: str
    ) -> tuple[Attempt, float]:
        """Send one attempt; return its record and the Retry-After time in seconds."""
        traffic = self.plan.traffic[traffic_index]
        request = build_request(traffic, attempt_id, key)
        timeout_s = self.plan.client.timeout_ms * MS
        start = self.elapsed()
        try:
            response = await self.pool.request(address, request, timeout_s=timeout_s)
        except UpstreamError as error:
            end = self.elapsed()
            result = Result.TIMEOUT if end - start >= timeout_s else Result.LOST
            if isinstance(error, UnreachableError):
                result = Result.UNREACHABLE
            failed = Attempt(
                attempt_id, address, start, end, result, 0, "", "", str(error)
            )
            return failed, 0.0
        end = self.elapsed()
        result, outcome, reason, detail = self.classify(
            traffic_index, attempt_id, response
        )
        status = response.status
        attempt = Attempt(
            attempt_id, address, start, end, result, status, outcome, reason, detail
        )
        return attempt, retry_after_s(response)

    def classify(
        self, traffic_index: int, attempt_id: str, response: Response
    ) -> tuple[Result, str, str, str]:
        """Return the result, outcome, reason and detail of an answer."""
        if response.status == 200:
            accepted_ids = [attempt_id]
            if self.plan.traffic[traffic_index].keyed:
                accepted_ids = attempt_ids_until(attempt_id)
            error = find_answer_error(
                response.body, accepted_ids, self.expected[traffic_index]
            )
            result = Result.SUCCEEDED if error is None else Result.WRONG
            return result, "", "", error or ""
        problem = read_problem(response)
        header_outcome = (
            dict(response.headers).get(OUTCOME_HEADER, b"").decode("latin-1")
        )
        outcome = str(problem.get("outcome", header_outcome))
        reason = str(problem.get("type", "")).rpartition(":")[2]
        refused = outcome == "not_run" or (
            not outcome and response.status in REFUSED_STATUSES
        )
        result = Result.REFUSED if refused else Result.FAILED
        return result, outcome, reason, str(problem.get("title", ""))

    async def report_progress(self) -> None:
        """Report the results of each second as a line."""
        previous: Counter[Result] = Counter()
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            current = Counter(self.results)
            rates = "  ".join(
                f"{result}={current[result] - previous[result]:4d}" for result in Result
            )
            phase = self.plan.phase_at(self.elapsed()).name
            self.report(
                f"t={self.elapsed():5.1f} s  {phase:8s} {rates}  "
                f"in flight={self.in_flight}"
            )
            previous = current


def attempt_ids_until(attempt_id: str) -> list[str]:
    """Return the ids of an attempt and of the earlier attempts of its request."""
    request_id, _, number = attempt_id.rpartition(".")
    return [f"{request_id}.{index}" for index in range(int(number) + 1)]


def build_request(traffic: Traffic, attempt_id: str, key: str) -> bytes:
    """Return the encoded HTTP request of one attempt."""
    headers = [(b"x-request-id", attempt_id.encode())]
    if key:
        headers.append((b"idempotency-key", key.encode()))
    if traffic.deadline_ms:
        headers.append((DEADLINE_HEADER, b"%d" % traffic.deadline_ms))
    return encode_request(
        method=traffic.method,
        path=traffic.path,
        host=traffic.service,
        headers=headers,
        body=traffic.body.encode(),
    )


def read_problem(response: Response) -> dict[str, Any]:
    """Return the problem details of an answer, empty if there are none."""
    if (b"content-type", PROBLEM_JSON) not in response.headers:
        return {}
    try:
        return msgspec.json.decode(response.body, type=dict[str, Any])
    except msgspec.DecodeError:
        return {}


def retry_after_s(response: Response) -> float:
    """Return the Retry-After header of an answer in seconds, 0 if there is none."""
    for name, value in response.headers:
        if name == b"retry-after" and value.isdigit():
            return float(value)
    return 0.0

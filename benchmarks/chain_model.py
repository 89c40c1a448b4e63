"""Chain of three simulated targets in virtual time, for the admission benchmark.

Each hop is one target with a number of slots. A call holds its slot while its
downstream call runs. Clients time out at a deadline and retry.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

DEADLINE_S = 1.0
HOP_LATENCY_S = 0.001
CLIENT_LATENCY_S = 0.003
DEFAULT_RETRY_DELAY_S = 0.1
IMPATIENT_FRACTION = 0.3
MAX_IMPATIENT_ATTEMPTS = 10
MAX_PATIENT_ATTEMPTS = 3


class HopParameters(NamedTuple):
    """Slots of a target and its mean service time in seconds, without other hops."""

    slots: int
    service_time: float


HOP_PARAMETERS = (
    HopParameters(70, 0.004),
    HopParameters(70, 0.004),
    HopParameters(15, 0.030),
)
BOTTLENECK_CAPACITY = HOP_PARAMETERS[-1].slots / HOP_PARAMETERS[-1].service_time
BASELINE_LOAD = 0.7 * BOTTLENECK_CAPACITY
PRIORITY_MIX = {0: 0.10, 4: 0.30, 8: 0.60}
PRIORITY_NAMES = {0: "bookings", 4: "price checks", 8: "browsing"}


class Clock:
    """Virtual clock that runs scheduled events in order of time."""

    def __init__(self) -> None:
        self.now = 0.0
        self.pending: list[tuple[float, int, Callable[[], None]]] = []
        self.num_scheduled = 0

    def call_later(self, delay: float, event: Callable[[], None]) -> None:
        """Schedule ``event`` in ``delay`` seconds."""
        self.num_scheduled += 1
        heappush(self.pending, (self.now + delay, self.num_scheduled, event))

    def run(self, until: float) -> None:
        """Run the events that are scheduled up to the time ``until``."""
        while self.pending and self.pending[0][0] <= until:
            self.now, _, event = heappop(self.pending)
            event()


class Attempt:
    """One attempt of a client request."""

    __slots__ = (
        "arrived",
        "deadline",
        "done",
        "impatient",
        "number",
        "priority",
        "request_id",
        "work_s",
    )

    def __init__(
        self,
        *,
        request_id: bytes,
        priority: int,
        now: float,
        number: int,
        impatient: bool,
    ):
        self.request_id = request_id
        self.priority = priority
        self.arrived = now
        self.deadline = now + DEADLINE_S
        self.number = number
        self.impatient = impatient
        self.work_s = 0.0
        self.done = False


class Result(NamedTuple):
    """Answer of a hop: success, Retry-After in seconds, advertised threshold."""

    ok: bool
    retry_after: float | None = None
    threshold: int = 0


Reply = Callable[[Result], None]


class Hop:
    """Base class of the hops: slots, work of the target and downstream call."""

    cancels = False
    retries = 0

    def __init__(
        self, *, clock: Clock, rng: Random, index: int, downstream: "Hop | None"
    ):
        self.clock = clock
        self.rng = rng
        self.index = index
        self.downstream = downstream
        self.parameters = HOP_PARAMETERS[index]
        self.running = 0
        self.slowdown = 1.0
        self.work_samples: list[tuple[float, float]] = []

    def receive(self, attempt: Attempt, reply: Reply) -> None:
        """Handle an incoming call."""
        raise NotImplementedError

    def start_next(self) -> None:
        """Start queued calls while slots are free."""
        raise NotImplementedError

    def record_finish(self, seconds: float) -> None:
        """Record that a call held a slot for ``seconds``."""

    def record_response(self, result: Result) -> None:
        """Record the threshold in an answer from the next hop."""

    def run_call(self, attempt: Attempt, reply: Reply) -> None:
        """Run a call at the target, then its downstream call if there is a next hop."""
        self.running += 1
        started_at = self.clock.now
        variation = self.rng.expovariate(1.0) if self.downstream is None else 1.0
        work_s = self.parameters.service_time * self.slowdown * variation

        def finish(result: Result) -> None:
            self.running -= 1
            self.record_finish(self.clock.now - started_at)
            reply(result)
            self.start_next()

        def finish_work() -> None:
            attempt.work_s += work_s
            self.work_samples.append((self.clock.now, work_s))
            if self.downstream is None:
                finish(Result(True))
            else:
                self.call_downstream(attempt, finish, self.retries)

        self.clock.call_later(work_s, finish_work)

    def capacity(self, begin: float, end: float) -> float:
        """Return the calls per second that the slots can serve.

        The mean is over the calls whose work ended between ``begin`` and ``end``.
        """
        samples = [work_s for at, work_s in self.work_samples if begin <= at < end]
        return self.parameters.slots * len(samples) / sum(samples)

    def call_downstream(self, attempt: Attempt, reply: Reply, retries: int) -> None:
        """Send the call to the next hop; retry a failure that has no Retry-After."""
        downstream = self.downstream
        assert downstream is not None

        def handle_answer(result: Result) -> None:
            self.record_response(result)
            if result.ok or retries == 0 or result.retry_after is not None:
                reply(result)
            else:
                self.call_downstream(attempt, reply, retries - 1)

        def deliver_result(result: Result) -> None:
            self.clock.call_later(HOP_LATENCY_S, lambda: handle_answer(result))

        self.clock.call_later(
            HOP_LATENCY_S, lambda: downstream.receive(attempt, deliver_result)
        )


class RequestLog:
    """Requests offered and completed by priority, and the end of each attempt."""

    def __init__(self) -> None:
        self.offered: dict[int, list[float]] = {
            priority: [] for priority in PRIORITY_MIX
        }
        self.completed: dict[int, list[float]] = {
            priority: [] for priority in PRIORITY_MIX
        }
        self.finished_attempts: list[tuple[float, bool, bool]] = []
        self.useful_work_s = 0.0
        self.latencies: list[tuple[float, float]] = []

    def record_end(self, now: float, attempt: Attempt, ok: bool) -> None:
        """Record the end of an attempt."""
        self.finished_attempts.append((attempt.arrived, ok, attempt.number == 0))
        if ok:
            self.completed[attempt.priority].append(now)
            self.latencies.append((attempt.arrived, now - attempt.arrived))


class Clients:
    """Clients that send requests at a rate, time out at a deadline and retry.

    Patient clients wait for the Retry-After of a refusal. Impatient clients ignore it
    and make more attempts.
    """

    def __init__(self, *, clock: Clock, rng: Random, entry: Hop) -> None:
        self.clock = clock
        self.rng = rng
        self.entry = entry
        self.log = RequestLog()
        self.attempts: list[Attempt] = []
        self.load_factor = 1.0

    def generate_requests(self) -> None:
        """Send a new request and schedule the next one."""
        priority = self.rng.choices(
            list(PRIORITY_MIX), weights=list(PRIORITY_MIX.values())
        )[0]
        self.log.offered[priority].append(self.clock.now)
        self.send(
            priority, 0, self.rng.random() < IMPATIENT_FRACTION, self.rng.randbytes(16)
        )
        interval = self.rng.expovariate(BASELINE_LOAD * self.load_factor)
        self.clock.call_later(interval, self.generate_requests)

    def send(
        self, priority: int, number: int, impatient: bool, request_id: bytes
    ) -> None:
        """Send one attempt and schedule its timeout."""
        attempt = Attempt(
            request_id=request_id,
            priority=priority,
            now=self.clock.now,
            number=number,
            impatient=impatient,
        )
        self.attempts.append(attempt)

        def finish_attempt(result: Result) -> None:
            if not attempt.done:
                attempt.done = True
                self.handle_result(attempt, result)

        def deliver_result(result: Result) -> None:
            self.clock.call_later(CLIENT_LATENCY_S, lambda: finish_attempt(result))

        entry = self.entry
        self.clock.call_later(
            CLIENT_LATENCY_S, lambda: entry.receive(attempt, deliver_result)
        )
        self.clock.call_later(DEADLINE_S, lambda: finish_attempt(Result(False)))

    def handle_result(self, attempt: Attempt, result: Result) -> None:
        """Record the end of an attempt and schedule a retry if it failed."""
        self.log.record_end(self.clock.now, attempt, result.ok)
        limit = MAX_IMPATIENT_ATTEMPTS if attempt.impatient else MAX_PATIENT_ATTEMPTS
        number = attempt.number + 1
        if result.ok or number >= limit:
            return
        default_delay = DEFAULT_RETRY_DELAY_S * (0.5 + self.rng.random())
        delay = (
            default_delay
            if attempt.impatient
            else (result.retry_after or default_delay)
        )
        request_id = self.rng.randbytes(16)
        self.clock.call_later(
            delay,
            lambda: self.send(attempt.priority, number, attempt.impatient, request_id),
        )

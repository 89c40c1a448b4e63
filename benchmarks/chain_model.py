"""A chain of three targets in virtual time, for the admission benchmark.

Each hop is one fake target with a number of slots. A call holds its slot while
the call below runs. Clients give up at a deadline and try again.
"""

from collections.abc import Callable
from heapq import heappop, heappush
from random import Random
from typing import NamedTuple

DEADLINE_S = 1.0
HOP_LATENCY_S = 0.001
CLIENT_LATENCY_S = 0.003
HARD_RETRY_S = 0.1
HARD_SHARE = 0.3
HARD_ATTEMPTS = 10
PATIENT_ATTEMPTS = 3


class HopShape(NamedTuple):
    """One fake target: its slots and its mean own service time in seconds."""

    slots: int
    service_time: float


SHAPES = (HopShape(70, 0.004), HopShape(70, 0.004), HopShape(15, 0.030))
CAPACITY = SHAPES[-1].slots / SHAPES[-1].service_time
CALM_LOAD = 0.7 * CAPACITY
MIX = {0: 0.10, 4: 0.30, 8: 0.60}
NAMES = {0: "bookings", 4: "price checks", 8: "browsing"}


class Clock:
    """The virtual time and its pending events."""

    def __init__(self) -> None:
        self.now = 0.0
        self.pending: list[tuple[float, int, Callable[[], None]]] = []
        self.scheduled = 0

    def after(self, delay: float, event: Callable[[], None]) -> None:
        """Schedule ``event`` in ``delay`` seconds."""
        self.scheduled += 1
        heappush(self.pending, (self.now + delay, self.scheduled, event))

    def run(self, until: float) -> None:
        """Run the events up to the time ``until``."""
        while self.pending and self.pending[0][0] <= until:
            self.now, _, event = heappop(self.pending)
            event()


class Attempt:
    """One attempt of a client request."""

    __slots__ = ("arrived", "deadline", "done", "hard", "number", "rank", "rid", "work")

    def __init__(self, *, rid: bytes, rank: int, now: float, number: int, hard: bool):
        self.rid = rid
        self.rank = rank
        self.arrived = now
        self.deadline = now + DEADLINE_S
        self.number = number
        self.hard = hard
        self.work = 0.0
        self.done = False


class Result(NamedTuple):
    """Answer of a hop: whether it succeeded, when to return, what it signals."""

    ok: bool
    retry_after: float | None = None
    threshold: int = 0


Reply = Callable[[Result], None]


class Hop:
    """Base of the nodes: slots, the target's work and the call below."""

    cancels = False
    retries = 0

    def __init__(self, *, clock: Clock, rng: Random, index: int, below: "Hop | None"):
        self.clock = clock
        self.rng = rng
        self.index = index
        self.below = below
        self.shape = SHAPES[index]
        self.running = 0
        self.slowness = 1.0
        self.works: list[tuple[float, float]] = []

    def receive(self, attempt: Attempt, reply: Reply) -> None:
        """Take a call."""
        raise NotImplementedError

    def start_next(self) -> None:
        """Start waiting calls while slots are free."""
        raise NotImplementedError

    def finished(self, seconds: float) -> None:
        """Note that the target held a slot for ``seconds``."""

    def learn(self, result: Result) -> None:
        """Note the signal of an answer from below."""

    def run_call(self, attempt: Attempt, reply: Reply) -> None:
        """Run a call at the target."""
        self.running += 1
        began = self.clock.now
        spread = self.rng.expovariate(1.0) if self.below is None else 1.0
        work = self.shape.service_time * self.slowness * spread

        def end(result: Result) -> None:
            self.running -= 1
            self.finished(self.clock.now - began)
            reply(result)
            self.start_next()

        def worked() -> None:
            attempt.work += work
            self.works.append((self.clock.now, work))
            if self.below is None:
                end(Result(True))
            else:
                self.call_below(attempt, end, self.retries)

        self.clock.after(work, worked)

    def capacity(self, begin: float, end: float) -> float:
        """Return the calls a second that the slots carry at the times drawn."""
        drawn = [work for at, work in self.works if begin <= at < end]
        return self.shape.slots * len(drawn) / sum(drawn)

    def call_below(self, attempt: Attempt, end: Reply, retries: int) -> None:
        """Send the call to the next hop."""
        below = self.below
        assert below is not None

        def answered(result: Result) -> None:
            self.learn(result)
            if result.ok or retries == 0 or result.retry_after is not None:
                end(result)
            else:
                self.call_below(attempt, end, retries - 1)

        def back(result: Result) -> None:
            self.clock.after(HOP_LATENCY_S, lambda: answered(result))

        self.clock.after(HOP_LATENCY_S, lambda: below.receive(attempt, back))


class Ledger:
    """Outcomes by rank and time of arrival, and the work that was done."""

    def __init__(self) -> None:
        self.offered: dict[int, list[float]] = {rank: [] for rank in MIX}
        self.completed: dict[int, list[float]] = {rank: [] for rank in MIX}
        self.ended: list[tuple[float, bool, bool]] = []
        self.useful = 0.0
        self.latencies: list[tuple[float, float]] = []

    def end(self, now: float, attempt: Attempt, ok: bool) -> None:
        """Note the end of an attempt."""
        self.ended.append((attempt.arrived, ok, attempt.number == 0))
        if ok:
            self.completed[attempt.rank].append(now)
            self.latencies.append((attempt.arrived, now - attempt.arrived))


class Clients:
    """Clients that arrive at a rate, give up at a deadline and try again."""

    def __init__(self, *, clock: Clock, rng: Random, entry: Hop) -> None:
        self.clock = clock
        self.rng = rng
        self.entry = entry
        self.ledger = Ledger()
        self.attempts: list[Attempt] = []
        self.factor = 1.0

    def arrive(self) -> None:
        """Send a new request and schedule the next."""
        rank = self.rng.choices(list(MIX), weights=list(MIX.values()))[0]
        self.ledger.offered[rank].append(self.clock.now)
        self.send(rank, 0, self.rng.random() < HARD_SHARE, self.rng.randbytes(16))
        gap = self.rng.expovariate(CALM_LOAD * self.factor)
        self.clock.after(gap, self.arrive)

    def send(self, rank: int, number: int, hard: bool, rid: bytes) -> None:
        """Send one attempt."""
        attempt = Attempt(
            rid=rid, rank=rank, now=self.clock.now, number=number, hard=hard
        )
        self.attempts.append(attempt)

        def answered(result: Result) -> None:
            if not attempt.done:
                attempt.done = True
                self.settle(attempt, result)

        def back(result: Result) -> None:
            self.clock.after(CLIENT_LATENCY_S, lambda: answered(result))

        entry = self.entry
        self.clock.after(CLIENT_LATENCY_S, lambda: entry.receive(attempt, back))
        self.clock.after(DEADLINE_S, lambda: answered(Result(False)))

    def settle(self, attempt: Attempt, result: Result) -> None:
        """Note an answer and try again if it failed."""
        self.ledger.end(self.clock.now, attempt, result.ok)
        limit = HARD_ATTEMPTS if attempt.hard else PATIENT_ATTEMPTS
        number = attempt.number + 1
        if result.ok or number >= limit:
            return
        hard_wait = HARD_RETRY_S * (0.5 + self.rng.random())
        wait = hard_wait if attempt.hard else (result.retry_after or hard_wait)
        rid = self.rng.randbytes(16)
        self.clock.after(
            wait, lambda: self.send(attempt.rank, number, attempt.hard, rid)
        )

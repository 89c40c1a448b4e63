"""Admission control under overload, compared with baseline policies in virtual time.

Run with ``python -m benchmarks.admission``. The last of three hops is the bottleneck;
the load is 0.7 of its capacity. For ten seconds a trigger multiplies the load or the
service time of the bottleneck.
"""

from argparse import ArgumentParser
from collections import deque
from random import Random
from typing import NamedTuple

from tabulate import tabulate

from buckthornshed.coordination.entry.admission import (
    AdmissionController,
    admission_level,
)
from buckthornshed.coordination.entry.call_queue import CallQueue, QueuedCall
from buckthornshed.coordination.entry.route_thresholds import RouteThresholds
from buckthornshed.coordination.entry.thresholds import DownstreamThresholds
from buckthornshed.protocol.messages import CallContext

from .chain_model import (
    PRIORITY_MIX,
    Attempt,
    Clients,
    Clock,
    Hop,
    Reply,
    Result,
)

__all__ = ["main"]

WARM_UP_S = 5.0
SURGE_S = 10.0
POST_SURGE_S = 15.0
SURGE_SETTLING_S = 1.0
BIN_S = 0.25
WINDOW_BINS = 4
LATE_FAILURE_DELAY_S = 2.0
RECOVERED_SUCCESS_RATE = 0.99
QUEUE_FACTOR = 4
POLICY = {
    "queue_delay_ms": 50,
    "queue": 60,
    "retry_after_min_s": 1,
    "retry_after_max_s": 300,
}
TICK_S = 0.05


class NoControl(Hop):
    """Unbounded FIFO queue; expired calls run as well."""

    def __init__(self, **arguments) -> None:
        super().__init__(**arguments)
        self.queue: deque[tuple[float, Attempt, Reply]] = deque()

    def receive(self, attempt: Attempt, reply: Reply) -> None:
        self.queue.append((self.clock.now, attempt, reply))
        self.start_next()

    def start_next(self) -> None:
        while self.queue and self.running < self.parameters.slots:
            _, attempt, reply = self.queue.popleft()
            self.run_call(attempt, reply)


class PerHopRetries(NoControl):
    """No admission control, and each hop retries calls."""

    retries = 2

    def call_downstream(self, attempt: Attempt, reply: Reply, retries: int) -> None:
        """Retry a call that has no answer after a third of the deadline."""
        if retries == 0:
            super().call_downstream(attempt, reply, 0)
            return
        pending = {"open": True}

        def finish_once(result: Result) -> None:
            if pending["open"]:
                pending["open"] = False
                reply(result)

        def retry() -> None:
            if pending["open"]:
                self.call_downstream(attempt, finish_once, retries - 1)

        super().call_downstream(attempt, finish_once, 0)
        self.clock.call_later(0.33, retry)


class FixedLimit(NoControl):
    """Fixed limits on running and on queued calls; further calls are refused."""

    def receive(self, attempt: Attempt, reply: Reply) -> None:
        if len(self.queue) >= self.parameters.slots:
            reply(Result(False))
            return
        super().receive(attempt, reply)


class CoDel(NoControl):
    """FIFO queue whose head is dropped while the delay stays above a target."""

    target = 0.005
    interval = 0.100

    def __init__(self, **arguments) -> None:
        super().__init__(**arguments)
        self.target_exceeded_at: float | None = None
        self.dropping = False
        self.next_drop_at = 0.0
        self.count = 0

    def start_next(self) -> None:
        while self.queue and self.running < self.parameters.slots:
            arrived, attempt, reply = self.queue.popleft()
            if self.should_drop(self.clock.now - arrived):
                reply(Result(False))
            else:
                self.run_call(attempt, reply)

    def should_drop(self, delay: float) -> bool:
        now = self.clock.now
        if delay < self.target or not self.queue:
            self.target_exceeded_at = None
            self.dropping = False
            return False
        if self.target_exceeded_at is None:
            self.target_exceeded_at = now + self.interval
        if not self.dropping:
            if now < self.target_exceeded_at:
                return False
            self.dropping = True
            self.count = max(1, self.count - 2)
            self.next_drop_at = now
        if now < self.next_drop_at:
            return False
        self.count += 1
        self.next_drop_at += self.interval / self.count**0.5
        return True


class ThresholdAdmission(Hop):
    """Admission control of this project: threshold, queue by level, deadlines."""

    def __init__(self, **arguments) -> None:
        super().__init__(**arguments)
        self.controller = AdmissionController(
            policy=POLICY, slots=self.parameters.slots
        )
        self.queue: CallQueue = CallQueue(limit=POLICY["queue"])
        self.downstream_thresholds = DownstreamThresholds(entries=16)
        self.route_thresholds = RouteThresholds(
            downstream=self.downstream_thresholds, entries=1
        )
        self.last_exchange = 0
        self.tick()

    def tick(self) -> None:
        self.controller.tick(self.clock.now, len(self.queue))
        self.clock.call_later(TICK_S, self.tick)

    def advertised_threshold(self) -> int:
        local_threshold = self.controller.threshold
        return self.route_thresholds.advertised_threshold(
            self.clock.now, "route", local_threshold
        )

    def record_finish(self, seconds: float) -> None:
        self.controller.record_finish(self.clock.now, seconds)
        downstream_routes = set() if self.downstream is None else {"downstream"}
        self.route_thresholds.record_call(self.clock.now, "route", downstream_routes)

    def record_response(self, result: Result) -> None:
        self.downstream_thresholds.record(
            self.clock.now, "downstream", "one", result.threshold
        )

    def refuse(self, attempt: Attempt, reply: Reply) -> None:
        retry_after = self.controller.retry_after(
            self.clock.now, attempt.priority, self.rng
        )
        reply(Result(False, retry_after, self.advertised_threshold()))

    def receive(self, attempt: Attempt, reply: Reply) -> None:
        now = self.clock.now
        self.last_exchange += 1
        context = CallContext(
            attempt.request_id,
            self.last_exchange,
            attempt.priority,
            attempt.deadline,
            0,
            self.index,
            None,
            "",
        )
        level = admission_level(attempt.priority, attempt.request_id)
        reason = self.controller.decide(now, context, len(self.queue), self.running)
        downstream_threshold = self.downstream_thresholds.route_threshold(
            now, "downstream"
        )
        if reason is not None or (self.index == 0 and level < downstream_threshold):
            self.refuse(attempt, reply)
            return
        call = QueuedCall(
            self.last_exchange, level, attempt.deadline, now, (attempt, reply)
        )
        evicted = self.queue.offer(call)
        if evicted is not None:
            self.refuse(*evicted.item)
        self.start_next()

    def start_next(self) -> None:
        while len(self.queue) and self.running < self.parameters.slots:
            now = self.clock.now
            dequeued = self.queue.take(now)
            for dropped in dequeued.expired:
                self.refuse(*dropped.item)
            if dequeued.call is None:
                return
            self.controller.record_start(now, now - dequeued.call.arrived)
            attempt, reply = dequeued.call.item
            self.run_call(attempt, self.attach_threshold(reply))

    def attach_threshold(self, reply: Reply) -> Reply:
        def answer(result: Result) -> None:
            reply(result._replace(threshold=self.advertised_threshold()))

        return answer


class LocalThresholdAdmission(ThresholdAdmission):
    """Threshold admission in which a hop advertises only its own threshold."""

    def advertised_threshold(self) -> int:
        return self.controller.threshold


POLICIES = {
    "no control": NoControl,
    "per-hop retries": PerHopRetries,
    "fixed limit": FixedLimit,
    "CoDel": CoDel,
    "own threshold": LocalThresholdAdmission,
    "threshold": ThresholdAdmission,
}


class Trigger(NamedTuple):
    """Factors on the load and on the service time of the bottleneck."""

    load: float
    slowdown: float


TRIGGERS = {
    "surge 2x": Trigger(2.0, 1.0),
    "surge 4x": Trigger(4.0, 1.0),
    "surge 10x": Trigger(10.0, 1.0),
    "slow 5x": Trigger(1.0, 5.0),
}


class Row(NamedTuple):
    """Results of one run; goodput as a fraction of what was attainable."""

    policy: str
    trigger: str
    goodput: float
    bookings: float
    price_checks: float
    browsing: float
    wasted: float
    recovery_s: float | None
    failed_later: float
    median_ms: float


def run_scenario(name: str, trigger: str, seed: int) -> Row:
    clock, rng = Clock(), Random(seed)
    bottleneck = hop = POLICIES[name](clock=clock, rng=rng, index=2, downstream=None)
    for index in (1, 0):
        hop = POLICIES[name](clock=clock, rng=rng, index=index, downstream=hop)
    clients = Clients(clock=clock, rng=rng, entry=hop)
    clients.generate_requests()
    clock.run(WARM_UP_S)
    clients.load_factor = TRIGGERS[trigger].load
    bottleneck.slowdown = TRIGGERS[trigger].slowdown
    clock.run(WARM_UP_S + SURGE_S)
    clients.load_factor = bottleneck.slowdown = 1.0
    clock.run(WARM_UP_S + SURGE_S + POST_SURGE_S)
    return measure(name, trigger, clients, bottleneck)


def measure(name: str, trigger: str, clients: Clients, bottleneck: Hop) -> Row:
    begin, end = WARM_UP_S + SURGE_SETTLING_S, WARM_UP_S + SURGE_S
    goodput_fractions = {}
    spare_capacity = bottleneck.capacity(begin, end)
    total_goodput = total_attainable = 0.0
    for priority in PRIORITY_MIX:
        offered = clients.log.offered[priority]
        rate = sum(begin <= at < end for at in offered) / (end - begin)
        attainable = min(spare_capacity, rate)
        spare_capacity -= attainable
        completed = clients.log.completed[priority]
        goodput = sum(begin <= at < end for at in completed) / (end - begin)
        goodput_fractions[priority] = (
            min(goodput, attainable) / attainable if attainable else float("nan")
        )
        total_goodput += goodput
        total_attainable += attainable
    total_work_s = sum(attempt.work_s for attempt in clients.attempts)
    useful_work_s = measure_useful_work(clients)
    latencies = sorted(
        seconds for at, seconds in clients.log.latencies if begin <= at < end
    )
    return Row(
        name,
        trigger,
        total_goodput / total_attainable,
        goodput_fractions[0],
        goodput_fractions[4],
        goodput_fractions[8],
        (total_work_s - useful_work_s) / total_work_s,
        *measure_recovery(clients, end),
        1000 * latencies[len(latencies) // 2] if latencies else float("nan"),
    )


def measure_useful_work(clients: Clients) -> float:
    """Return the work in seconds that was spent on successful attempts."""
    succeeded = {(at, True) for at, ok, _ in clients.log.finished_attempts if ok}
    return sum(
        attempt.work_s
        for attempt in clients.attempts
        if (attempt.arrived, True) in succeeded
    )


def measure_recovery(clients: Clients, end: float) -> tuple[float | None, float]:
    """Return the seconds to recovery, and the fraction of late failures.

    Recovery is the start of the first one-second window after the trigger in which 99%
    of first attempts succeed. Late failures are failed first attempts that arrive two
    seconds or more after the end of the trigger.
    """
    bins = int((POST_SURGE_S - 2.0) / BIN_S)
    total, good = [0] * bins, [0] * bins
    for arrived, ok, first in clients.log.finished_attempts:
        index = int((arrived - end) / BIN_S)
        if first and arrived >= end and index < bins:
            total[index] += 1
            good[index] += ok
    windows = range(bins - WINDOW_BINS + 1)
    recovered_window = next(
        (window for window in windows if has_recovered(total, good, window)), None
    )
    late = int(LATE_FAILURE_DELAY_S / BIN_S)
    failed = 1.0 - sum(good[late:]) / sum(total[late:])
    return None if recovered_window is None else recovered_window * BIN_S, failed


def has_recovered(total: list[int], good: list[int], first: int) -> bool:
    """Return whether enough attempts succeed in the window from bin ``first`` on."""
    last = first + WINDOW_BINS
    return sum(good[first:last]) >= RECOVERED_SUCCESS_RATE * sum(total[first:last])


def main() -> None:
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--triggers", nargs="*", default=list(TRIGGERS))
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    options = parser.parse_args()
    rows = [
        run_scenario(name, trigger, options.seed)
        for trigger in options.triggers
        for name in options.policies
    ]
    print(tabulate(rows, headers=Row._fields, floatfmt=".3f", missingval="never"))


if __name__ == "__main__":
    main()

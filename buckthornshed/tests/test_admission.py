"""Tests of admission: order of refusal, calm, pauses and return times."""

from random import Random

import pytest

from buckthornshed.coordination.entry.admission import AdmissionController, level
from buckthornshed.coordination.entry.call_queue import CallQueue, QueuedCall
from buckthornshed.coordination.entry.path_thresholds import PathThresholds
from buckthornshed.coordination.entry.thresholds import (
    BUCKETS,
    LEVELS,
    RANKS,
    DownstreamThresholds,
)
from buckthornshed.protocol.messages import NO_SIGNAL, CallContext
from buckthornshed.protocol.outcome import Reason
from buckthornshed.state.objects import Admission

BOOKING, BROWSING = 0, 8
SERVICE_S = 0.05
SLOTS = 4
POLICY = Admission(
    queue_delay_ms=50, queue=16, retry_after_min_s=1, retry_after_max_s=60
)


def context(rng: Random, priority: int, now: float) -> CallContext:
    return CallContext(
        rng.randbytes(16), rng.getrandbits(63), priority, now + 1.0, 0, 0, None, ""
    )


class Target:
    """One target with slots; ``ordered`` is the mechanism under test."""

    def __init__(self, *, ordered: bool) -> None:
        self.ordered = ordered
        self.control = AdmissionController(policy=POLICY, slots=SLOTS)
        self.queue: CallQueue[int] = CallQueue(limit=POLICY["queue"])
        self.ends: list[float] = []
        self.offered = {BOOKING: 0, BROWSING: 0}
        self.done = {BOOKING: 0, BROWSING: 0}

    def arrive(self, now: float, call: CallContext) -> None:
        self.offered[call.priority] += 1
        self.free(now)
        waiting, running = len(self.queue), len(self.ends)
        refused = self.control.decide(now, call, waiting, running)
        if self.ordered and refused is not None:
            return
        importance = level(call.priority, call.request_id) if self.ordered else 0
        queued = QueuedCall(
            call.exchange, importance, call.deadline, now, call.priority
        )
        self.queue.offer(queued)
        self.start(now)

    def free(self, now: float) -> None:
        for end in [end for end in self.ends if end <= now]:
            self.ends.remove(end)
            self.control.finished(end, SERVICE_S)
            self.start(end)

    def start(self, now: float) -> None:
        while len(self.queue) and len(self.ends) < SLOTS:
            taken = self.queue.take(now, SERVICE_S)
            if taken.call is None:
                return
            self.control.started(now, now - taken.call.arrived)
            self.done[taken.call.item] += 1
            self.ends.append(now + SERVICE_S)


def serve(target: Target, rate: int, begin: float, seconds: float, seed: int) -> None:
    """Offer ``rate`` calls a second, a fifth of them bookings."""
    rng = Random(seed)
    for number in range(int(rate * seconds)):
        now = begin + number / rate
        priority = BOOKING if number % 5 == 0 else BROWSING
        target.arrive(now, context(rng, priority, now))


@pytest.mark.parametrize("rate", [160, 320])
def test_bookings_outlast_browsing(rate):
    target = Target(ordered=True)
    serve(target, rate, 0.0, 10.0, seed=1)
    assert target.done[BOOKING] >= 0.99 * target.offered[BOOKING]
    assert sum(target.done.values()) >= 0.95 * min(rate, 80) * 10.0
    assert target.done[BROWSING] < target.offered[BROWSING]


def test_bookings_are_lost_without_the_threshold_and_the_order():
    target = Target(ordered=False)
    serve(target, 320, 0.0, 10.0, seed=1)
    assert target.done[BOOKING] < 0.5 * target.offered[BOOKING]


def test_nothing_is_refused_in_calm_nor_two_seconds_after_a_surge():
    target = Target(ordered=True)
    serve(target, 56, 0.0, 10.0, seed=1)
    assert target.done == target.offered
    serve(target, 400, 10.0, 5.0, seed=2)
    assert target.control.threshold > 0
    serve(target, 56, 15.0, 2.0, seed=3)
    before = sum(target.offered.values()) - sum(target.done.values())
    serve(target, 56, 17.0, 5.0, seed=4)
    assert sum(target.offered.values()) - sum(target.done.values()) == before
    assert target.control.threshold == 0


def test_a_long_queue_does_not_refuse_bookings():
    target = Target(ordered=True)
    serve(target, 120, 0.0, 5.0, seed=1)
    target.control.tick(5.1, waiting=10_000)
    assert 0 < target.control.threshold <= (RANKS - 1) * BUCKETS


def test_a_threshold_from_before_a_pause_is_discarded():
    target = Target(ordered=True)
    serve(target, 400, 0.0, 5.0, seed=1)
    assert target.control.threshold > 0
    call = context(Random(1), BROWSING, 60.0)
    assert target.control.decide(60.0, call, 0, 0) is None
    assert target.control.threshold == 0


def test_the_time_of_a_call_that_ran_through_a_pause_is_not_learned():
    target = Target(ordered=True)
    serve(target, 56, 0.0, 5.0, seed=1)
    target.control.finished(60.0, 55.0)
    assert target.control.service_time == pytest.approx(SERVICE_S)


def test_a_call_that_cannot_end_in_time_is_refused():
    control = AdmissionController(policy=POLICY, slots=SLOTS)
    for number in range(20):
        control.finished(number * 0.01, SERVICE_S)
    call = context(Random(1), BOOKING, 0.2)._replace(deadline=0.2 + SERVICE_S / 2)
    assert control.decide(0.2, call, 0, 0) is Reason.DEADLINE


def test_every_node_ranks_a_request_alike_and_a_node_without_signal_refuses_none():
    rng = Random(1)
    for _ in range(100):
        request_id = rng.randbytes(16)
        assert level(BOOKING, request_id) == level(BOOKING, bytes(request_id))
        assert level(BOOKING, request_id) > level(BROWSING, request_id)
        assert NO_SIGNAL.threshold <= level(15, request_id) < LEVELS


def test_returning_callers_are_spread_over_the_spare_rate():
    target = Target(ordered=True)
    serve(target, 56, 0.0, 10.0, seed=1)
    serve(target, 400, 10.0, 3.0, seed=2)
    rng = Random(3)
    times = [target.control.retry_after(13.0, BROWSING, rng) for _ in range(200)]
    booking = target.control.retry_after(13.0, BOOKING, rng)
    assert all(1.0 <= seconds <= 60.0 for seconds in times)
    assert booking < 2.0
    for second in range(60):
        assert sum(second <= seconds < second + 1 for seconds in times) <= 24


def test_a_path_publishes_the_thresholds_of_what_most_of_its_calls_use():
    learned = DownstreamThresholds(entries=4)
    learned.learn(0.0, "pricing", "pricing-1", 2000)
    learned.learn(0.0, "notices", "notices-1", 3000)
    paths = PathThresholds(downstream=learned, entries=4)
    for number in range(10):
        paths.ended(
            0.0, "browse", {"pricing", "notices"} if number < 3 else {"pricing"}
        )
        paths.ended(0.0, "notice-board", set())
    assert paths.published(0.1, "browse", 100) == 2000
    assert paths.published(0.1, "browse", 2500) == 2500
    assert paths.published(0.1, "notice-board", 100) == 100
    assert paths.published(0.1, "unknown", 100) == 100
    assert paths.published(5.0, "browse", 100) == 100


def test_a_learned_threshold_holds_then_fades():
    learned = DownstreamThresholds(entries=2)
    learned.learn(0.0, "stables", "stables-1", 2000)
    learned.learn(0.0, "stables", "stables-2", 1000)
    learned.learn(0.0, "farrier", "farrier-1", 900)
    assert learned.of_service(0.4, "stables") == 1000
    assert 0 < learned.of_service(1.0, "stables") < 1000
    assert learned.of_service(2.0, "stables") == 0
    assert (learned.of_service(0.1, "farrier"), learned.refused_full) == (0, 1)
    assert not learned.services


def test_a_call_may_finish_at_the_reading_of_the_clock_at_which_it_began():
    control = AdmissionController(policy=POLICY, slots=SLOTS)
    control.finished(1.0, 0.0)
    control.tick(1.1, 0)
    assert control.capacity > 0

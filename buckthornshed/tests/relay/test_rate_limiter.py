"""Tests of the rate limiter for the calls to one target."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornshed.coordination.relay.admission.call_graph import CallGraph
from buckthornshed.coordination.relay.admission.controller import AdmissionController
from buckthornshed.coordination.relay.limiter.concurrency_limiter import (
    MAX_RATE_DELAY_S,
    ConcurrencyLimiter,
    RefuseCall,
    StartCall,
)
from buckthornshed.coordination.relay.limiter.rate_limiter import UNLIMITED, RateLimiter
from buckthornshed.protocol.relay_messages import RefusalReason, Status

from .makers import make_call, make_catalog, make_route

WINDOW_S = 4.0


def limited(rate=2.0, now=0.0):
    limiter = RateLimiter()
    limiter.record_statement(now, rate, sent_at=now)
    return limiter


@given(
    rate=st.floats(0.0, 50.0),
    pauses=st.lists(st.floats(0.0, 1.0), max_size=200),
    restarts=st.sets(st.integers(0, 199), max_size=3),
)
def test_calls_in_every_window_keep_the_limit_across_restarts(rate, pauses, restarts):
    now, starts, limiter = 0.0, [], limited(rate)
    for number, pause in enumerate(pauses):
        now += pause
        if number in restarts:
            limiter = RateLimiter()
            limiter.adopt(now, rate)
        while limiter.take(now):
            starts.append(now)
    for end in starts:
        in_window = sum(1 for each in starts if end - WINDOW_S < each <= end)
        assert in_window <= 1.5 * rate * WINDOW_S + 5


def test_an_answer_that_overtook_the_first_statement_does_not_end_the_limit():
    limiter = limited(2.0, now=10.0)
    limiter.record_statement(10.1, UNLIMITED, sent_at=9.5)
    assert limiter.limited
    limiter.record_statement(11.0, UNLIMITED, sent_at=10.5)
    assert not limiter.limited


def test_a_limit_of_another_relay_counts_until_the_target_has_answered():
    limiter = RateLimiter()
    limiter.adopt(1.0, 3.0)
    assert limiter.limited
    limiter.record_statement(2.0, UNLIMITED, sent_at=1.5)
    limiter.adopt(3.0, 3.0)
    assert not limiter.limited


def test_the_lowest_of_the_limits_that_other_relays_remember_counts():
    limiter = RateLimiter()
    limiter.adopt(1.0, 3.0)
    limiter.adopt(1.0, 7.0)
    assert limiter.rate == 3.0


def test_a_limit_of_zero_still_lets_a_few_calls_through():
    limiter = limited(0.0)
    assert not limiter.take(1.0)
    assert limiter.take(10.0)


def test_without_a_limit_every_call_may_start():
    limiter = RateLimiter()
    assert all(limiter.take(0.0) for _ in range(1_000))
    assert limiter.delay(0.0, 1_000) == 0.0
    assert math.isinf(limiter.effective_rate)


def make_limiter(rate):
    limiter = ConcurrencyLimiter()
    limiter.set_slots(80)
    limiter.rate_limiter.record_statement(0.0, rate, sent_at=0.0)
    return limiter


def started(actions):
    return [action.call.key for action in actions if isinstance(action, StartCall)]


def refused(actions):
    return {a.call.key: a.reason for a in actions if isinstance(a, RefuseCall)}


def test_calls_above_the_limit_are_refused_with_the_time_of_a_turn():
    limiter = make_limiter(rate=1.0)
    actions = limiter.submit(1.0, make_call(1, now=1.0, time_left=9.0))
    assert started(actions) == [1]
    (refusal,) = limiter.submit(1.0, make_call(2, now=1.0, time_left=9.0))
    assert refusal.reason is RefusalReason.RATE_LIMITED
    assert refusal.retry_after >= 1.0
    assert not refusal.reason.may_have_run


def test_queued_calls_of_high_priority_take_the_next_turn():
    limiter = make_limiter(rate=10.0)
    limiter.submit(1.0, make_call(1, now=1.0, time_left=9.0))
    while limiter.rate_limiter.take(1.0):
        pass
    for key, rank in [(2, 2), (3, 1), (4, 0)]:
        call = make_call(key, now=1.0, time_left=9.0, rank=rank)
        assert limiter.submit(1.0, call) == []
    order = [key for step in range(4) for key in started(limiter.tick(1.1 + step / 10))]
    assert order == [4, 3, 2]


def test_a_queued_call_that_misses_its_turn_is_refused_as_not_run():
    limiter = make_limiter(rate=10.0)
    while limiter.rate_limiter.take(1.0):
        pass
    call = make_call(1, now=1.0, time_left=9.0)
    assert limiter.submit(1.0, call) == []
    limiter.rate_limiter.record_statement(1.0, 0.5, sent_at=1.0)
    actions = limiter.tick(1.1 + MAX_RATE_DELAY_S)
    assert refused(actions) == {1: RefusalReason.RATE_LIMITED}


@pytest.mark.parametrize("rate", [0.5, 3.0, 40.0])
def test_the_capacity_that_is_reported_fits_the_limit(rate):
    limiter = make_limiter(rate)
    assert limiter.calls_per_second <= rate
    limiter.rate_limiter.record_statement(2.0, UNLIMITED, sent_at=1.0)
    assert limiter.calls_per_second > 40.0


def test_a_target_with_its_limit_used_up_counts_as_loaded():
    limiter = make_limiter(rate=4.0)
    limiter.tick(1.0)
    assert limiter.load == 0.0
    limiter.submit(1.0, make_call(1, now=1.0))
    assert limiter.load == 1.0


def test_what_exceeds_a_limit_is_refused_at_the_first_hop_lower_priority_first():
    limiter = make_limiter(rate=10.0)
    routes = (make_route("book", rank=0), make_route("avail", rank=1))
    offered = {"book": 6.0, "avail": 20.0}
    admission = AdmissionController(graph=CallGraph())
    admission.configure(make_catalog(routes=routes))
    status = Status(
        service="stalls",
        target="t-1",
        load=limiter.load,
        slots=limiter.usable_slots,
        call_times=dict.fromkeys(offered, limiter.call_times.mean),
        offered=offered,
        rate_limit=limiter.rate_limiter.rate,
    )
    admission.report(0.0, "instance-1", status)
    admission.update_shares(0.1, {"stalls": 1})
    admitted = {
        route: rate * admission.shares[route] for route, rate in offered.items()
    }
    assert admission.shares["book"] == pytest.approx(1.0)
    assert 0.0 < admission.shares["avail"] < 0.5
    assert sum(admitted.values()) <= 10.0
    rejections = [
        admission.reject(0.2, routes[1], b"r-%d" % number) for number in range(50)
    ]
    assert all(r.retry_after > 0.0 for r in rejections if r is not None)

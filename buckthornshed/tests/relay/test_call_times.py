"""Tests of what a relay knows of a target that has just become slow."""

from random import Random

import pytest

from buckthornshed.coordination.relay.limiter.call_times import CallTimes, RunningCall
from buckthornshed.coordination.relay.limiter.concurrency_limiter import (
    MAX_PROBES,
    ConcurrencyLimiter,
    RefuseCall,
)
from buckthornshed.coordination.relay.placement.load_balancer import LoadBalancer

from .makers import make_call, make_dispatcher, make_request, make_route, make_target


def slow_target(*, usual, slowed, timeout, calls_per_second=20):
    """Replay a target that becomes slow; return its limiter after one `timeout`.

    All calls of the slow target are cancelled at their timeout, none is answered.
    """
    limiter = ConcurrencyLimiter()
    limiter.set_slots(60)
    for key in range(50):
        limiter.submit(0.0, make_call(key))
        limiter.finish(usual, key, succeeded=True)
    assert slowed > timeout
    now, key, started = usual, 100, []
    while now < usual + timeout * 1.5:
        limiter.submit(now, make_call(key, now=now, time_left=timeout))
        started.append((key, now))
        while started and now - started[0][1] >= timeout:
            limiter.cancel(now, started.pop(0)[0])
        now += 1.0 / calls_per_second
        key += 1
    return limiter, now


def test_a_target_that_finishes_no_call_in_time_is_reported_as_slow():
    limiter, now = slow_target(usual=0.2, slowed=2.6, timeout=1.2)
    assert limiter.call_time_estimates(now)["avail"] >= 0.6
    assert limiter.call_times.by_route["avail"] >= 0.6


def test_running_calls_show_a_slow_target_before_the_first_timeout():
    limiter = ConcurrencyLimiter()
    limiter.set_slots(60)
    limiter.call_times.by_route["avail"] = 0.1
    for key in range(10):
        limiter.submit(0.0, make_call(key, time_left=5.0))
    assert limiter.call_time_estimates(0.05)["avail"] == pytest.approx(0.1)
    assert limiter.call_time_estimates(0.5)["avail"] == pytest.approx(0.5)


def test_a_cancelled_call_that_was_quick_shows_nothing():
    times = CallTimes()
    times.record("avail", 0.2)
    times.record_unfinished("avail", 0.05)
    assert times.of("avail") == 0.2


def test_few_running_calls_do_not_count():
    times = CallTimes()
    times.record("avail", 0.2)
    assert times.estimates([RunningCall("avail", 3.0)]) == {"avail": 0.2}


def test_a_reported_slow_target_gets_no_calls_beside_a_quick_one():
    load_balancer = LoadBalancer(failure_domain="a", rng=Random(1))
    quick, slow = make_target("t-1"), make_target("t-2")
    load_balancer.record(quick).call_times["avail"] = 0.2
    load_balancer.record(slow).call_times["avail"] = 0.9
    for _ in range(50):
        chosen = load_balancer.choose(0.0, make_route(), [quick, slow])
        assert chosen is not None
        assert chosen.target.name == "t-1"


def test_calls_that_a_slow_target_cannot_finish_in_time_are_refused_at_once():
    """Each call of a target that is too slow would hold a slot and then fail."""
    limiter, now = slow_target(usual=0.05, slowed=2.0, timeout=0.5)
    limiter.call_times.by_route["avail"] = 0.5
    for key in list(limiter.calls):
        limiter.cancel(now, key)
    actions = [
        action
        for key in range(20)
        for action in limiter.submit(
            now, make_call(1_000 + key, now=now, time_left=0.5)
        )
    ]
    refused = [each for each in actions if isinstance(each, RefuseCall)]
    assert len(refused) == 20 - MAX_PROBES
    assert not any(each.reason.may_have_run for each in refused)


def test_a_target_that_is_quick_again_gets_calls_within_two_seconds():
    limiter, now = slow_target(usual=0.05, slowed=2.0, timeout=0.5)
    for key in list(limiter.calls):
        limiter.cancel(now, key)
    running: list[tuple[int, float]] = []
    begin, key, refused_at = now, 1_000, now
    while now < begin + 4.0:
        while running and now - running[0][1] >= 0.05:
            limiter.finish(now, running.pop(0)[0], succeeded=True)
        (action,) = limiter.submit(now, make_call(key, now=now, time_left=0.5))
        if isinstance(action, RefuseCall):
            refused_at = now
        else:
            running.append((key, now))
        key, now = key + 1, now + 0.02
    assert refused_at <= begin + 2.0


def test_a_call_that_timed_out_counts_as_a_failure_of_its_target():
    dispatcher = make_dispatcher([make_target("t-1")])
    dispatcher.submit(0.0, 1, make_request(time_left=0.5))
    dispatcher.tick(1.0)
    record = dispatcher.load_balancer.records["t-1"]
    assert record.failure_rate_at(1.0) > 0.0

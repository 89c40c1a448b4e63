"""Tests of what a relay knows of a target that has just become slow."""

from random import Random

import pytest

from buckthornshed.coordination.relay.call_times import CallTimes, RunningCall
from buckthornshed.coordination.relay.concurrency_limiter import ConcurrencyLimiter
from buckthornshed.coordination.relay.load_balancer import LoadBalancer

from .makers import make_call, make_route, make_target


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

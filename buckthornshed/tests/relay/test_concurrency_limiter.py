from buckthornshed.coordination.relay.limiter.concurrency_limiter import (
    ConcurrencyLimiter,
    RefuseCall,
    StartCall,
)
from buckthornshed.protocol.relay_messages import RefusalReason

from .makers import make_call


def limiter_with(slots):
    limiter = ConcurrencyLimiter()
    limiter.set_slots(slots)
    return limiter


def started(actions):
    return [action.call.key for action in actions if isinstance(action, StartCall)]


def refused(actions):
    return {a.call.key: a.reason for a in actions if isinstance(a, RefuseCall)}


def test_running_calls_are_limited():
    limiter = limiter_with(15)
    keys = []
    for key in range(30):
        keys += started(limiter.submit(0.0, make_call(key)))
    assert keys == list(range(14))
    assert limiter.running == 14


def test_queue_is_ordered_by_rank_then_deadline():
    limiter = limiter_with(1)
    limiter.submit(0.0, make_call(1, rank=0))
    limiter.submit(0.0, make_call(2, rank=2, time_left=0.5))
    limiter.submit(0.0, make_call(3, rank=0, time_left=0.9))
    limiter.submit(0.0, make_call(4, rank=0, time_left=0.8))
    order = []
    for key in (1, 4, 3):
        order += started(limiter.finish(0.01, key, succeeded=True))
    assert order == [4, 3, 2]


def test_a_call_that_cannot_meet_its_deadline_is_refused_at_once():
    limiter = limiter_with(1)
    limiter.submit(0.0, make_call(1))
    actions = limiter.submit(0.0, make_call(2, time_left=0.06))
    assert refused(actions) == {2: RefusalReason.OVERLOAD}
    assert limiter.calls.keys() == {1}


def test_a_call_that_waited_too_long_is_refused():
    limiter = limiter_with(1)
    limiter.submit(0.0, make_call(1))
    limiter.submit(0.0, make_call(2, time_left=0.2))
    assert refused(limiter.tick(0.19)) == {2: RefusalReason.EXPIRED}
    assert started(limiter.finish(0.2, 1, succeeded=True)) == []


def test_a_cancelled_queued_call_never_starts():
    limiter = limiter_with(1)
    limiter.submit(0.0, make_call(1))
    limiter.submit(0.0, make_call(2))
    assert limiter.cancel(0.1, 2) == (False, [])
    assert started(limiter.finish(0.2, 1, succeeded=True)) == []
    assert limiter.load == 0.0


def test_a_cancelled_running_call_frees_its_slot():
    limiter = limiter_with(1)
    limiter.submit(0.0, make_call(1))
    limiter.submit(0.0, make_call(2))
    was_running, actions = limiter.cancel(0.1, 1)
    assert was_running
    assert started(actions) == [2]


def test_a_draining_target_refuses_new_and_queued_calls():
    limiter = limiter_with(1)
    limiter.submit(0.0, make_call(1))
    limiter.submit(0.0, make_call(2))
    limiter.draining = True
    assert refused(limiter.refuse_queued()) == {2: RefusalReason.LEAVING}
    assert refused(limiter.submit(0.1, make_call(3))) == {3: RefusalReason.LEAVING}
    assert limiter.calls.keys() == {1}


def test_a_call_whose_deadline_has_passed_is_not_started():
    limiter = limiter_with(1)
    limiter.submit(0.0, make_call(1))
    limiter.submit(0.0, make_call(2, time_left=0.3))
    actions = limiter.finish(0.4, 1, succeeded=True)
    assert refused(actions) == {2: RefusalReason.EXPIRED}


def stalled_limiter(*, call_time=0.05):
    limiter = limiter_with(10)
    if call_time is not None:
        limiter.call_times.by_route["avail"] = call_time
    for key in range(4):
        limiter.submit(0.0, make_call(key, time_left=5.0))
    return limiter


def run_ticks(limiter, begin, end):
    actions = []
    steps = round((end - begin) / 0.025)
    for step in range(steps):
        actions += limiter.tick(begin + 0.025 * step)
    return actions


def test_running_calls_are_not_cancelled_by_a_stall():
    limiter = stalled_limiter()
    assert run_ticks(limiter, 0.0, 4.0) == []
    assert limiter.running == 4


def test_queued_calls_are_refused_when_the_target_stalls():
    limiter = stalled_limiter()
    limiter.limit = 4
    limiter.submit(0.1, make_call(7, now=0.1, time_left=4.0))
    assert run_ticks(limiter, 0.1, 0.4) == []
    assert refused(run_ticks(limiter, 0.4, 0.6)) == {7: RefusalReason.UNREACHABLE}


def test_no_stall_is_detected_while_the_call_time_is_unknown():
    limiter = stalled_limiter(call_time=None)
    run_ticks(limiter, 0.0, 2.0)
    assert started(limiter.submit(2.0, make_call(10, now=2.0))) == [10]


def test_a_stalled_target_gets_no_calls_until_it_answers():
    limiter = stalled_limiter()
    run_ticks(limiter, 0.0, 0.6)
    actions = limiter.submit(0.6, make_call(10, now=0.6))
    assert refused(actions) == {10: RefusalReason.UNREACHABLE}
    limiter.finish(0.65, 0, succeeded=True)
    assert started(limiter.submit(0.7, make_call(11, now=0.7))) == [11]


def test_a_slow_target_is_not_stalled():
    limiter = limiter_with(10)
    limiter.call_times.by_route["avail"] = 0.3
    now = 0.0
    for key in range(20):
        limiter.submit(now, make_call(key, now=now, time_left=5.0))
        run_ticks(limiter, now, now + 0.3)
        assert not limiter.stall_detector.is_restricted(now + 0.3)
        now += 0.3
        if key >= 3:
            limiter.finish(now, key - 3, succeeded=True)


def test_a_pause_of_the_relay_process_is_not_a_stall():
    limiter = stalled_limiter()
    run_ticks(limiter, 0.0, 0.2)
    assert limiter.tick(4.0) == []


def fail_calls(limiter, begin, keys, *, every=0.01):
    """Submit calls one after the other and fail the connection of each started one."""
    sent = 0
    for number, key in enumerate(keys):
        now = begin + every * number
        if started(limiter.submit(now, make_call(key, now=now))):
            limiter.finish(
                now + 0.001,
                key,
                succeeded=False,
                answered=False,
                connection_failed=True,
            )
            sent += 1
    return sent


def test_the_circuit_opens_when_every_call_fails():
    limiter = limiter_with(15)
    sent = fail_calls(limiter, 0.0, range(400))
    until_tripped, trials_a_second, seconds = 3, 2, 4
    assert sent <= until_tripped + trials_a_second * seconds + 1
    assert limiter.calls_per_second == 0.0


def test_an_open_circuit_is_probed_after_half_a_second():
    limiter = limiter_with(15)
    fail_calls(limiter, 0.0, range(400))
    soon = limiter.circuit_breaker.last_failure_at + 0.4
    actions = limiter.submit(soon, make_call(900, now=soon))
    assert refused(actions) == {900: RefusalReason.UNREACHABLE}
    later = limiter.circuit_breaker.last_failure_at + 0.6
    assert started(limiter.submit(later, make_call(901, now=later))) == [901]


def test_queued_calls_are_refused_when_the_circuit_opens():
    limiter = limiter_with(1)
    limiter.submit(0.0, make_call(1))
    limiter.submit(0.0, make_call(2, time_left=5.0))
    limiter.circuit_breaker.failure_rate = 0.4
    actions = limiter.finish(
        0.1, 1, succeeded=False, answered=False, connection_failed=True
    )
    assert refused(actions) == {2: RefusalReason.UNREACHABLE}


def test_the_circuit_closes_after_a_few_successes():
    limiter = limiter_with(15)
    fail_calls(limiter, 0.0, range(400))
    assert started(limiter.submit(6.0, make_call(1_000, now=6.0))) == [1_000]
    assert refused(limiter.submit(6.0, make_call(1_001, now=6.0)))
    for number in range(8):
        now = 6.05 + 0.05 * number
        limiter.finish(now, 1_000 + 2 * number, succeeded=True)
        limiter.submit(now, make_call(1_002 + 2 * number, now=now))
    assert started(limiter.submit(6.5, make_call(1_101, now=6.5))) == [1_101]
    assert started(limiter.submit(6.5, make_call(1_102, now=6.5))) == [1_102]


def test_the_circuit_opens_when_one_call_in_eight_succeeds():
    limiter = limiter_with(15)
    sent = 0
    for key in range(800):
        now = 0.005 * key
        if started(limiter.submit(now, make_call(key, now=now))):
            sent += 1
            fails = sent % 8 != 0
            limiter.finish(
                now + 0.001,
                key,
                succeeded=not fails,
                answered=not fails,
                connection_failed=fails,
            )
    assert sent <= 24


def test_a_single_reset_of_all_connections_does_not_open_the_circuit():
    limiter = limiter_with(15)
    for key in range(10):
        limiter.submit(0.0, make_call(key))
    for key in range(10):
        limiter.finish(
            0.5, key, succeeded=False, answered=False, connection_failed=True
        )
    assert started(limiter.submit(0.51, make_call(20, now=0.51))) == [20]


def test_the_circuit_stays_closed_when_a_third_of_calls_fail():
    limiter = limiter_with(15)
    for key in range(300):
        now = 0.01 * key
        assert started(limiter.submit(now, make_call(key, now=now))) == [key]
        fails = key % 3 == 0
        limiter.finish(
            now + 0.005,
            key,
            succeeded=not fails,
            answered=not fails,
            connection_failed=fails,
        )


def test_a_relay_that_will_end_accepts_only_calls_that_are_due_before():
    limiter = limiter_with(10)
    limiter.ends_at = 2.0
    assert started(limiter.submit(0.0, make_call(1, time_left=1.9))) == [1]
    assert refused(limiter.submit(0.0, make_call(2, time_left=2.1))) == {
        2: RefusalReason.OVERLOAD
    }

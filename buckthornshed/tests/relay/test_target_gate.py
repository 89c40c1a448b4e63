from buckthornshed.coordination.relay.target_gate import (
    Refused,
    Start,
    TargetGate,
)
from buckthornshed.protocol.relay_messages import RefusalReason

from .makers import make_call


def gate_with(slots):
    gate = TargetGate()
    gate.set_slots(slots)
    return gate


def started(actions):
    return [action.call.key for action in actions if isinstance(action, Start)]


def refused(actions):
    return {a.call.key: a.reason for a in actions if isinstance(a, Refused)}


def test_no_more_calls_run_than_the_target_has_room_for():
    gate = gate_with(15)
    keys = []
    for key in range(30):
        keys += started(gate.arrive(0.0, make_call(key)))
    assert keys == list(range(14))
    assert gate.running == 14


def test_the_most_important_call_starts_first_then_the_nearest_deadline():
    gate = gate_with(1)
    gate.arrive(0.0, make_call(1, rank=0))
    gate.arrive(0.0, make_call(2, rank=2, left=0.5))
    gate.arrive(0.0, make_call(3, rank=0, left=0.9))
    gate.arrive(0.0, make_call(4, rank=0, left=0.8))
    order = []
    for key in (1, 4, 3):
        order += started(gate.finished(0.01, key, sound=True))
    assert order == [4, 3, 2]


def test_a_call_that_cannot_start_in_time_is_turned_away_at_once():
    gate = gate_with(1)
    gate.arrive(0.0, make_call(1))
    actions = gate.arrive(0.0, make_call(2, left=0.06))
    assert refused(actions) == {2: RefusalReason.OVERLOAD}
    assert gate.calls.keys() == {1}


def test_a_call_that_waited_too_long_is_turned_away():
    gate = gate_with(1)
    gate.arrive(0.0, make_call(1))
    gate.arrive(0.0, make_call(2, left=0.2))
    assert refused(gate.tick(0.19)) == {2: RefusalReason.EXPIRED}
    assert started(gate.finished(0.2, 1, sound=True)) == []


def test_a_cancelled_waiting_call_never_starts():
    gate = gate_with(1)
    gate.arrive(0.0, make_call(1))
    gate.arrive(0.0, make_call(2))
    assert gate.cancelled(0.1, 2) == (False, [])
    assert started(gate.finished(0.2, 1, sound=True)) == []
    assert gate.load == 0.0


def test_a_cancelled_running_call_makes_room():
    gate = gate_with(1)
    gate.arrive(0.0, make_call(1))
    gate.arrive(0.0, make_call(2))
    was_running, actions = gate.cancelled(0.1, 1)
    assert was_running
    assert started(actions) == [2]


def test_a_leaving_target_takes_nothing_new_and_what_waits_goes_elsewhere():
    gate = gate_with(1)
    gate.arrive(0.0, make_call(1))
    gate.arrive(0.0, make_call(2))
    gate.leaving = True
    assert refused(gate.turn_all_away()) == {2: RefusalReason.LEAVING}
    assert refused(gate.arrive(0.1, make_call(3))) == {3: RefusalReason.LEAVING}
    assert gate.calls.keys() == {1}


def test_a_call_whose_deadline_has_passed_is_not_started():
    gate = gate_with(1)
    gate.arrive(0.0, make_call(1))
    gate.arrive(0.0, make_call(2, left=0.3))
    actions = gate.finished(0.4, 1, sound=True)
    assert refused(actions) == {2: RefusalReason.EXPIRED}


def silent_gate(*, usual=0.05):
    gate = gate_with(10)
    if usual is not None:
        gate.usual["avail"] = usual
    for key in range(4):
        gate.arrive(0.0, make_call(key, left=5.0))
    return gate


def ticks(gate, begin, end):
    actions = []
    steps = round((end - begin) / 0.025)
    for step in range(steps):
        actions += gate.tick(begin + 0.025 * step)
    return actions


def test_running_calls_are_never_broken_off_for_silence():
    gate = silent_gate()
    assert ticks(gate, 0.0, 4.0) == []
    assert gate.running == 4


def test_what_waits_for_a_silent_target_goes_elsewhere():
    gate = silent_gate()
    gate.limit = 4
    gate.arrive(0.1, make_call(7, now=0.1, left=4.0))
    assert ticks(gate, 0.1, 0.4) == []
    assert refused(ticks(gate, 0.4, 0.6)) == {7: RefusalReason.UNREACHABLE}


def test_a_target_whose_usual_time_is_not_known_is_not_called_silent():
    gate = silent_gate(usual=None)
    ticks(gate, 0.0, 2.0)
    assert started(gate.arrive(2.0, make_call(10, now=2.0))) == [10]


def test_a_silent_target_gets_no_new_work_until_it_answers():
    gate = silent_gate()
    ticks(gate, 0.0, 0.6)
    turned = gate.arrive(0.6, make_call(10, now=0.6))
    assert refused(turned) == {10: RefusalReason.UNREACHABLE}
    gate.finished(0.65, 0, sound=True)
    assert started(gate.arrive(0.7, make_call(11, now=0.7))) == [11]


def test_a_target_that_answers_slowly_is_not_silent():
    gate = gate_with(10)
    gate.usual["avail"] = 0.3
    now = 0.0
    for key in range(20):
        gate.arrive(now, make_call(key, now=now, left=5.0))
        ticks(gate, now, now + 0.3)
        assert not gate.silence.closed(now + 0.3)
        now += 0.3
        if key >= 3:
            gate.finished(now, key - 3, sound=True)


def test_a_pause_of_the_relay_itself_is_no_silence_of_the_target():
    gate = silent_gate()
    ticks(gate, 0.0, 0.2)
    assert gate.tick(4.0) == []


def break_off(gate, begin, keys, *, every=0.01):
    """Let the target break off calls that are sent one after the other."""
    sent = 0
    for number, key in enumerate(keys):
        now = begin + every * number
        if started(gate.arrive(now, make_call(key, now=now))):
            gate.finished(now + 0.001, key, sound=False, answered=False, broken=True)
            sent += 1
    return sent


def test_a_target_that_breaks_off_every_call_is_left_alone():
    gate = gate_with(15)
    sent = break_off(gate, 0.0, range(400))
    until_suspected, trials_a_second, seconds = 3, 2, 4
    assert sent <= until_suspected + trials_a_second * seconds + 1
    assert gate.calls_per_second == 0.0


def test_a_target_that_breaks_off_calls_is_tried_again_after_half_a_second():
    gate = gate_with(15)
    break_off(gate, 0.0, range(400))
    soon = gate.breaks.broke_at + 0.4
    turned = gate.arrive(soon, make_call(900, now=soon))
    assert refused(turned) == {900: RefusalReason.UNREACHABLE}
    later = gate.breaks.broke_at + 0.6
    assert started(gate.arrive(later, make_call(901, now=later))) == [901]


def test_what_waits_for_a_target_that_breaks_off_calls_goes_elsewhere():
    gate = gate_with(1)
    gate.arrive(0.0, make_call(1))
    gate.arrive(0.0, make_call(2, left=5.0))
    gate.breaks.broken = 0.4
    actions = gate.finished(0.1, 1, sound=False, answered=False, broken=True)
    assert refused(actions) == {2: RefusalReason.UNREACHABLE}


def test_a_target_that_answers_again_gets_its_calls_after_a_few_answers():
    gate = gate_with(15)
    break_off(gate, 0.0, range(400))
    assert started(gate.arrive(6.0, make_call(1_000, now=6.0))) == [1_000]
    assert refused(gate.arrive(6.0, make_call(1_001, now=6.0)))
    for number in range(8):
        now = 6.05 + 0.05 * number
        gate.finished(now, 1_000 + 2 * number, sound=True)
        gate.arrive(now, make_call(1_002 + 2 * number, now=now))
    assert started(gate.arrive(6.5, make_call(1_101, now=6.5))) == [1_101]
    assert started(gate.arrive(6.5, make_call(1_102, now=6.5))) == [1_102]


def test_a_target_that_serves_one_call_in_eight_is_left_alone_too():
    gate = gate_with(15)
    sent = 0
    for key in range(800):
        now = 0.005 * key
        if started(gate.arrive(now, make_call(key, now=now))):
            sent += 1
            bad = sent % 8 != 0
            gate.finished(now + 0.001, key, sound=not bad, answered=not bad, broken=bad)
    assert sent <= 24


def test_one_reset_of_all_connections_closes_nothing():
    gate = gate_with(15)
    for key in range(10):
        gate.arrive(0.0, make_call(key))
    for key in range(10):
        gate.finished(0.5, key, sound=False, answered=False, broken=True)
    assert started(gate.arrive(0.51, make_call(20, now=0.51))) == [20]


def test_a_target_that_breaks_off_some_calls_stays_open():
    gate = gate_with(15)
    for key in range(300):
        now = 0.01 * key
        assert started(gate.arrive(now, make_call(key, now=now))) == [key]
        bad = key % 3 == 0
        gate.finished(now + 0.005, key, sound=not bad, answered=not bad, broken=bad)

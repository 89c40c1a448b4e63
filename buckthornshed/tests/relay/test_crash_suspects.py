"""Decisions on which request has crashed a target, without input or output."""

import pytest

from buckthornshed.coordination.relay.crashes.crash_suspects import (
    MAX_CLEARED,
    MAX_CRASHES,
    MAX_QUARANTINES,
    MAX_SUSPECTS,
    MAX_TOLD_CRASHES,
    CrashSuspects,
    Handling,
)
from buckthornshed.coordination.relay.crashes.fingerprints import request_fingerprint
from buckthornshed.coordination.relay.crashes.quarantine import (
    FIRST_QUARANTINE_S,
    TRIAL_S,
)
from buckthornshed.coordination.relay.crashes.suspect_isolation import SuspectIsolation
from buckthornshed.protocol.crash_messages import Clearance, Crash
from buckthornshed.protocol.relay_messages import RefusalReason
from buckthornshed.state.catalog import Release

from .makers import make_dispatcher, make_request, make_target

V1, V2 = Release("stalls", "v1"), Release("stalls", "v2")
DEADLY, OTHER, THIRD = b"deadly", b"other", b"third"


def crash(number, *suspects, release=V1):
    return Crash(f"10.0.0.{number}", number, release, list(suspects))


def notice_of(suspects):
    notice = suspects.notice(0.0)
    assert notice is not None
    return notice


def quarantined(release=V1):
    """Return suspects with `DEADLY` quarantined for a release at 0 s."""
    suspects = CrashSuspects()
    for number in range(3):
        suspects.record_crash(0.0, crash(number, DEADLY, release=release))
    return suspects


def test_the_request_that_ran_alone_at_the_third_crash_is_quarantined():
    suspects = CrashSuspects()
    assert suspects.record_crash(0.0, crash(1, DEADLY, OTHER)) == []
    assert suspects.record_crash(1.0, crash(2, DEADLY, THIRD)) == []
    assert suspects.record_crash(2.0, crash(3, DEADLY)) == [DEADLY]
    assert suspects.handling(2.0, DEADLY, V1) is Handling.REFUSED


def test_a_request_that_never_ran_apart_from_other_suspects_is_not_blamed():
    suspects = CrashSuspects()
    assert suspects.record_crash(0.0, crash(1, DEADLY, OTHER)) == []
    assert suspects.record_crash(1.0, crash(2, DEADLY, THIRD)) == []
    assert suspects.record_crash(2.0, crash(3, DEADLY, OTHER)) == []
    assert suspects.record_crash(3.0, crash(4, DEADLY)) == [DEADLY]


def test_unsuspected_requests_beside_a_suspect_cost_one_crash_more():
    suspects = CrashSuspects()
    for number in range(3):
        others = b"once-%d" % number, b"twice-%d" % number
        assert suspects.record_crash(0.0, crash(number, DEADLY, *others)) == []
    others = b"last", b"but one"
    assert suspects.record_crash(0.0, crash(9, DEADLY, *others)) == [DEADLY]


def test_a_likely_culprit_runs_at_one_target_at_a_time():
    trying, told = CrashSuspects(), CrashSuspects()
    for number in range(3):
        for each in (trying, told):
            each.record_crash(0.0, crash(number, DEADLY, OTHER))
    trial = trying.begin_trial(1.0, DEADLY)
    assert trial is not None
    told.adopt(1.0, trial)
    assert told.handling(1.1, DEADLY, V1) is Handling.REFUSED
    assert told.retry_after(1.1, DEADLY, V1) == pytest.approx(TRIAL_S - 0.1)
    told.clear(Clearance(DEADLY, V1, 1_200))
    assert told.handling(1.2, DEADLY, V1) is Handling.NORMAL
    assert told.handling(1.0 + TRIAL_S, OTHER, V1) is Handling.ISOLATED


def test_a_quarantine_that_was_told_grows_when_its_trial_fails():
    suspects, restarted = quarantined(), CrashSuspects()
    told = notice_of(suspects).quarantines[0]
    restarted.adopt(FIRST_QUARANTINE_S - 1.0, told._replace(seconds=1.0))
    restarted.record_crash(FIRST_QUARANTINE_S + 1.0, crash(7, DEADLY))
    assert restarted.quarantines[DEADLY].failed_trials == 1


def test_requests_beside_the_culprit_are_suspected_no_more():
    suspects = CrashSuspects()
    suspects.record_crash(0.0, crash(1, DEADLY, OTHER))
    suspects.record_crash(1.0, crash(2, DEADLY, OTHER))
    assert suspects.handling(1.0, OTHER, V1) is Handling.ISOLATED
    suspects.record_crash(2.0, crash(3, DEADLY))
    assert suspects.handling(2.0, OTHER, V1) is Handling.NORMAL
    assert not suspects.counts


def test_of_two_requests_at_the_same_crashes_none_is_blamed_before_they_part():
    suspects = CrashSuspects()
    for number in range(4):
        assert suspects.record_crash(0.0, crash(number, DEADLY, OTHER)) == []
    assert suspects.record_crash(0.0, crash(9, DEADLY)) == [DEADLY]
    assert suspects.handling(0.0, OTHER, V1) is Handling.NORMAL


def test_a_harmless_request_that_runs_at_every_crash_is_not_blamed():
    suspects = CrashSuspects()
    for number in range(20):
        assert suspects.record_crash(0.0, crash(number, OTHER)) == []
        assert suspects.clear(Clearance(OTHER, V1, number))
    assert suspects.handling(0.0, OTHER, V1) is Handling.NORMAL
    assert not suspects.active


def test_one_crash_told_by_several_peers_counts_once():
    suspects = CrashSuspects()
    for _ in range(5):
        assert suspects.record_crash(0.0, crash(1, DEADLY)) == []
    assert suspects.counts[DEADLY] == 1


def test_a_peer_that_missed_a_clearance_does_not_bring_evidence_back():
    behind, suspects = CrashSuspects(), quarantined()
    behind.adopt(0.0, suspects.quarantines[DEADLY].told(0.0, DEADLY))
    behind.record_crash(0.0, crash(7, OTHER))
    suspects.clear(Clearance(DEADLY, V1, 5))
    suspects.record_crash(0.0, crash(7, OTHER))
    suspects.clear(Clearance(OTHER, V1, 8))
    notice = notice_of(behind)
    for each in notice.crashes:
        suspects.record_crash(1.0, each)
    for told in notice.quarantines:
        assert not suspects.adopt(1.0, told)
    assert not suspects.active


def test_a_new_peer_learns_evidence_and_quarantines():
    suspects, new = quarantined(), CrashSuspects()
    suspects.record_crash(1.0, crash(8, OTHER))
    notice = notice_of(suspects)
    for each in notice.crashes:
        new.record_crash(50.0, each)
    for told in notice.quarantines:
        new.adopt(50.0, told)
    assert new.handling(50.0, DEADLY, V1) is Handling.REFUSED
    assert new.retry_after(50.0, DEADLY, V1) == pytest.approx(FIRST_QUARANTINE_S)
    assert new.counts == {OTHER: 1}


def test_a_release_that_was_not_tried_is_waited_for_only_during_a_trial():
    suspects = quarantined()
    assert suspects.retry_after(1.0, DEADLY, V2) == 0.0
    suspects.begin_trial(1.0, DEADLY)
    assert suspects.retry_after(1.0, DEADLY, V2) == TRIAL_S
    assert suspects.retry_after(1.0, DEADLY, V1) == FIRST_QUARANTINE_S - 1.0


def test_a_release_that_answered_and_crashes_later_is_refused_at_peers_too():
    suspects, peer = quarantined(), quarantined()
    for each in (suspects, peer):
        each.clear(Clearance(DEADLY, V2, 100))
    suspects.record_crash(9.0, crash(200, DEADLY, release=V2))
    peer.adopt(9.0, suspects.quarantines[DEADLY].told(9.0, DEADLY))
    assert peer.handling(9.0, DEADLY, V2) is Handling.REFUSED


def test_another_release_tries_a_quarantined_request_once():
    suspects = quarantined()
    assert suspects.handling(1.0, DEADLY, V2) is Handling.ISOLATED
    suspects.begin_trial(1.0, DEADLY)
    assert suspects.handling(1.0, DEADLY, V2) is Handling.REFUSED
    suspects.record_crash(1.1, crash(8, DEADLY, OTHER, release=V2))
    assert suspects.handling(1.0 + TRIAL_S, DEADLY, V2) is Handling.REFUSED
    assert not suspects.counts


def test_an_answer_of_another_release_leaves_the_quarantine_of_the_first():
    suspects = quarantined()
    suspects.begin_trial(1.0, DEADLY)
    assert suspects.clear(Clearance(DEADLY, V2, 100))
    assert not suspects.clear(Clearance(DEADLY, V2, 101))
    assert suspects.handling(1.0, DEADLY, V1) is Handling.REFUSED
    assert suspects.handling(1.0, DEADLY, V2) is Handling.NORMAL
    suspects.clear(Clearance(DEADLY, V1, 100))
    assert not suspects.active


def test_a_quarantine_ends_after_some_time_and_grows_with_each_failed_trial():
    suspects = quarantined()
    now, trials = 0.0, 0
    while now < 1_800.0:
        now += 1.0
        if suspects.handling(now, DEADLY, V1) is not Handling.REFUSED:
            suspects.begin_trial(now, DEADLY)
            suspects.record_crash(now, crash(int(now), DEADLY))
            trials += 1
    assert 1 <= trials <= 3


def test_requests_that_run_when_a_quarantine_begins_do_not_prolong_it():
    suspects = quarantined()
    for number in range(4, 8):
        suspects.record_crash(0.2, crash(number, DEADLY))
    assert suspects.retry_after(0.2, DEADLY, V1) == FIRST_QUARANTINE_S


def test_a_suspect_of_two_crashes_runs_without_other_suspects():
    suspects = CrashSuspects()
    for number in range(2):
        suspects.record_crash(0.0, crash(number, DEADLY, OTHER))
    suspects.record_crash(0.0, crash(3, b"once"))
    isolation = SuspectIsolation(suspects=suspects)
    assert isolation.refusal(0.0, 1, DEADLY, V1) is None
    assert isolation.refusal(0.0, 1, DEADLY, V1) is None
    assert isolation.refusal(0.0, 2, OTHER, V1) is RefusalReason.ISOLATED
    assert isolation.refusal(0.0, 3, THIRD, V1) is None
    assert isolation.refusal(0.0, 4, b"once", V1) is RefusalReason.ISOLATED
    isolation.end(1)
    assert isolation.refusal(0.0, 4, b"once", V1) is None
    assert isolation.refusal(0.0, 2, OTHER, V1) is RefusalReason.ISOLATED
    isolation.end(4)
    assert isolation.refusal(0.0, 2, OTHER, V1) is None


def test_all_tables_and_notices_are_bounded():
    suspects = CrashSuspects()
    for number in range(2 * MAX_QUARANTINES):
        name = number.to_bytes(4, "big")
        others = [name + bytes([each]) for each in range(2 * MAX_SUSPECTS % 256)]
        for part in range(3):
            suspects.record_crash(0.0, crash(3 * number + part, name, *others[:part]))
        if number % 2:
            suspects.clear(Clearance(name, V1, 10**9))
    assert len(suspects.crashes) <= MAX_CRASHES
    assert len(suspects.quarantines) <= MAX_QUARANTINES
    assert len(suspects.cleared) <= MAX_CLEARED
    assert len(notice_of(suspects).crashes) <= MAX_TOLD_CRASHES


def test_the_requests_that_are_suspected_already_are_named_first():
    suspects = CrashSuspects()
    suspects.record_crash(0.0, crash(1, DEADLY))
    many = [each.to_bytes(4, "big") for each in range(10 * MAX_SUSPECTS)]
    named = suspects.name_suspects([*many, DEADLY])
    assert len(named) == MAX_SUSPECTS
    assert named[:2] == [DEADLY, many[0]]


def test_a_crash_has_a_bounded_number_of_suspects():
    suspects = CrashSuspects()
    many = [each.to_bytes(4, "big") for each in range(10 * MAX_SUSPECTS)]
    suspects.record_crash(0.0, crash(1, *many))
    assert len(suspects.counts) == MAX_SUSPECTS


def test_a_quarantine_of_another_release_is_no_reason_for_a_long_wait():
    old, new = make_target("t-1", version="v1"), make_target("t-2", version="v2")
    dispatcher = make_dispatcher((old, new), unreachable={"t-2"})
    request = make_request()
    name = request_fingerprint(request.head, request.body, b"credential")
    for number in range(3):
        dispatcher.target_choice.suspects.record_crash(0.0, crash(number, name))
    (action,) = dispatcher.submit(0.0, 1, request)
    assert (action.reason, action.may_have_run) == (RefusalReason.UNREACHABLE, False)
    assert action.retry_after < TRIAL_S
    dispatcher.fleet_view.remove_target(0.0, "t-2")
    (action,) = dispatcher.submit(0.0, 2, request)
    assert (action.reason, action.may_have_run) == (RefusalReason.QUARANTINED, False)
    assert action.retry_after >= FIRST_QUARANTINE_S


def test_a_request_is_recognized_by_its_workspace_not_by_what_a_client_calls_it():
    head = b"GET /avail/1 HTTP/1.1\r\nhost: a\r\n"
    named = head + b"tenant: forged\r\n"
    known = request_fingerprint(head, b"", b"credential", "yard")
    assert known == request_fingerprint(named, b"", b"credential", "yard")
    assert known != request_fingerprint(head, b"", b"credential", "ranch")


# Guards against a fourth crash: requests that ran beside the culprit for the first time
# were cleared after the third one, when nothing decided again.
def test_the_culprit_is_quarantined_when_those_beside_it_are_cleared():
    suspects = CrashSuspects()
    for number, beside in enumerate((b"x", b"y", b"z"), 1):
        assert suspects.record_crash(0.0, crash(number, DEADLY, beside)) == []
    # At the first crash both were new, so it does not show which of them ran apart.
    suspects.clear(Clearance(b"x", V1, 10))
    assert suspects.quarantines == {}
    suspects.clear(Clearance(b"z", V1, 10))
    assert list(suspects.quarantines) == [DEADLY]
    assert not suspects.counts


def test_a_request_that_never_ran_apart_is_not_blamed_when_another_is_cleared():
    suspects = CrashSuspects()
    for number in range(1, 6):
        suspects.record_crash(0.0, crash(number, DEADLY, OTHER))
    suspects.clear(Clearance(OTHER, V1, 10))
    assert suspects.quarantines == {}
    assert suspects.record_crash(1.0, crash(7, DEADLY)) == [DEADLY]

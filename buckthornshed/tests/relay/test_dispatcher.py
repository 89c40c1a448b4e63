import pytest

from buckthornshed.coordination.relay.dispatcher import (
    CancelCall,
    Deliver,
    GiveUp,
    SendCall,
)
from buckthornshed.protocol.relay_messages import (
    AnswerMessage,
    RefusalMessage,
    RefusalReason,
)
from buckthornshed.state.catalog import RoutePart
from buckthornshed.state.relay_settings import RetryLimits

from .makers import make_dispatcher, make_request, make_target

TWO = (make_target("t-1"), make_target("t-2"))
THREE = (*TWO, make_target("t-3"))


def refusal(action, reason, retry_after=0.3):
    return RefusalMessage(action.message.exchange, reason, retry_after, 0.5)


def answer(action, status=200):
    return AnswerMessage(action.message.exchange, status, b"", b"whole", 0.1, 0.05)


def test_an_answer_reaches_its_own_request():
    dispatcher = make_dispatcher(TWO)
    sends = [dispatcher.request(0.0, token, make_request())[0] for token in (1, 2)]
    (second,) = dispatcher.answered(0.1, answer(sends[1]))
    assert isinstance(second, Deliver) and second.token == 2
    assert dispatcher.answered(0.1, answer(sends[1])) == []


@pytest.mark.parametrize("reason", [RefusalReason.LOST, RefusalReason.TIMED_OUT])
def test_a_request_that_may_have_run_once_is_not_sent_again(reason):
    dispatcher = make_dispatcher(THREE)
    (send,) = dispatcher.request(0.0, 1, make_request(idempotent=False))
    (end,) = dispatcher.refused(0.1, refusal(send, reason))
    assert isinstance(end, GiveUp) and end.ran


def test_a_request_that_did_not_run_is_sent_to_another_target():
    dispatcher = make_dispatcher(TWO)
    (send,) = dispatcher.request(0.0, 1, make_request(idempotent=False))
    (again,) = dispatcher.refused(0.1, refusal(send, RefusalReason.WRONG_TARGET))
    assert isinstance(again, SendCall)
    assert again.target.name != send.target.name
    (end,) = dispatcher.refused(0.2, refusal(again, RefusalReason.TARGET_FULL))
    assert isinstance(end, GiveUp) and not end.ran


def test_a_refusal_after_a_send_that_may_have_run_does_not_say_not_run():
    dispatcher = make_dispatcher(THREE)
    (send,) = dispatcher.request(0.0, 1, make_request())
    (again,) = dispatcher.refused(0.1, refusal(send, RefusalReason.LOST))
    (end,) = dispatcher.refused(0.2, refusal(again, RefusalReason.TARGET_FULL))
    assert isinstance(end, GiveUp) and end.ran


def test_no_more_targets_are_tried_than_the_route_allows():
    dispatcher = make_dispatcher(THREE)
    (send,) = dispatcher.request(0.0, 1, make_request(attempts=1))
    (end,) = dispatcher.refused(0.1, refusal(send, RefusalReason.LOST))
    assert isinstance(end, GiveUp)


def test_repeats_stay_within_the_budget_of_the_relay():
    limits = RetryLimits(ratio=0.2, window=10.0, slack=10.0)
    dispatcher = make_dispatcher(TWO, limits=limits)
    repeats = 0
    for token in range(1_000):
        (send,) = dispatcher.request(0.0, token, make_request())
        (then,) = dispatcher.refused(0.1, refusal(send, RefusalReason.LOST))
        repeats += isinstance(then, SendCall)
        dispatcher.abandoned(0.2, token)
    assert repeats <= 0.2 * 1_000 + 10.0


def test_the_deadline_ends_a_request_and_cancels_its_call():
    dispatcher = make_dispatcher(TWO)
    dispatcher.request(0.0, 1, make_request(left=0.5))
    assert dispatcher.tick(0.5) == []
    cancel, end = dispatcher.tick(0.6)
    assert isinstance(cancel, CancelCall)
    assert isinstance(end, GiveUp) and end.ran
    assert end.reason is RefusalReason.TIMED_OUT


def test_a_client_that_leaves_has_its_call_cancelled():
    dispatcher = make_dispatcher(TWO)
    (send,) = dispatcher.request(0.0, 1, make_request())
    (cancel,) = dispatcher.abandoned(0.1, 1)
    assert cancel == CancelCall(send.target, send.message.exchange)
    assert dispatcher.answered(0.2, answer(send)) == []


def test_without_a_target_the_request_is_refused_as_not_run():
    dispatcher = make_dispatcher(TWO, unreachable={"t-1", "t-2"})
    (end,) = dispatcher.request(0.0, 1, make_request())
    assert isinstance(end, GiveUp) and not end.ran and end.retry_after > 0.0


def test_a_target_whose_relay_stops_is_used_only_where_no_other_is_up():
    dispatcher = make_dispatcher(TWO, leaving={"t-1"})
    for token in range(20):
        (send,) = dispatcher.request(0.0, token, make_request())
        assert send.target.name == "t-2"
    alone = make_dispatcher(TWO[:1], leaving={"t-1"})
    (send,) = alone.request(0.0, 1, make_request())
    assert send.target.name == "t-1"


def test_a_split_keeps_its_shares_also_when_one_part_has_no_target():
    dispatcher = make_dispatcher(TWO)
    parts = (RoutePart("stalls", 90.0), RoutePart("elsewhere", 10.0))
    ends = []
    for token in range(1_000):
        (action,) = dispatcher.request(0.0, token, make_request(parts=parts))
        ends.append(isinstance(action, GiveUp))
    assert sum(ends) == 100


def test_a_lost_link_ends_each_of_its_calls_once():
    dispatcher = make_dispatcher(TWO)
    sends = [
        dispatcher.request(0.0, token, make_request(idempotent=False))[0]
        for token in range(4)
    ]
    lost = [s.message.exchange for s in sends if s.target.name == sends[0].target.name]
    ends = dispatcher.lost(0.1, lost)
    assert len(ends) == len(lost)
    assert all(isinstance(end, GiveUp) and end.ran for end in ends)

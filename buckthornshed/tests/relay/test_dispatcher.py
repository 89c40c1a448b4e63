from random import Random

import pytest

from buckthornshed.coordination.relay.dispatch_messages import (
    CancelCall,
    DeliverAnswer,
    FailRequest,
    SendCall,
)
from buckthornshed.protocol.relay_messages import (
    AnswerMessage,
    RefusalMessage,
    RefusalReason,
)
from buckthornshed.state.catalog import RouteDestination
from buckthornshed.state.relay_settings import RetryLimits

from .makers import make_dispatcher, make_request, make_target

TWO = (make_target("t-1"), make_target("t-2"))
THREE = (*TWO, make_target("t-3"))
ONE_RETRY = RetryLimits(ratio=0.0, window=10.0, slack=4.0)
"""Limits that leave a relay, the only one, one token until calls of runs are known."""


def refusal(action, reason, retry_after=0.3):
    return RefusalMessage(action.message.exchange, reason, retry_after, 0.5)


def answer(action, status=200):
    return AnswerMessage(action.message.exchange, status, b"", b"complete", 0.1, 0.05)


def test_an_answer_is_delivered_to_its_request():
    dispatcher = make_dispatcher(TWO)
    sends = [dispatcher.submit(0.0, token, make_request())[0] for token in (1, 2)]
    (second,) = dispatcher.handle_answer(0.1, answer(sends[1]))
    assert isinstance(second, DeliverAnswer) and second.token == 2
    assert dispatcher.handle_answer(0.1, answer(sends[1])) == []


@pytest.mark.parametrize("reason", [RefusalReason.LOST, RefusalReason.TIMED_OUT])
def test_a_non_idempotent_request_that_may_have_run_is_not_retried(reason):
    dispatcher = make_dispatcher(THREE)
    (send,) = dispatcher.submit(0.0, 1, make_request(idempotent=False))
    (end,) = dispatcher.handle_refusal(0.1, refusal(send, reason))
    assert isinstance(end, FailRequest) and end.may_have_run


def test_a_request_that_did_not_run_is_retried_on_another_target():
    dispatcher = make_dispatcher(TWO, limits=ONE_RETRY)
    (send,) = dispatcher.submit(0.0, 1, make_request(idempotent=False))
    (retry,) = dispatcher.handle_refusal(0.1, refusal(send, RefusalReason.WRONG_TARGET))
    assert isinstance(retry, SendCall)
    assert retry.target.name != send.target.name
    (end,) = dispatcher.handle_refusal(0.2, refusal(retry, RefusalReason.TARGET_FULL))
    assert isinstance(end, FailRequest) and not end.may_have_run


def test_a_refusal_reports_that_an_earlier_attempt_may_have_run():
    dispatcher = make_dispatcher(THREE, limits=ONE_RETRY)
    (send,) = dispatcher.submit(0.0, 1, make_request())
    (retry,) = dispatcher.handle_refusal(0.1, refusal(send, RefusalReason.LOST))
    (end,) = dispatcher.handle_refusal(0.2, refusal(retry, RefusalReason.TARGET_FULL))
    assert isinstance(end, FailRequest) and end.may_have_run


def test_attempts_are_limited_by_the_route():
    dispatcher = make_dispatcher(THREE)
    (send,) = dispatcher.submit(0.0, 1, make_request(attempts=1))
    (end,) = dispatcher.handle_refusal(0.1, refusal(send, RefusalReason.LOST))
    assert isinstance(end, FailRequest)


def test_retries_stay_within_the_budget_of_the_relay():
    limits = RetryLimits(ratio=0.2, window=10.0, slack=10.0)
    dispatcher = make_dispatcher(TWO, limits=limits)
    retries = 0
    for token in range(1_000):
        (send,) = dispatcher.submit(0.0, token, make_request())
        (action,) = dispatcher.handle_refusal(0.1, refusal(send, RefusalReason.LOST))
        retries += isinstance(action, SendCall)
        dispatcher.client_disconnected(0.2, token)
    assert retries <= 0.2 * 1_000 + 10.0


def test_an_expired_request_fails_and_its_call_is_cancelled():
    dispatcher = make_dispatcher(TWO)
    dispatcher.submit(0.0, 1, make_request(time_left=0.5))
    assert dispatcher.tick(0.5) == []
    cancel, end = dispatcher.tick(0.6)
    assert isinstance(cancel, CancelCall)
    assert isinstance(end, FailRequest) and end.may_have_run
    assert end.reason is RefusalReason.TIMED_OUT


def test_a_client_disconnect_cancels_the_call():
    dispatcher = make_dispatcher(TWO)
    (send,) = dispatcher.submit(0.0, 1, make_request())
    (cancel,) = dispatcher.client_disconnected(0.1, 1)
    assert cancel == CancelCall(send.target, send.message.exchange)
    assert dispatcher.handle_answer(0.2, answer(send)) == []


def test_a_request_without_a_target_is_refused_as_not_run():
    dispatcher = make_dispatcher(TWO, unreachable={"t-1", "t-2"})
    (end,) = dispatcher.submit(0.0, 1, make_request())
    assert (
        isinstance(end, FailRequest) and not end.may_have_run and end.retry_after > 0.0
    )


def test_a_target_with_a_draining_relay_is_used_only_as_a_last_resort():
    dispatcher = make_dispatcher(TWO, draining={"t-1"})
    for token in range(20):
        (send,) = dispatcher.submit(0.0, token, make_request())
        assert send.target.name == "t-2"
    alone = make_dispatcher(TWO[:1], draining={"t-1"})
    (send,) = alone.submit(0.0, 1, make_request())
    assert send.target.name == "t-1"


def test_a_target_with_a_silent_relay_is_used_only_if_no_other_is_up():
    dispatcher = make_dispatcher(THREE, silent={"t-1"}, draining={"t-2"})
    for token in range(20):
        (send,) = dispatcher.submit(0.0, token, make_request())
        assert send.target.name == "t-3"
    alone = make_dispatcher(TWO, silent={"t-1"}, draining={"t-2"})
    (send,) = alone.submit(0.0, 1, make_request())
    assert send.target.name == "t-1"


def test_a_weighted_split_keeps_its_weights_when_a_service_has_no_target():
    dispatcher = make_dispatcher(TWO)
    destinations = (
        RouteDestination("stalls", 90.0),
        RouteDestination("elsewhere", 10.0),
    )
    ends = []
    for token in range(1_000):
        (action,) = dispatcher.submit(
            0.0, token, make_request(destinations=destinations)
        )
        ends.append(isinstance(action, FailRequest))
    assert sum(ends) == 100


def test_a_connection_loss_fails_each_of_its_calls_once():
    dispatcher = make_dispatcher(TWO)
    sends = [
        dispatcher.submit(0.0, token, make_request(idempotent=False))[0]
        for token in range(4)
    ]
    lost = [s.message.exchange for s in sends if s.target.name == sends[0].target.name]
    ends = dispatcher.handle_connection_loss(0.1, lost)
    assert len(ends) == len(lost)
    assert all(isinstance(end, FailRequest) and end.may_have_run for end in ends)


def test_an_idempotent_request_that_a_target_failed_is_sent_to_another():
    dispatcher = make_dispatcher(TWO)
    (send,) = dispatcher.submit(0.0, 1, make_request())
    (retry,) = dispatcher.handle_answer(0.1, answer(send, status=500))
    assert isinstance(retry, SendCall) and retry.message.is_retry
    assert retry.target.name != send.target.name
    (end,) = dispatcher.handle_answer(0.2, answer(retry))
    assert isinstance(end, DeliverAnswer) and end.answer.status == 200


@pytest.mark.parametrize(
    "request_",
    [make_request(idempotent=False), make_request(attempts=1), make_request(0.0, 0.12)],
    ids=["not idempotent", "no attempt left", "too little time left"],
)
def test_a_failed_answer_is_delivered_if_a_retry_is_unsafe_or_hopeless(request_):
    dispatcher = make_dispatcher(TWO)
    (send,) = dispatcher.submit(0.0, 1, request_)
    (end,) = dispatcher.handle_answer(0.1, answer(send, status=500))
    assert isinstance(end, DeliverAnswer) and end.answer.status == 500


def test_a_failed_answer_is_not_retried_while_requests_are_shed():
    dispatcher = make_dispatcher(TWO)
    dispatcher.admission.saturated = frozenset({"stalls"})
    (send,) = dispatcher.submit(0.0, 1, make_request())
    (end,) = dispatcher.handle_answer(0.1, answer(send, status=500))
    assert isinstance(end, DeliverAnswer) and end.answer.status == 500


def test_retries_of_failed_answers_stay_within_the_budget():
    limits = RetryLimits(ratio=0.2, window=10.0, slack=10.0)
    dispatcher = make_dispatcher(TWO, limits=limits)
    retries = 0
    for token in range(1_000):
        (send,) = dispatcher.submit(0.0, token, make_request())
        (action,) = dispatcher.handle_answer(0.1, answer(send, status=500))
        retries += isinstance(action, SendCall)
        dispatcher.client_disconnected(0.2, token)
    assert 100 <= retries <= 0.2 * 1_000 + 10.0


@pytest.mark.parametrize(
    "reason", [RefusalReason.LOST, RefusalReason.TARGET_FULL, RefusalReason.TIMED_OUT]
)
def test_the_answer_of_a_failed_run_is_delivered_if_its_retry_gets_none(reason):
    dispatcher = make_dispatcher(TWO, limits=ONE_RETRY)
    (send,) = dispatcher.submit(0.0, 1, make_request())
    (retry,) = dispatcher.handle_answer(0.1, answer(send, status=500))
    (end,) = dispatcher.handle_refusal(0.2, refusal(retry, reason))
    assert isinstance(end, DeliverAnswer) and end.answer.status == 500


def test_the_answer_of_a_failed_run_is_delivered_when_its_retry_times_out():
    dispatcher = make_dispatcher(TWO)
    (send,) = dispatcher.submit(0.0, 1, make_request(time_left=0.5))
    dispatcher.handle_answer(0.1, answer(send, status=500))
    cancel, end = dispatcher.tick(0.6)
    assert isinstance(cancel, CancelCall)
    assert isinstance(end, DeliverAnswer) and end.answer.status == 500


def rejecting_targets(dispatcher, *, chains, calls, rejects, rank=1):
    """Replay targets that reject `rejects` of 100 calls; return the complete chains.

    Each chain makes `calls` calls in sequence and ends at the first that fails. 20
    chains start per second, and their calls are spread evenly over time.
    """
    rng, now, token = Random(5), 0.0, 0
    complete = 0
    for _ in range(chains):
        for call in range(calls):
            now += 0.05 / calls
            token += 1
            request = make_request(now, 5.0, rank=rank)._replace(
                calls_left=float(calls - call)
            )
            (action,) = dispatcher.submit(now, token, request)
            while isinstance(action, SendCall):
                if rng.randrange(100) >= rejects:
                    (action,) = dispatcher.handle_answer(now, answer(action))
                else:
                    (action,) = dispatcher.handle_refusal(
                        now, refusal(action, RefusalReason.TARGET_FULL)
                    )
            if isinstance(action, FailRequest):
                break
        else:
            complete += 1
    return complete


def test_retries_complete_the_chains_that_are_nearly_complete():
    """Targets reject 55 of 100 calls, a chain makes four: 4 of 100 succeed unaided.

    A chain that failed at its last call has cost four calls, so the tokens that the
    limit grants (0.2 per call) are worth most there. Without an order among chains a
    fifth of 100 x 1.6 calls is spent on first calls, whose chains fail later.
    """
    dispatcher = make_dispatcher(THREE)
    dispatcher.budget.relays = 14
    complete = rejecting_targets(dispatcher, chains=3_000, calls=4, rejects=55)
    unaided = 0.45**4
    assert complete / 3_000 >= 2.5 * unaided


def test_rejected_calls_are_retried_within_the_limit():
    limits = RetryLimits(ratio=0.2, window=10.0, slack=10.0)
    dispatcher = make_dispatcher(THREE, limits=limits)
    chains = 2_000
    rejecting_targets(dispatcher, chains=chains, calls=1, rejects=90)
    seconds = chains * 0.05
    assert dispatcher.budget.spent <= 0.2 * chains + limits.slack * seconds / 10.0
    assert dispatcher.budget.spent >= 0.1 * chains


def test_a_target_at_whose_address_another_answered_gets_no_further_requests():
    """Replays the seconds after a loss of power, when registrations are outdated."""
    dispatcher = make_dispatcher(TWO)
    sent_to_old = 0
    for token in range(50):
        (send,) = dispatcher.submit(0.1 * token, token, make_request(0.1 * token))
        while isinstance(send, SendCall) and send.target.name == "t-1":
            sent_to_old += 1
            (send,) = dispatcher.handle_refusal(
                0.1 * token, refusal(send, RefusalReason.WRONG_TARGET)
            )
        assert isinstance(send, SendCall) and send.target.name == "t-2"
    assert sent_to_old <= 1


def test_a_target_is_used_again_after_a_later_registration():
    dispatcher = make_dispatcher(TWO[:1])
    (send,) = dispatcher.submit(0.0, 1, make_request())
    dispatcher.handle_refusal(0.0, refusal(send, RefusalReason.WRONG_TARGET))
    (end,) = dispatcher.submit(0.1, 2, make_request())
    assert isinstance(end, FailRequest) and not end.may_have_run
    dispatcher.fleet_view.accept_target(TWO[0]._replace(sequence=2))
    (send,) = dispatcher.submit(0.2, 3, make_request())
    assert isinstance(send, SendCall)

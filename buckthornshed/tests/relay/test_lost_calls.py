"""Tests of calls whose connection has ended, and of which nothing is known yet."""

from buckthornshed.coordination.relay.dispatch_messages import FailRequest, SendCall
from buckthornshed.state.relay_settings import RetryLimits

from .makers import make_dispatcher, make_request, make_target

TARGETS = [make_target("t-1"), make_target("t-2")]
NO_RETRIES = RetryLimits(ratio=0.0, window=10.0, slack=0.0)


def send(dispatcher, token=1, **changes):
    """Submit a request; return the number of its call."""
    (action,) = dispatcher.submit(0.0, token, make_request(**changes))
    return action.message.exchange


# Guards against idempotent requests that end while their relay waits for news.
def test_an_idempotent_call_does_not_wait_while_the_budget_allows_another():
    dispatcher = make_dispatcher(TARGETS)
    actions, waiting = dispatcher.retry_lost(0.1, [send(dispatcher)])
    assert [type(each) for each in actions] == [SendCall]
    assert waiting == []


# Guards against a second run.
def test_a_call_that_may_run_once_waits():
    dispatcher = make_dispatcher(TARGETS)
    exchange = send(dispatcher, idempotent=False)
    assert dispatcher.retry_lost(0.1, [exchange]) == ([], [exchange])
    (action,) = dispatcher.handle_connection_loss(0.4, [exchange])
    assert isinstance(action, FailRequest) and action.may_have_run


def test_an_idempotent_call_waits_without_budget_and_is_sent_again_for_nothing():
    dispatcher = make_dispatcher(TARGETS, limits=NO_RETRIES)
    exchange = send(dispatcher)
    assert dispatcher.retry_lost(0.1, [exchange]) == ([], [exchange])
    (action,) = dispatcher.handle_unreceived(0.2, [exchange])
    assert isinstance(action, SendCall)


def test_a_call_that_was_not_received_has_not_run():
    dispatcher = make_dispatcher(TARGETS)
    exchange = send(dispatcher, idempotent=False, time_left=1.0)
    (action,) = dispatcher.handle_unreceived(0.9999, [exchange])
    assert isinstance(action, FailRequest) and not action.may_have_run


def test_a_call_that_has_ended_meanwhile_is_left_out():
    dispatcher = make_dispatcher(TARGETS)
    exchange = send(dispatcher)
    dispatcher.client_disconnected(0.1, 1)
    assert dispatcher.retry_lost(0.2, [exchange]) == ([], [])

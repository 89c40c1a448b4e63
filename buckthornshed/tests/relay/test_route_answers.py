"""Tests of how long a route has given no answer."""

import pytest

from buckthornshed.coordination.relay.pending_request import PendingRequest
from buckthornshed.coordination.relay.route_answers import RouteAnswers

from .makers import make_request


def pending_since(arrived, route="avail"):
    request = make_request(arrived, name=route)
    return PendingRequest(token=int(arrived), request=request, service="stalls")


@pytest.mark.parametrize(
    ("answered", "unanswered"), [(None, 8.0), (1.0, 8.0), (2.0, 0.0), (9.0, 0.0)]
)
def test_a_route_is_unanswered_since_its_oldest_request_arrived(answered, unanswered):
    answers = RouteAnswers()
    if answered is not None:
        answers.record(answered, "avail")
    pending = [pending_since(5.0), pending_since(2.0), pending_since(1.0, "book")]
    assert answers.unanswered_time(10.0, "avail", pending) == unanswered


def test_a_route_without_requests_is_not_unanswered():
    assert RouteAnswers().unanswered_time(10.0, "avail", []) == 0.0


def test_routes_that_no_longer_exist_are_forgotten():
    answers = RouteAnswers()
    answers.record(1.0, "avail")
    answers.record(1.0, "book")
    answers.retain({"book"})
    assert answers.latest.keys() == {"book"}

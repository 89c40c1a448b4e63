"""Tests of the check that an answer is whole and one's own."""

import msgspec
import pytest

from buckthornshed.load.runner import ids_until
from buckthornshed.load.verify import expected_answer, find_fault
from buckthornshed.standins.behaviour import (
    CallBelow,
    Deployment,
    RouteBehaviour,
    ServiceBehaviour,
)


def create_deployment(*, required=True):
    below = CallBelow("stables", "GET", "/stalls", required)
    booking = RouteBehaviour("POST", "/bookings", calls=(below,))
    stables = RouteBehaviour("GET", "/stalls")
    return Deployment(
        {
            "booking": ServiceBehaviour(route=(booking,)),
            "stables": ServiceBehaviour(route=(stables,)),
        }
    )


def piece(service, route, parts, request="r1"):
    return {"request": request, "service": service, "route": route, "parts": parts}


LEAF = piece("stables", "GET /stalls", [])
WHOLE = piece("booking", "POST /bookings", [LEAF])


def fault_of(content, *, required=True):
    deployment = create_deployment(required=required)
    expected = expected_answer(deployment, "booking", "POST", "/bookings/7")
    return find_fault(msgspec.json.encode(content), ["r1"], expected)


def test_whole_answer_has_no_fault():
    assert fault_of(WHOLE) is None


@pytest.mark.parametrize(
    ("request_id", "good"), [("r1.0", True), ("r1.1", True), ("r1.2", False)]
)
def test_repeat_of_a_keyed_request_may_get_the_first_answer(request_id, good):
    own_ids = ids_until("r1.1")
    fault = find_fault(msgspec.json.encode({"request": request_id}), own_ids, None)
    assert (fault is None) is good


def test_optional_piece_may_be_missing():
    content = WHOLE | {"parts": [None]}
    assert fault_of(content, required=False) is None
    assert fault_of(content) is not None


@pytest.mark.parametrize(
    "content",
    [
        [],
        WHOLE | {"request": "r2"},
        WHOLE | {"parts": [LEAF | {"request": "r2"}]},
        WHOLE | {"parts": []},
        WHOLE | {"parts": [LEAF, LEAF]},
        WHOLE | {"parts": [LEAF | {"route": "GET /prices"}]},
        WHOLE | {"parts": None},
        LEAF,
    ],
)
def test_answer_that_is_not_whole_or_not_its_own(content):
    assert fault_of(content) is not None


@pytest.mark.parametrize("cut", [0, 1, 20])
def test_truncated_answer(cut):
    body = msgspec.json.encode(WHOLE)
    assert find_fault(body[:cut], ["r1"], None) is not None


def test_route_that_is_not_known_is_checked_by_id_only():
    assert expected_answer(create_deployment(), "booking", "GET", "/x") is None
    assert find_fault(b'{"request":"r1"}', ["r1"], None) is None

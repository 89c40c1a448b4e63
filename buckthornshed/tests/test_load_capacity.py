"""Tests of what the bottleneck could carry."""

import pytest

from buckthornshed.load.capacity import possible_whole
from buckthornshed.load.plan import Phase, Plan, Traffic
from buckthornshed.standins.behaviour import (
    CallBelow,
    Deployment,
    RouteBehaviour,
    ServiceBehaviour,
)

BELOW = (CallBelow("stables", "GET", "/"),)
DEPLOYMENT = Deployment(
    {
        "booking": ServiceBehaviour(
            route=(
                RouteBehaviour("POST", "/", calls=BELOW * 2),
                RouteBehaviour("GET", "/", calls=BELOW),
                RouteBehaviour("PUT", "/"),
            )
        ),
        "stables": ServiceBehaviour(
            route=(RouteBehaviour("GET", "/", service_ms=100.0),)
        ),
    }
)
PLAN = Plan(
    rate=30.0,
    traffic=(
        Traffic("browsing", 9, "booking", "GET", "/"),
        Traffic("booking", 1, "booking", "POST", "/"),
        Traffic("other", 9, "booking", "PUT", "/"),
    ),
    phase=(Phase("calm", 1.0),),
)


@pytest.mark.parametrize(
    ("slots", "rate", "expected"),
    [
        (3, 10.0, {"booking": 10.0, "browsing": 10.0, "other": 10.0}),
        (3, 14.0, {"booking": 14.0, "browsing": 2.0, "other": 14.0}),
        (3, 20.0, {"booking": 15.0, "browsing": 0.0, "other": 20.0}),
    ],
)
def test_slots_go_to_the_lower_ranks_first(slots, rate, expected):
    found = possible_whole(
        PLAN, DEPLOYMENT, offered=[rate] * 3, service="stables", slots=slots
    )
    assert found == pytest.approx(expected)

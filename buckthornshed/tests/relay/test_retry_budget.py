"""Tests of a relay's retry budget and of its part of the slack."""

import asyncio

import pytest

from buckthornshed.coordination.relay.admission.call_graph import CallGraph
from buckthornshed.coordination.relay.admission.route_demand import (
    calls_between_services,
    calls_of_run,
)
from buckthornshed.coordination.relay.retries.retry_budget import RetryBudget
from buckthornshed.coordination.relay.retries.retry_slack import slack_parts
from buckthornshed.state.catalog import RouteDestination
from buckthornshed.state.relay_settings import RetryLimits

from .fleet import fleet_of
from .makers import make_route

RELAYS = 200
FAILING_FROM_S = 30.0


@pytest.mark.parametrize(
    ("calls", "parts"),
    [
        ({}, {}),
        ({"web": {"prices": 1.0}}, {"web": 0.25, "prices": 0.5}),
        ({"web": {"prices": 5.0}}, {"web": 0.05, "prices": 0.5}),
        ({"web": {"prices": 0.3}}, {"web": 0.25 / 0.3, "prices": 0.5}),
        (
            {"web": {"stock": 1.0, "prices": 4.0}, "stock": {"prices": 4.0}},
            {"web": 1.0 / 24, "stock": 1.0 / 24, "prices": 1.0 / 3},
        ),
        ({"web": {"web": 3.0}}, {"web": 1.0}),
    ],
)
def test_a_slack_is_divided_between_the_services_whose_retries_use_it(calls, parts):
    assert slack_parts(calls) == pytest.approx(parts)


def make_graph(calls):
    graph = CallGraph()
    graph.merge(calls)
    return graph


def test_calls_between_services_include_those_at_all_depths():
    routes = {
        "page": make_route(name="page", destinations=(RouteDestination("web", 1.0),)),
        "items": make_route(
            name="items", destinations=(RouteDestination("stock", 1.0),)
        ),
        "price": make_route(
            name="price",
            destinations=(RouteDestination("old", 1.0), RouteDestination("new", 3.0)),
        ),
    }
    graph = make_graph({"page": {"items": 2.0}, "items": {"price": 4.0, "gone": 1.0}})
    assert calls_between_services(routes=routes, graph=graph) == {
        "web": {"stock": 2.0, "old": 2.0, "new": 6.0},
        "stock": {"old": 1.0, "new": 3.0},
    }
    assert calls_of_run("page", routes=routes, graph=graph) == {"stock": 2.0}
    assert calls_of_run("price", routes=routes, graph=graph) == {}


def make_fleet(relays, **limits):
    budgets = [
        RetryBudget(limits=RetryLimits(ratio=0.2, window=10.0, **limits))
        for _ in range(relays)
    ]
    for rank, budget in enumerate(budgets):
        budget.rank, budget.relays = rank, relays
        budget.set_slack_parts({"web": 1.0})
    return budgets


def test_as_many_relays_hold_a_token_at_the_start_as_the_slack_has():
    """Replays a start of all relays at once in which the first requests fail."""
    budgets = make_fleet(RELAYS, slack=50.0)
    granted = sum(budget.spend(0.0, "web") for budget in budgets)
    assert 45 <= granted <= 55


def test_a_fleet_with_little_traffic_for_each_relay_retries_what_its_ratio_allows():
    """Replays a lasting failure of all requests, 4 for each relay in a window."""
    budgets = make_fleet(RELAYS, slack=50.0)
    granted = requests = 0
    for second in range(120):
        for rank, budget in enumerate(budgets):
            if (second + rank) % 5 < 2:
                requests += second >= FAILING_FROM_S
                budget.record_request(float(second), "web")
                if second >= FAILING_FROM_S:
                    granted += budget.spend(float(second), "web")
    assert 0.14 * requests <= granted <= 0.2 * requests + 50.0


def test_a_relay_that_may_hold_a_whole_token_keeps_it():
    (budget,) = make_fleet(1, slack=1.0)
    for request in range(20):
        budget.record_request(request * 5.0, "web")
    assert budget.spend(100.0, "web")


@pytest.mark.parametrize(("debt", "runs"), [(0, 2), (40, 1)])
def test_a_retried_run_is_not_begun_at_a_relay_whose_budget_is_in_debt(debt, runs):
    """The runs of the route make calls; the first run is reset by its target."""

    async def scenario():
        async with fleet_of(2) as fleet:
            for relay, target in zip(fleet.relays, fleet.targets, strict=True):
                relay.local_target.graph.merge({"avail": {"book": 2.0}})
                for _ in range(debt):
                    relay.budget.record_nested_retry(relay.clock(), "stalls")
                # The request itself is retried by the relay of the client.
                relay.budget.spend = lambda *_, **__: True
                target.scripts = ["reset"]
            response = await fleet.ask(fleet.relays[0])
            assert response.status == 502
            assert sum(len(target.received) for target in fleet.targets) == runs

    asyncio.run(scenario())

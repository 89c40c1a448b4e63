"""Demand of a route's requests on the services, including all downstream calls."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from ....state.catalog import Route
from ..limiter.call_times import DEFAULT_CALL_TIME_S
from .call_graph import CallGraph

__all__ = ["RouteDemand", "calls_between_services", "calls_of_run", "route_demand"]

MAX_CALL_DEPTH = 8

Routes = Mapping[str, Route]
"""The routes of a configuration by name."""


class RouteDemand(NamedTuple):
    """Demand of one request on each service, including all downstream calls.

    `slot_seconds` is the time that its calls hold slots, `calls` is their number.
    """

    slot_seconds: dict[str, float]
    calls: dict[str, float]


class ExpectedCall(NamedTuple):
    """Calls to a service on a route that one request causes on average."""

    route: str
    service: str
    times: float


def route_demand(
    name: str,
    *,
    routes: Routes,
    graph: CallGraph,
    call_times: Mapping[tuple[str, str], float],
) -> RouteDemand:
    """Return the demand of one request of a route, empty for an unknown route.

    `call_times` is the time of a call in seconds by service and route.
    """
    slot_seconds: dict[str, float] = defaultdict(float)
    calls: dict[str, float] = defaultdict(float)
    for call in _expected_calls(name, routes, graph):
        calls[call.service] += call.times
        slot_seconds[call.service] += call.times * call_times.get(
            (call.service, call.route), DEFAULT_CALL_TIME_S
        )
    return RouteDemand(dict(slot_seconds), dict(calls))


def calls_of_run(name: str, *, routes: Routes, graph: CallGraph) -> dict[str, float]:
    """Return the mean calls that a run of a route makes itself, by service."""
    calls: dict[str, float] = defaultdict(float)
    for called, count in graph.calls_per_run(name).items():
        if called in routes:
            for destination in routes[called].destinations:
                calls[destination.service] += count
    return dict(calls)


def calls_between_services(
    *, routes: Routes, graph: CallGraph
) -> dict[str, dict[str, float]]:
    """Return the most calls that a run at each service causes, by called service.

    Calls at all depths count, but not the one that the run itself serves.
    """
    between: defaultdict[str, dict[str, float]] = defaultdict(dict)
    for name in graph.calling_routes() & routes.keys():
        calls: dict[str, float] = defaultdict(float)
        for call in _expected_calls(name, routes, graph):
            if call.route != name:
                calls[call.service] += call.times
        for destination in routes[name].destinations:
            caused = between[destination.service]
            for service, count in calls.items():
                caused[service] = max(count, caused.get(service, 0.0))
    return dict(between)


def _expected_calls(
    name: str, routes: Routes, graph: CallGraph
) -> Iterator[ExpectedCall]:
    """Yield the calls that one request of a route causes, the first hop included."""
    level = {name: 1.0}
    for _ in range(MAX_CALL_DEPTH):
        next_level: dict[str, float] = defaultdict(float)
        for route, times in level.items():
            known_route = routes.get(route)
            if known_route is None:
                continue
            total = sum(destination.weight for destination in known_route.destinations)
            for destination in known_route.destinations:
                share = times * destination.weight / total
                yield ExpectedCall(route, destination.service, share)
            for called, count in graph.calls_per_run(route).items():
                next_level[called] += times * count
        if not next_level:
            return
        level = next_level

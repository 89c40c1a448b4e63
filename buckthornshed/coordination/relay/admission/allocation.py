"""Allocation of the services' capacity to the routes of client requests.

Under overload the capacity goes to the routes of the highest precedence first. A route
stays out of a service that it needs only in part: its share falls to what the scarcest
of its services can serve. Each route keeps a fraction of its fair share, the share that
it would have if all routes were treated alike.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

__all__ = ["Allocation", "Precedence", "allocate"]

NEGLIGIBLE = 1e-6


class Precedence(NamedTuple):
    """Order in which routes receive capacity; the smallest tuple comes first."""

    unlikely_to_succeed: bool
    rank: int


class Allocation(NamedTuple):
    """Admission shares of routes, and the services whose capacity they use up."""

    shares: dict[str, float]
    saturated: frozenset[str]


def allocate(
    rates: Mapping[str, float],
    precedence: Mapping[str, Precedence],
    demands: Mapping[str, Mapping[str, float]],
    capacities: Mapping[str, float],
    min_fractions: Mapping[str, float],
) -> Allocation:
    """Return the share of each route's requests that fits the capacities.

    Parameters
    ----------
    rates : mapping
        Requests per second by route.
    precedence : mapping
        Precedence by route.
    demands : mapping
        By route, the time that one request holds slots of each service, in seconds.
    capacities : mapping
        Slots of each service; a missing service is unlimited.
    min_fractions : mapping
        Minimum share of each route, as a fraction of its fair share.
    """
    remaining = dict(capacities)
    fair_shares = _fair_shares(rates, demands, capacities)
    shares = {
        route: min_fractions[route] * share for route, share in fair_shares.items()
    }
    for route, share in shares.items():
        _reserve(remaining, demands[route], rates[route] * share)
    for current in sorted(set(precedence.values())):
        group = [route for route in rates if precedence[route] == current]
        _raise_shares(shares, group, rates, demands, remaining)
    saturated = (service for service in remaining if remaining[service] <= NEGLIGIBLE)
    return Allocation(shares, frozenset(saturated))


def _fair_shares(
    rates: Mapping[str, float],
    demands: Mapping[str, Mapping[str, float]],
    capacities: Mapping[str, float],
) -> dict[str, float]:
    """Return each route's share if its services gave no route precedence."""
    demand = _total_demand(rates, rates, demands)
    satisfiable = {
        service: min(1.0, max(0.0, capacity) / demand[service])
        for service, capacity in capacities.items()
        if demand.get(service, 0.0) > 0.0
    }
    return {
        route: min(
            (satisfiable.get(service, 1.0) for service in demands[route]), default=1.0
        )
        for route in rates
    }


def _raise_shares(
    shares: dict[str, float],
    group: list[str],
    rates: Mapping[str, float],
    demands: Mapping[str, Mapping[str, float]],
    remaining: dict[str, float],
) -> None:
    """Raise the shares of a group together, each until it needs a saturated service."""
    rising = [route for route in group if shares[route] < 1.0 - NEGLIGIBLE]
    while rising:
        headroom = min(1.0 - shares[route] for route in rising)
        increase = _max_uniform_increase(rising, rates, demands, remaining, headroom)
        for route in rising:
            shares[route] += increase
            _reserve(remaining, demands[route], rates[route] * increase)
        rising = [
            route
            for route in rising
            if shares[route] < 1.0 - NEGLIGIBLE
            and not _needs_saturated(demands[route], remaining)
        ]


def _max_uniform_increase(
    group: list[str],
    rates: Mapping[str, float],
    demands: Mapping[str, Mapping[str, float]],
    remaining: Mapping[str, float],
    limit: float,
) -> float:
    """Return the largest increase, up to `limit`, that fits for the whole group."""
    for service, demand in _total_demand(group, rates, demands).items():
        if service in remaining and demand > 0.0:
            limit = min(limit, max(0.0, remaining[service]) / demand)
    return limit


def _total_demand(
    group: Iterable[str],
    rates: Mapping[str, float],
    demands: Mapping[str, Mapping[str, float]],
) -> dict[str, float]:
    """Return the slots that a group demands of each service."""
    total: dict[str, float] = defaultdict(float)
    for route in group:
        for service, demand in demands[route].items():
            total[service] += rates[route] * demand
    return total


def _reserve(
    remaining: dict[str, float], demand: Mapping[str, float], rate: float
) -> None:
    for service, amount in demand.items():
        if service in remaining:
            remaining[service] -= rate * amount


def _needs_saturated(
    demand: Mapping[str, float], remaining: Mapping[str, float]
) -> bool:
    return any(
        amount > 0.0 and remaining.get(service, 1.0) <= NEGLIGIBLE
        for service, amount in demand.items()
    )

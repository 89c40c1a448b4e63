"""Load and capacity of the whole fleet, aggregated from the reports of its relays."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ...protocol.relay_messages import Status

__all__ = [
    "Report",
    "mean_capacities",
    "offered_rates",
    "rejection_rates",
    "relative_costs",
    "serving_targets",
]


class Report(NamedTuple):
    """A relay's status and the time at which it was received, in seconds."""

    status: Status
    received_at: float


def offered_rates(statuses: Sequence[Status], *, relays: int) -> dict[str, float]:
    """Return the request rate of each route over all relays, per second."""
    rates: dict[str, float] = defaultdict(float)
    for status in statuses:
        for route, rate in status.offered.items():
            rates[route] += rate
    scale = max(1.0, relays / max(1, len(statuses)))
    return {route: rate * scale for route, rate in rates.items()}


def mean_capacities(statuses: Iterable[Status]) -> dict[str, float]:
    """Return the mean capacity of the reporting targets of each service."""
    capacities: dict[str, list[float]] = defaultdict(list)
    for status in statuses:
        if status.capacity > 0.0:
            capacities[status.service].append(status.capacity)
    return {
        service: sum(values) / len(values) for service, values in capacities.items()
    }


def serving_targets(
    statuses: Iterable[Status], usable: Mapping[str, int]
) -> dict[str, int]:
    """Return the number of targets of each service that are assumed to serve calls.

    A target without a report counts. One that reports zero capacity does not, but the
    number is at least one.
    """
    reporting: Counter[str] = Counter()
    unavailable: Counter[str] = Counter()
    for status in statuses:
        (reporting if status.capacity > 0.0 else unavailable)[status.service] += 1
    return {
        service: max(
            reporting[service], usable.get(service, 0) - unavailable[service], 1
        )
        for service in usable.keys() | reporting.keys()
    }


def rejection_rates(statuses: Iterable[Status]) -> dict[str, float]:
    """Return the mean rejection rate of the targets of each service."""
    rejection_rates: dict[str, list[float]] = defaultdict(list)
    for status in statuses:
        if status.capacity > 0.0:
            rejection_rates[status.service].append(status.rejection_rate)
    return {
        service: sum(values) / len(values)
        for service, values in rejection_rates.items()
    }


def relative_costs(statuses: Iterable[Status]) -> dict[tuple[str, str], float]:
    """Return the mean relative cost that targets report, by service and route."""
    costs: dict[tuple[str, str], list[float]] = defaultdict(list)
    for status in statuses:
        for route, cost in status.relative_costs.items():
            costs[(status.service, route)].append(cost)
    return {key: sum(values) / len(values) for key, values in costs.items()}

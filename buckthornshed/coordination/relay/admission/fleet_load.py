"""Load and capacity of the whole fleet, aggregated from the reports of its relays."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ....protocol.relay_messages import Status
from ..limiter.call_times import MIN_CALL_TIME_S

__all__ = [
    "Report",
    "call_times",
    "mean_slots",
    "offered_rates",
    "rejection_rates",
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


def mean_slots(statuses: Iterable[Status]) -> dict[str, float]:
    """Return the mean of the usable slots of each service's reporting targets."""
    slots: dict[str, list[float]] = defaultdict(list)
    for status in statuses:
        if status.slots > 0.0:
            slots[status.service].append(status.slots)
    return {service: sum(values) / len(values) for service, values in slots.items()}


def call_times(statuses: Iterable[Status]) -> dict[tuple[str, str], float]:
    """Return the time that a call holds a slot, in seconds, by service and route.

    The slots of all targets over this time are the calls that they complete together
    per second, so it is the harmonic mean over the targets, weighted by slots.
    """
    slots: dict[tuple[str, str], float] = defaultdict(float)
    calls_per_second: dict[tuple[str, str], float] = defaultdict(float)
    for status in statuses:
        if status.slots <= 0.0:
            continue
        for route, seconds in status.call_times.items():
            key = (status.service, route)
            slots[key] += status.slots
            calls_per_second[key] += status.slots / max(seconds, MIN_CALL_TIME_S)
    return {key: slots[key] / calls_per_second[key] for key in slots}


def serving_targets(
    statuses: Iterable[Status], usable: Mapping[str, int]
) -> dict[str, float]:
    """Return the number of targets of each service that are assumed to serve calls.

    A target without a report serves with the probability of those that report. One that
    reports no usable slots does not, but the number is at least one if any target can
    be reached.
    """
    reporting: Counter[str] = Counter()
    unavailable: Counter[str] = Counter()
    for status in statuses:
        (reporting if status.slots > 0.0 else unavailable)[status.service] += 1
    serving: dict[str, float] = {}
    for service in usable.keys() | reporting.keys():
        reachable = usable.get(service, 0)
        missing = float(unavailable[service])
        if reporting[service]:
            known = reporting[service] + unavailable[service]
            missing *= max(1.0, reachable / known)
        serving[service] = max(
            reporting[service], reachable - missing, min(1, reachable)
        )
    return serving


def rejection_rates(statuses: Iterable[Status]) -> dict[str, float]:
    """Return the mean rejection rate of the targets of each service."""
    rejection_rates: dict[str, list[float]] = defaultdict(list)
    for status in statuses:
        if status.slots > 0.0:
            rejection_rates[status.service].append(status.rejection_rate)
    return {
        service: sum(values) / len(values)
        for service, values in rejection_rates.items()
    }

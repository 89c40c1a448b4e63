"""Upper bound on the goodput that the bottleneck service of a deployment allows."""

import math
from collections.abc import Mapping, Sequence

from ..standins.behaviour import Deployment, find_route
from .plan import Plan
from .verify import ExpectedAnswer, expected_answer

__all__ = ["attainable_goodput"]

MS = 1e-3


def slot_seconds(
    deployment: Deployment, expected: ExpectedAnswer | None, service: str
) -> float:
    """Return the mean slot time of ``service`` per complete answer, seconds."""
    if expected is None:
        return 0.0
    total = sum(slot_seconds(deployment, part, service) for part in expected.parts)
    if expected.service == service:
        method, path = expected.route.split(" ", 1)
        route = find_route(deployment.service[service], method, path)
        if route is not None:
            total += route.service_ms * MS * math.exp(route.sigma**2 / 2)
    return total


def attainable_goodput(
    plan: Plan,
    deployment: Deployment,
    *,
    offered: Sequence[float],
    service: str,
    slots: float,
) -> Mapping[str, float]:
    """Return the goodput that ``slots`` allow, in requests per second by purpose.

    Slots are assigned to the requests in the order of their priority ranks.

    Parameters
    ----------
    plan : Plan
        The plan with the request types.
    deployment : Deployment
        Service times of the targets.
    offered : sequence of float
        Arrival rate of each request type, per second.
    service : str
        The bottleneck service.
    slots : float
        Total slots of its instances, divided by the slowdown of the service.

    Returns
    -------
    mapping
        Goodput of each purpose, in the order of ranks: the offered rate, or less
        if the remaining slots do not suffice.
    """
    goodput: dict[str, float] = {}
    slots_left = float(slots)
    kinds = zip(plan.traffic, offered, strict=True)
    for kind, rate in sorted(kinds, key=lambda pair: pair[0].rank):
        expected = expected_answer(deployment, kind.service, kind.method, kind.path)
        seconds_per_request = slot_seconds(deployment, expected, service)
        served = (
            min(rate, slots_left / seconds_per_request) if seconds_per_request else rate
        )
        slots_left -= served * seconds_per_request
        goodput[kind.purpose] = goodput.get(kind.purpose, 0.0) + served
    return goodput

"""What the bottleneck of a deployment could carry, by priority."""

import math
from collections.abc import Mapping

from ..standins.behaviour import Deployment, find_route
from .plan import Plan
from .verify import Expected, expected_answer

__all__ = ["possible_whole"]

MS = 1e-3


def busy_s(deployment: Deployment, expected: Expected | None, service: str) -> float:
    """Return the mean slot seconds of ``service`` that one whole answer takes."""
    if expected is None:
        return 0.0
    total = sum(busy_s(deployment, part, service) for part in expected.parts)
    if expected.service == service:
        method, path = expected.route.split(" ", 1)
        route = find_route(deployment.service[service], method, path)
        if route is not None:
            total += route.service_ms * MS * math.exp(route.sigma**2 / 2)
    return total


def possible_whole(
    plan: Plan, deployment: Deployment, *, service: str, slots: int, factor: float
) -> Mapping[str, float]:
    """Return whole requests a second by purpose that ``slots`` could carry.

    Parameters
    ----------
    plan : Plan
        Rates and kinds.
    deployment : Deployment
        Service times.
    service : str
        The bottleneck, whose own calls below are left out.
    slots : int
        Slots of all its instances, divided by its slowness.
    factor : float
        Factor on the plan's rate.

    Returns
    -------
    mapping
        The offered rate of each purpose, cut where slots run out, in the order
        of ranks.
    """
    weights = sum(kind.weight for kind in plan.traffic)
    possible: dict[str, float] = {}
    left = float(slots)
    for kind in sorted(plan.traffic, key=lambda one: one.rank):
        expected = expected_answer(deployment, kind.service, kind.method, kind.path)
        needed = busy_s(deployment, expected, service)
        rate = plan.rate * factor * kind.weight / weights
        if needed > 0.0:
            rate = min(rate, left / needed)
            left -= rate * needed
        possible[kind.purpose] = possible.get(kind.purpose, 0.0) + rate
    return possible

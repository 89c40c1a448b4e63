"""When requests of each route were last answered by a target."""

import math
from collections.abc import Iterable

from .pending_request import PendingRequest

__all__ = ["RouteAnswers"]


class RouteAnswers:
    """Knows for how long a route has given no answer although requests are pending.

    Attributes
    ----------
    latest : dict
        Time of the latest answer by route, in seconds.
    """

    def __init__(self) -> None:
        self.latest: dict[str, float] = {}

    def record(self, now: float, route: str) -> None:
        """Record an answer of a target."""
        self.latest[route] = now

    def retain(self, names: set[str]) -> None:
        """Forget all routes that are not in `names`."""
        for route in self.latest.keys() - names:
            del self.latest[route]

    def unanswered_time(
        self, now: float, route: str, pending: Iterable[PendingRequest]
    ) -> float:
        """Return for how long requests of a route have got no answer, in seconds.

        It is the age of the oldest one of `pending`, the requests of all routes, if no
        other was answered since its arrival.
        """
        arrivals = (
            each.request.arrived for each in pending if each.request.route.name == route
        )
        oldest = min(arrivals, default=now)
        return 0.0 if self.latest.get(route, -math.inf) >= oldest else now - oldest

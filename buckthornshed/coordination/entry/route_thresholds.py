"""Propagation of admission thresholds from downstream services to the first hop.

With each answer a node advertises the maximum of its own threshold and those of the
downstream routes that calls of the same route use. Its caller does the same, so the
threshold of a bottleneck deep in the call graph reaches the first hop, which sheds
the calls there. A downstream route that few calls use is left out, since its
threshold would refuse the other calls without need.
"""

from dataclasses import dataclass, field

from ...state.table import BoundedTable
from .thresholds import DownstreamThresholds

__all__ = ["RouteThresholds"]

USAGE_TTL_S = 60.0
"""Seconds after its last call for which the usage of a route is kept."""

COMMON_ROUTE_SHARE = 0.5
"""Share of the calls of a route that must use a downstream route for it to count."""

COUNT_LIMIT = 200.0
"""Number of calls at which the counts of a route are halved."""


@dataclass
class RouteUsage:
    """Number of calls of a route, and of those that used each downstream route."""

    calls: float = 0.0
    downstream_calls: dict[str, float] = field(default_factory=dict)

    def record(self, routes: set[str]) -> None:
        """Count a call and the downstream routes that it used."""
        self.calls += 1.0
        for route in routes:
            self.downstream_calls[route] = self.downstream_calls.get(route, 0.0) + 1.0
        if self.calls >= COUNT_LIMIT:
            self.calls /= 2
            self.downstream_calls = {
                name: used / 2 for name, used in self.downstream_calls.items()
            }

    def common_routes(self) -> list[str]:
        """Return the downstream routes that enough calls of the route use."""
        min_calls = COMMON_ROUTE_SHARE * self.calls
        return [
            name for name, used in self.downstream_calls.items() if used >= min_calls
        ]


class RouteThresholds:
    """The threshold that a node advertises for each of its routes.

    Parameters
    ----------
    downstream : DownstreamThresholds
        Thresholds that downstream targets reported.
    entries : int
        Maximum number of routes; for further ones the node advertises its own
        threshold alone.
    """

    def __init__(self, *, downstream: DownstreamThresholds, entries: int) -> None:
        self.downstream = downstream
        self.routes: BoundedTable[str, RouteUsage] = BoundedTable(entries=entries)

    def record_call(self, now: float, route: str, downstream_routes: set[str]) -> None:
        """Record that a finished call of ``route`` used ``downstream_routes``."""
        self.routes.expire(now)
        usage = self.routes.get(route)
        if usage is None and self.routes.full:
            return
        usage = usage or RouteUsage()
        usage.record(downstream_routes)
        self.routes.put(route, usage, expires=now + USAGE_TTL_S)

    def advertised_threshold(self, now: float, route: str, own: int) -> int:
        """Return the threshold for ``route``; ``own`` is that of this node."""
        usage = self.routes.get(route)
        if usage is None:
            return own
        downstream = (
            self.downstream.route_threshold(now, name) for name in usage.common_routes()
        )
        return max(own, *downstream, 0)

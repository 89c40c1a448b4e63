"""Thresholds along a chain: what a call meets below decides at the first hop.

A node answers a call with the greater of its own threshold and those of the
services that calls of the same path use. The caller does the same, so that the
threshold of a deep bottleneck reaches the first hop. A service that few calls of a
path use is left out, as the others would be refused for nothing.
"""

from dataclasses import dataclass, field

from ...state.table import BoundedTable
from .thresholds import DownstreamThresholds

__all__ = ["PathThresholds"]

KEPT_S = 60.0
"""Seconds after its last call for which the services of a path are remembered."""

USUAL_SHARE = 0.5
"""Least part of the calls of a path that use a service which counts for it."""

COUNT_LIMIT = 200.0
"""Number of calls at which the counts of a path are halved."""


@dataclass
class PathUse:
    """Number of calls of a path, and of those that used each service."""

    calls: float = 0.0
    services: dict[str, float] = field(default_factory=dict)

    def count(self, services: set[str]) -> None:
        """Count a call and the services that it used."""
        self.calls += 1.0
        for service in services:
            self.services[service] = self.services.get(service, 0.0) + 1.0
        if self.calls >= COUNT_LIMIT:
            self.calls /= 2
            self.services = {name: used / 2 for name, used in self.services.items()}

    def usual(self) -> list[str]:
        """Return the services that the usual call of the path uses."""
        least = USUAL_SHARE * self.calls
        return [name for name, used in self.services.items() if used >= least]


class PathThresholds:
    """The threshold that a node publishes for each path of its calls.

    Parameters
    ----------
    downstream : DownstreamThresholds
        What was learned of the services below.
    entries : int
        Paths remembered at once; a further one publishes the own threshold alone.
    """

    def __init__(self, *, downstream: DownstreamThresholds, entries: int) -> None:
        self.downstream = downstream
        self.paths: BoundedTable[str, PathUse] = BoundedTable(entries=entries)

    def ended(self, now: float, path: str, services: set[str]) -> None:
        """Note that a call of ``path`` that ran to its end used ``services``."""
        self.paths.expire(now)
        use = self.paths.get(path)
        if use is None and self.paths.full:
            return
        use = use or PathUse()
        use.count(services)
        self.paths.put(path, use, expires=now + KEPT_S)

    def published(self, now: float, path: str, own: int) -> int:
        """Return the threshold for calls of ``path``, with ``own`` that of the node."""
        use = self.paths.get(path)
        if use is None:
            return own
        below = (self.downstream.of_service(now, name) for name in use.usual())
        return max(own, *below, 0)

"""Admission of whole requests at their first hop.

Answers a load of requests that each need many calls of one short service deep below:
a request whose last call is refused has wasted all the others. Each target's relay
moves a level by the work that it is asked for and by how long calls wait; all relays
hear the levels. A new request is admitted if its rank stands below the least level of
all services that it needs, directly or through calls that were seen below its
routes. Within one rank a hash of the request decides, so a level between two ranks
admits a part. No rank is shut out whole: each keeps a small part, so that no kind of
request starves.
"""

import zlib
from collections.abc import Iterable
from typing import NamedTuple

from ...state.catalog import Catalog, Route
from .call_graph import CallGraph

__all__ = ["Admission", "PressureLevel", "ReportedLevel"]

LOAD_AIM = 0.97
"""Asked work as a part of the room that is aimed at."""
WAIT_AIM_S = 0.02
"""Wait of a call that a whole chain can bear at each of its hops."""
LOAD_GAIN = 0.8
"""Change of the level a second for work asked beyond the aim by the whole room."""
WAIT_GAIN = 0.05
"""Change of the level a second when calls wait for the time that is aimed at."""
WAIT_RATIO_MAX = 6.0
REJECT_GAIN = 1.5
"""Change of the level a second for a target that rejects all calls."""
REJECT_SMOOTHING = 0.02
RISE_MAX = 0.6
"""Greatest rise of the level a second."""
SMOOTHING_S = 0.1
LEAST_SHARE = 0.3
"""Part of each rank that is admitted however short the room, above level 0."""
LEVEL_LEAST = -0.9
REPORT_AGE_S = 1.5
"""Age from which a reported level no longer holds."""
HASHES = 2**32


class ReportedLevel(NamedTuple):
    """A level and when it was reported, in seconds."""

    level: float
    reported_at: float


class PressureLevel:
    """The level of one target, moved by its relay.

    A level of `ranks` admits all requests, a level between two ranks admits part of
    the lesser one; below 0 even the least shares shrink.
    """

    def __init__(self) -> None:
        self.ranks = 1.0
        self.level = 1.0
        self.asked = 0.0
        self.load = 0.0
        self.rejecting = 0.0
        self.moved_at: float | None = None

    @property
    def told(self) -> float:
        """The level for other relays; infinite while nothing is to be refused."""
        return self.level if self.level < self.ranks else float("inf")

    def set_ranks(self, ranks: int) -> None:
        """Take the number of ranks that requests have."""
        at_top = self.level >= self.ranks
        self.ranks = float(max(1, ranks))
        self.level = self.ranks if at_top else min(self.level, self.ranks)

    def asked_for(self, work: float) -> None:
        """Count a call that arrived, by the slot seconds that it usually takes."""
        self.asked += work

    def served(self, *, rejected: bool) -> None:
        """Note whether the target ran a call or rejected it."""
        self.rejecting += REJECT_SMOOTHING * (float(rejected) - self.rejecting)

    def move(self, now: float, room: int, wait: float) -> None:
        """Move the level; `wait` is how long a call waits now, seconds."""
        if self.moved_at is None:
            self.moved_at = now
            self.asked = 0.0
            return
        elapsed = now - self.moved_at
        if elapsed <= 0.0:
            return
        weight = min(1.0, elapsed / SMOOTHING_S)
        load = self.asked / (elapsed * room)
        self.load += weight * (load - self.load)
        self.asked = 0.0
        self.moved_at = now
        late = min(wait / WAIT_AIM_S, WAIT_RATIO_MAX)
        change = LOAD_GAIN * (LOAD_AIM - self.load) - WAIT_GAIN * late
        change = min(change, RISE_MAX) - REJECT_GAIN * self.rejecting
        moved = self.level + change * min(elapsed, SMOOTHING_S)
        self.level = min(self.ranks, max(LEVEL_LEAST, moved))


class Admission:
    """Decides at the first hop which requests may begin.

    Parameters
    ----------
    graph : CallGraph
        Which routes call which.
    """

    def __init__(self, *, graph: CallGraph) -> None:
        self.graph = graph
        self.levels: dict[str, dict[str, ReportedLevel]] = {}
        self.catalog: Catalog | None = None
        self.needed: dict[str, frozenset[str]] = {}
        self.graph_version = -1

    def configure(self, catalog: Catalog) -> None:
        """Take a configuration."""
        self.catalog = catalog
        self.needed.clear()

    def report(self, now: float, service: str, target: str, level: float) -> None:
        """Take the level that a target's relay reported."""
        self.levels.setdefault(service, {})[target] = ReportedLevel(level, now)

    def forget(self, target: str) -> None:
        """Drop the level of a target that is gone."""
        for levels in self.levels.values():
            levels.pop(target, None)

    def share(self, now: float, route: Route, service: str) -> float:
        """Return the part of a route's requests that is admitted, 0 to 1."""
        level = min(
            (self.service_level(now, name) for name in self.services(route, service)),
            default=float("inf"),
        )
        if level < 0.0:
            return LEAST_SHARE * (1.0 + level)
        return min(1.0, max(level - route.rank, LEAST_SHARE))

    def admits(self, now: float, route: Route, service: str, request_id: bytes) -> bool:
        """Whether a new request of a route may begin."""
        share = self.share(now, route, service)
        return share >= 1.0 or zlib.crc32(request_id) < share * HASHES

    def service_level(self, now: float, service: str) -> float:
        """Return the mean level of a service's targets, of those known to be alive."""
        fresh = [
            reported.level
            for reported in self.levels.get(service, {}).values()
            if now - reported.reported_at < REPORT_AGE_S
        ]
        return sum(fresh) / len(fresh) if fresh else float("inf")

    def services(self, route: Route, service: str) -> frozenset[str]:
        """Return the services that a request of a route needs, `service` first."""
        if self.graph.version != self.graph_version:
            self.graph_version = self.graph.version
            self.needed.clear()
        below = self.needed.get(route.name)
        if below is None:
            below = frozenset(self._below(route.name, {route.name}))
            self.needed[route.name] = below
        return below | {service}

    def _below(self, route_name: str, seen: set[str]) -> Iterable[str]:
        for called in self.graph.called_by(route_name):
            if called in seen:
                continue
            seen.add(called)
            yield from self._parts(called)
            yield from self._below(called, seen)

    def _parts(self, route_name: str) -> Iterable[str]:
        if self.catalog is None:
            return
        for routes in self.catalog.routes.values():
            for route in routes:
                if route.name == route_name:
                    for part in route.parts:
                        yield part.service

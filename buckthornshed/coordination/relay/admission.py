"""Admission of whole requests at their first hop.

Answers a load of requests that each need many calls of one short service deep below:
a request whose last call is refused has wasted all the others. Each relay tells the
others what its clients ask for, what its target can carry and which calls runs make.
From that each relay works out the same shares: the room of every service is given to
the most important requests first, a request taking the room of all the calls that it
will make. No kind of request is shut out whole: each keeps a part of the share that it
would have if all were treated alike, so repeats that swell the load of lesser requests
take no more room from the important ones. Requests that can hardly succeed, as targets
reject most of the many calls that they make, come after all others.
"""

import math
import zlib
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from ...protocol.relay_messages import Status
from ...state.catalog import Catalog, Route
from .call_graph import CallGraph
from .served import ServedShares

__all__ = ["Admission", "OfferedRates"]

LEAST_OF_EVEN = 0.35
"""Least share of a kind of request, as a part of what equal treatment would give it."""
LEAST_OF_EVEN_STARVING = 0.85
"""The same for a kind that is served far less often than all requests are."""
SERVED_LITTLE = 0.32
"""Served part, as a part of that of all requests, below which the least share rises."""
SERVED_LEAST = 0.24
"""Served part at which the least share is greatest."""
SUCCESS_LEAST = 0.3
"""Chance of success below which requests come after all others."""
REPORT_AGE_S = 2.0
"""Age from which a report no longer counts."""
RATE_WINDOW_S = 0.5
"""Time constant of the rates of offered requests."""
DEPTH_MAX = 8
NEGLIGIBLE = 1e-6
HASHES = 2**32
HASH_FACTOR = 2_654_435_761


class Report(NamedTuple):
    """A status and when it came, in seconds."""

    status: Status
    at: float


class RouteNeed(NamedTuple):
    """What one request asks of each service, its calls included.

    `room` is in calls of the service's usual mix, `calls` in calls of any size.
    """

    room: dict[str, float]
    calls: dict[str, float]


class Precedence(NamedTuple):
    """Which routes are served first: the least, field by field."""

    hopeless: bool
    rank: int


class OfferedRates:
    """New requests a second by route, as this relay sees them."""

    def __init__(self) -> None:
        self.counts: defaultdict[str, int] = defaultdict(int)
        self.rates: dict[str, float] = {}
        self.rolled_at: float | None = None

    def count(self, route: str) -> None:
        """Count a new request."""
        self.counts[route] += 1

    def roll(self, now: float) -> dict[str, float]:
        """Take the counts since the last call into the rates and return these."""
        elapsed = 0.0 if self.rolled_at is None else now - self.rolled_at
        self.rolled_at = now
        if elapsed > 0.0:
            weight = min(1.0, elapsed / RATE_WINDOW_S)
            for route in self.rates.keys() | self.counts.keys():
                known = self.rates.get(route, 0.0)
                rate = self.counts.get(route, 0) / elapsed
                self.rates[route] = known + weight * (rate - known)
            self.rates = {r: rate for r, rate in self.rates.items() if rate > 0.05}
        self.counts.clear()
        return dict(self.rates)


class Admission:
    """Decides at the first hop which requests may begin.

    Parameters
    ----------
    graph : CallGraph
        Which routes call which, and how often.

    Attributes
    ----------
    shares : dict
        Part of each route's requests that is admitted; 1 for routes that are missing.
    full : frozenset of str
        Services whose room is used up by what is admitted.
    """

    def __init__(self, *, graph: CallGraph) -> None:
        self.graph = graph
        self.reports: dict[str, Report] = {}
        self.mean_rooms: dict[str, float] = {}
        self.routes: dict[str, Route] = {}
        self.shares: dict[str, float] = {}
        self.full: frozenset[str] = frozenset()
        self.served = ServedShares()

    def configure(self, catalog: Catalog) -> None:
        """Take a configuration."""
        self.routes = {
            route.name: route for routes in catalog.routes.values() for route in routes
        }

    def report(self, now: float, instance: str, status: Status) -> None:
        """Take what a relay reported."""
        self.reports[instance] = Report(status, now)

    def admits(self, route: Route, request_id: bytes) -> bool:
        """Whether a new request of a route may begin."""
        share = self.shares.get(route.name, 1.0)
        return share >= 1.0 or _hash(request_id) < share * HASHES

    def compute(self, now: float, usable: Mapping[str, int]) -> None:
        """Work out the shares from the reports that are fresh.

        `usable` is the number of targets of each service that take work. Relays beside
        them that are not heard count like the mean of those that are, both for what
        they offer and for their room; a service of which none is heard keeps the room
        that it had.
        """
        fresh = [r.status for r in self.reports.values() if now - r.at < REPORT_AGE_S]
        offered = _offered(fresh, relays=sum(usable.values()))
        self.mean_rooms |= _mean_rooms(fresh)
        carrying = _carrying(fresh, usable)
        rooms = {
            service: mean * carrying[service]
            for service, mean in self.mean_rooms.items()
            if service in carrying
        }
        work = _relative_work(fresh)
        found = {route: self._need(route, work) for route in offered}
        rejecting = _rejecting(fresh)
        needs = {route: need.room for route, need in found.items() if need.calls}
        rates = {route: offered[route] for route in needs}
        precedence = {
            route: Precedence(
                hopeless=_success_chance(found[route].calls, rejecting) < SUCCESS_LEAST,
                rank=self.routes[route].rank,
            )
            for route in needs
        }
        self.served.fade(now)
        least = {route: _least_of_even(self.served.relative(route)) for route in needs}
        allocation = allocate(rates, precedence, needs, rooms, least)
        self.shares = allocation.shares
        self.full = allocation.full

    def _need(self, route: str, work: Mapping[tuple[str, str], float]) -> RouteNeed:
        """Return what a request of a route asks; nothing if the route is not known."""
        room: dict[str, float] = defaultdict(float)
        calls: dict[str, float] = defaultdict(float)
        level = {route: 1.0}
        for _ in range(DEPTH_MAX):
            below: dict[str, float] = defaultdict(float)
            for name, times in level.items():
                found = self.routes.get(name)
                if found is None:
                    continue
                total = sum(part.weight for part in found.parts)
                for part in found.parts:
                    share = times * part.weight / total
                    calls[part.service] += share
                    room[part.service] += share * work.get((part.service, name), 1.0)
                for called, count in self.graph.calls_of(name).items():
                    below[called] += times * count
            if not below:
                break
            level = below
        return RouteNeed(dict(room), dict(calls))


class Allocation(NamedTuple):
    """Shares of routes, and the services whose room they use up."""

    shares: dict[str, float]
    full: frozenset[str]


def allocate(
    rates: Mapping[str, float],
    precedence: Mapping[str, Precedence],
    needs: Mapping[str, Mapping[str, float]],
    rooms: Mapping[str, float],
    least: Mapping[str, float],
) -> Allocation:
    """Return the share of each route's requests that the rooms can carry.

    Parameters
    ----------
    rates : mapping
        Requests a second by route.
    precedence : mapping
        Precedence by route.
    needs : mapping
        By route, the room that one request takes of each service.
    rooms : mapping
        Room a second of each service; a service that is missing has no bound.
    least : mapping
        Least share of each route, as a part of what equal treatment would give it.
    """
    left = dict(rooms)
    even = _even_shares(rates, needs, rooms)
    shares = {route: least[route] * share for route, share in even.items()}
    for route, share in shares.items():
        _take(left, needs[route], rates[route] * share)
    for step in sorted(set(precedence.values())):
        group = [route for route in rates if precedence[route] == step]
        _raise(shares, group, rates, needs, left)
    full = (service for service in left if left[service] <= NEGLIGIBLE)
    return Allocation(shares, frozenset(full))


def _least_of_even(served: float) -> float:
    """Return the least share of a kind of request by how often it is served.

    `served` is its served part as a part of that of all requests.
    """
    known = min(SERVED_LITTLE, max(SERVED_LEAST, served))
    hunger = (SERVED_LITTLE - known) / (SERVED_LITTLE - SERVED_LEAST)
    return LEAST_OF_EVEN + hunger * (LEAST_OF_EVEN_STARVING - LEAST_OF_EVEN)


def _even_shares(
    rates: Mapping[str, float],
    needs: Mapping[str, Mapping[str, float]],
    rooms: Mapping[str, float],
) -> dict[str, float]:
    """Return each route's share if the services that it needs preferred none."""
    asked = _asked(rates, rates, needs)
    fits = {
        service: min(1.0, max(0.0, room) / asked[service])
        for service, room in rooms.items()
        if asked.get(service, 0.0) > 0.0
    }
    return {
        route: min((fits.get(service, 1.0) for service in needs[route]), default=1.0)
        for route in rates
    }


def _raise(
    shares: dict[str, float],
    group: list[str],
    rates: Mapping[str, float],
    needs: Mapping[str, Mapping[str, float]],
    left: dict[str, float],
) -> None:
    """Raise the shares of a group together, each until it meets a full service."""
    rising = [route for route in group if shares[route] < 1.0 - NEGLIGIBLE]
    while rising:
        lowest = min(1.0 - shares[route] for route in rising)
        more = _uniform_share(rising, rates, needs, left, lowest)
        for route in rising:
            shares[route] += more
            _take(left, needs[route], rates[route] * more)
        rising = [
            route
            for route in rising
            if shares[route] < 1.0 - NEGLIGIBLE and not _meets_full(needs[route], left)
        ]


def _hash(request_id: bytes) -> int:
    """Return an evenly spread number below `HASHES`, the same at each relay."""
    # The checksum alone keeps the pattern of identifiers that count up.
    return zlib.crc32(request_id) * HASH_FACTOR % HASHES


def _uniform_share(
    group: list[str],
    rates: Mapping[str, float],
    needs: Mapping[str, Mapping[str, float]],
    left: Mapping[str, float],
    most: float,
) -> float:
    """Return the greatest share, up to `most`, that fits for all of a group."""
    for service, work in _asked(group, rates, needs).items():
        if service in left and work > 0.0:
            most = min(most, max(0.0, left[service]) / work)
    return most


def _asked(
    group: Iterable[str],
    rates: Mapping[str, float],
    needs: Mapping[str, Mapping[str, float]],
) -> dict[str, float]:
    """Return the room a second that all requests of a group ask of each service."""
    asked: dict[str, float] = defaultdict(float)
    for route in group:
        for service, need in needs[route].items():
            asked[service] += rates[route] * need
    return asked


def _take(left: dict[str, float], needs: Mapping[str, float], rate: float) -> None:
    for service, need in needs.items():
        if service in left:
            left[service] -= rate * need


def _meets_full(needs: Mapping[str, float], left: Mapping[str, float]) -> bool:
    return any(
        need > 0.0 and left.get(service, 1.0) <= NEGLIGIBLE
        for service, need in needs.items()
    )


def _offered(statuses: Sequence[Status], *, relays: int) -> dict[str, float]:
    """Return the requests a second of all relays, by route."""
    rates: dict[str, float] = defaultdict(float)
    for status in statuses:
        for route, rate in status.offered.items():
            rates[route] += rate
    scale = max(1.0, relays / max(1, len(statuses)))
    return {route: rate * scale for route, rate in rates.items()}


def _mean_rooms(statuses: Iterable[Status]) -> dict[str, float]:
    """Return the room of a target of each service, the mean of those that report."""
    found: dict[str, list[float]] = defaultdict(list)
    for status in statuses:
        if status.room > 0.0:
            found[status.service].append(status.room)
    return {service: sum(rooms) / len(rooms) for service, rooms in found.items()}


def _carrying(statuses: Iterable[Status], usable: Mapping[str, int]) -> dict[str, int]:
    """Return how many targets of each service carry calls, so far as is known.

    A target without a report counts as one that does, one that reports no room does
    not, unless no other is left.
    """
    reporting: Counter[str] = Counter()
    closed: Counter[str] = Counter()
    for status in statuses:
        (reporting if status.room > 0.0 else closed)[status.service] += 1
    return {
        service: max(reporting[service], usable.get(service, 0) - closed[service], 1)
        for service in usable.keys() | reporting.keys()
    }


def _rejecting(statuses: Iterable[Status]) -> dict[str, float]:
    """Return the part of its calls that each service's targets reject, their mean."""
    found: dict[str, list[float]] = defaultdict(list)
    for status in statuses:
        if status.room > 0.0:
            found[status.service].append(status.rejecting)
    return {service: sum(parts) / len(parts) for service, parts in found.items()}


def _success_chance(
    calls: Mapping[str, float], rejecting: Mapping[str, float]
) -> float:
    """Return the chance that no call fails, each being sent to two targets at most."""
    chance = 1.0
    for service, count in calls.items():
        chance *= math.pow(1.0 - rejecting.get(service, 0.0) ** 2, count)
    return chance


def _relative_work(statuses: Iterable[Status]) -> dict[tuple[str, str], float]:
    """Return each route's work at each service, the mean of its targets' reports."""
    sums: dict[tuple[str, str], list[float]] = defaultdict(list)
    for status in statuses:
        for route, work in status.work.items():
            sums[(status.service, route)].append(work)
    return {key: sum(found) / len(found) for key, found in sums.items()}

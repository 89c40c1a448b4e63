"""Admission control of client requests at their first hop.

A client request can need many calls of one overloaded service far downstream. If its
last call is refused, the work of all its other calls is wasted, so overload is shed at
the first hop. Each relay reports the request rates of its clients, the slots and call
times of its target and the calls that each route makes. From these reports every relay
computes the same admission shares: the slots of each service go to the requests of the
highest priority first, and a request holds a slot for the time of each of its calls.

No route is shut out entirely. Each keeps a fraction of the share that it would have if
all routes were treated alike, so that retries which inflate the rate of low-priority
requests take no more capacity from requests of high priority. Requests that are
unlikely to succeed, because targets reject many of the calls that they make, come after
all others.
"""

import math
import zlib
from collections.abc import Mapping
from typing import NamedTuple

from ....protocol.relay_messages import RefusalReason, Status
from ....state.catalog import Catalog, Route
from ....state.workspaces import combined_rank
from .allocation import Precedence, allocate
from .call_graph import CallGraph
from .demand_class import DemandClass, class_name, parse_class
from .fleet_load import (
    Report,
    call_times,
    mean_slots,
    offered_rates,
    rejection_rates,
    serving_targets,
)
from .outages import Outages
from .route_demand import RouteDemand, route_demand
from .success_rates import SuccessRates

__all__ = ["AdmissionController"]

MIN_FAIR_SHARE_FRACTION = 0.35
"""Minimum admission share of a route, as a fraction of its fair share."""
MIN_FAIR_SHARE_FRACTION_STARVED = 0.85
"""The same fraction for a route whose success rate is far below that of all routes."""
STARVATION_START_RATIO = 0.32
"""Relative success rate of a route below which its minimum share rises."""
STARVATION_FULL_RATIO = 0.24
"""Relative success rate of a route at which its minimum share is greatest."""
MIN_SUCCESS_PROBABILITY = 0.3
"""Probability of success below which a route's requests come after all others."""
MAX_REPORT_AGE_S = 2.0
"""Age from which a report is ignored."""
ALWAYS_NEEDED_CALLS = 0.99
"""Mean calls of a service from which all requests of a route need it."""
NOT_ADMITTED_RETRY_FRACTION = 0.35
"""Retry-After of a request that is shed, as a fraction of the objective."""
HASH_RANGE = 2**32
HASH_FACTOR = 2_654_435_761


class Rejection(NamedTuple):
    """A client request that is not admitted; `retry_after` is in seconds."""

    reason: RefusalReason
    retry_after: float


class AdmissionController:
    """Decides at the first hop which client requests are admitted.

    Parameters
    ----------
    graph : CallGraph
        Downstream calls of each route.

    Attributes
    ----------
    shares : dict
        Fraction of the requests that is admitted, by class; 1 for missing ones.
    classes : dict
        The classes that are offered, by name.
    shed_routes : set of str
        Routes with a class of which not all requests are admitted.
    saturated : frozenset of str
        Services whose capacity the admitted requests use up.
    outages : Outages
        Services that cannot be reached.
    missing_services : dict
        By route, a service that all its requests need and that cannot be reached, or
        None. Filled when a route is first used after an update of the shares.
    """

    def __init__(self, *, graph: CallGraph) -> None:
        self.graph = graph
        self.reports: dict[str, Report] = {}
        self.mean_slots: dict[str, float] = {}
        self.call_times: dict[tuple[str, str], float] = {}
        self.routes: dict[str, Route] = {}
        self.shares: dict[str, float] = {}
        self.classes: dict[str, DemandClass] = {}
        self.shed_routes: set[str] = set()
        self.saturated: frozenset[str] = frozenset()
        self.outages = Outages()
        self.missing_services: dict[str, str | None] = {}
        self.success_rates = SuccessRates()

    def configure(self, catalog: Catalog) -> None:
        """Replace the known routes by those of a configuration."""
        self.routes = {
            route.name: route for routes in catalog.routes.values() for route in routes
        }

    def report(self, now: float, instance: str, status: Status) -> None:
        """Store the latest status of the relay on an instance."""
        self.reports[instance] = Report(status, now)

    def reject(
        self, now: float, route: Route, request_id: bytes, priority: int | None = None
    ) -> Rejection | None:
        """Return why a new client request is not admitted, or None if it is.

        `priority` is that of its workspace, None where there are none.
        """
        missing = self._missing_service(route.name)
        if missing is not None:
            retry_after = self.outages.retry_after(now, missing, route.objective)
            return Rejection(RefusalReason.UNREACHABLE, retry_after)
        if self.admits(route, request_id, priority):
            return None
        retry_after = route.objective * NOT_ADMITTED_RETRY_FRACTION
        return Rejection(RefusalReason.NOT_ADMITTED, retry_after)

    def admits(
        self, route: Route, request_id: bytes, priority: int | None = None
    ) -> bool:
        """Return whether the admission share of a class admits a request."""
        share = self.shares.get(class_name(route.name, priority), 1.0)
        return share >= 1.0 or _hash(request_id) < share * HASH_RANGE

    def sheds(self, route: str, service: str) -> bool:
        """Return whether requests of a route, or others for a service, are shed."""
        return service in self.saturated or route in self.shed_routes

    def update_shares(
        self,
        now: float,
        usable: Mapping[str, int],
        unreachable: frozenset[str] = frozenset(),
    ) -> None:
        """Compute the admission shares from the recent reports.

        `usable` is the number of targets of each service that accept work and can be
        reached, `unreachable` the names of those that cannot. A relay without a recent
        report is assumed to have the mean request rate and the mean slots of those that
        report. A service without any report keeps its last known slots and call times.
        """
        statuses = self._recent_statuses(now, unreachable)
        offered = offered_rates(statuses, relays=sum(usable.values()))
        self.mean_slots |= mean_slots(statuses)
        self.call_times |= call_times(statuses)
        self.outages.update(now, (s for s in self.mean_slots if not usable.get(s)))
        self.missing_services.clear()
        self.classes = {name: parse_class(name, self.routes) for name in offered}
        demands = {
            name: self._route_demand(each.route)
            for name, each in self.classes.items()
            if each.route in self.routes and self._missing_service(each.route) is None
        }
        self.success_rates.decay(now)
        allocation = allocate(
            {name: offered[name] for name in demands},
            self._precedence(demands, rejection_rates(statuses)),
            {name: demand.slot_seconds for name, demand in demands.items()},
            self._capacities(serving_targets(statuses, usable)),
            {name: self._min_fraction(self.classes[name].route) for name in demands},
        )
        self.shares = allocation.shares
        self.shed_routes = {
            self.classes[name].route
            for name, share in self.shares.items()
            if share < 1.0
        }
        self.saturated = allocation.saturated

    def _recent_statuses(self, now: float, unreachable: frozenset[str]) -> list[Status]:
        """Return the recent statuses of relays whose targets can be reached."""
        self.reports = {
            instance: report
            for instance, report in self.reports.items()
            if now - report.received_at < MAX_REPORT_AGE_S
        }
        return [
            report.status
            for report in self.reports.values()
            if report.status.target not in unreachable
        ]

    def _capacities(self, serving: Mapping[str, float]) -> dict[str, float]:
        """Return the slots of each service that has reported any."""
        return {
            service: mean * serving[service]
            for service, mean in self.mean_slots.items()
            if service in serving
        }

    def _precedence(
        self, demands: Mapping[str, RouteDemand], rejections: Mapping[str, float]
    ) -> dict[str, Precedence]:
        """Return the order in which classes receive capacity."""
        return {
            name: Precedence(
                unlikely_to_succeed=_success_probability(demand.calls, rejections)
                < MIN_SUCCESS_PROBABILITY,
                rank=self._rank(self.classes[name]),
            )
            for name, demand in demands.items()
        }

    def _rank(self, demand_class: DemandClass) -> int:
        route_rank = self.routes[demand_class.route].rank
        if demand_class.priority is None:
            return route_rank
        return combined_rank(demand_class.priority, route_rank)

    def _min_fraction(self, route: str) -> float:
        return _min_fair_share_fraction(self.success_rates.relative_rate(route))

    def _missing_service(self, route: str) -> str | None:
        """Return a service that all requests of a route need and that is unreachable.

        A route that is split over several services can do without one of them.
        """
        if not self.outages.started:
            return None
        if route not in self.missing_services:
            calls = self._route_demand(route).calls
            self.missing_services[route] = next(
                (
                    service
                    for service in self.outages.started
                    if calls.get(service, 0.0) >= ALWAYS_NEEDED_CALLS
                ),
                None,
            )
        return self.missing_services[route]

    def _route_demand(self, route: str) -> RouteDemand:
        return route_demand(
            route, routes=self.routes, graph=self.graph, call_times=self.call_times
        )


def _min_fair_share_fraction(relative_success_rate: float) -> float:
    """Return the minimum share of a route, as a fraction of its fair share.

    `relative_success_rate` is the success rate of the route divided by that of all
    requests. The fraction rises linearly as the rate falls from
    `STARVATION_START_RATIO` to `STARVATION_FULL_RATIO`.
    """
    clamped = min(
        STARVATION_START_RATIO, max(STARVATION_FULL_RATIO, relative_success_rate)
    )
    starvation = (STARVATION_START_RATIO - clamped) / (
        STARVATION_START_RATIO - STARVATION_FULL_RATIO
    )
    return MIN_FAIR_SHARE_FRACTION + starvation * (
        MIN_FAIR_SHARE_FRACTION_STARVED - MIN_FAIR_SHARE_FRACTION
    )


def _hash(request_id: bytes) -> int:
    """Return a uniform hash below `HASH_RANGE`, the same at every relay."""
    # CRC-32 alone preserves the pattern of sequential identifiers.
    return zlib.crc32(request_id) * HASH_FACTOR % HASH_RANGE


def _success_probability(
    calls: Mapping[str, float], rejection_rates: Mapping[str, float]
) -> float:
    """Return the probability that no call fails, each having at most two attempts."""
    probability = 1.0
    for service, count in calls.items():
        probability *= math.pow(1.0 - rejection_rates.get(service, 0.0) ** 2, count)
    return probability

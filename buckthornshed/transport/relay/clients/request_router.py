"""Matching of complete requests to routes, before they are dispatched."""

import math
from collections.abc import Callable
from typing import NamedTuple

from ....coordination.relay.dispatch_messages import RoutedRequest
from ....coordination.relay.fleet.fleet_view import FleetView
from ....coordination.relay.placement.load_balancer import LoadBalancer
from ....coordination.relay.runs.parent_runs import (
    NO_CALLER,
    Caller,
    CallOrigin,
    Run,
)
from ....coordination.workspaces.identity import Access, identify
from ....protocol.header_values import decode_value, host_name
from ....protocol.http import Request, get_header
from ....protocol.relay_messages import HeaderNames
from ....state.catalog import Catalog, Route
from ....state.workspaces import combined_rank
from ...logs import log_event
from ..counts import RelayCounts
from ..target.local_target import LocalTarget
from .responses import request_head

__all__ = ["RequestRouter", "UnroutedRequest"]

NO_CATALOG_RETRY_AFTER_S = 0.5
DRAINING_RETRY_AFTER_S = 0.2
UNAUTHORIZED_STATUS = 401
NO_ROUTE_STATUS = 404
UNUSABLE_STATUS = 503
UNUSABLE_RETRY_AFTER_S = 1.0
LATE_CALL_STATUS = 503
ENDED_PARENT_RETRY_AFTER_S = 0.5
CALL_TIME_FACTOR = 1.25
"""Factor on the mean time of a call, for one that has to end before the process."""
UNFINISHED_FACTOR = 2.0
"""Expected time of a call over that for which its route has given no answer."""
CLIENT_TIMEOUT_MARGIN_S = 0.03
"""Time before the end of a client's own timeout at which it gets its final answer."""


class UnroutedRequest(NamedTuple):
    """A request that the relay answers itself; `retry_after` is in seconds."""

    status: int
    retry_after: float | None


class RequestRouter:
    """Matches requests of clients and nested requests of the target to routes.

    Parameters
    ----------
    names : HeaderNames
        Header names of the deployment.
    fleet_view : FleetView
        Configuration in force.
    local_target : LocalTarget
        Knows the running calls that nested requests belong to.
    counts : RelayCounts
        Counters of the relay.
    service : str
        Service of the local target.
    load_balancer : LoadBalancer
        Knows how long calls take.
    unanswered_time : callable
        Returns for how long requests of a route have got no answer, in seconds.

    Attributes
    ----------
    refusing : bool
        Whether new requests of clients are refused, as the process is about to end.
    ends_at : float or None
        Time in a planned stop at which all answers must have come. Requests end before
        it, and those of clients that would probably last longer are refused.
    """

    def __init__(
        self,
        *,
        names: HeaderNames,
        fleet_view: FleetView,
        local_target: LocalTarget,
        counts: RelayCounts,
        service: str,
        load_balancer: LoadBalancer,
        unanswered_time: Callable[[float, str], float],
    ) -> None:
        self.names = names
        self.unanswered_time = unanswered_time
        self.load_balancer = load_balancer
        self.ends_at: float | None = None
        self.fleet_view = fleet_view
        self.local_target = local_target
        self.counts = counts
        self.calling_service = service.encode()
        self.refusing = False

    def request_id(self, request: Request) -> bytes:
        """Return the identifier of a request, empty if it has none."""
        return get_header(request.headers, self.names.request_id) or b""

    def route(self, now: float, request: Request) -> RoutedRequest | UnroutedRequest:
        """Return a request with its route, or the response if it cannot be sent."""
        catalog = self.fleet_view.catalog
        if catalog is None:
            return UnroutedRequest(503, NO_CATALOG_RETRY_AFTER_S)
        request_id = self.request_id(request)
        host = host_name(decode_value(get_header(request.headers, b"host") or b""))
        route = catalog.match(host, decode_value(request.path))
        if route is None:
            self._log_missing_route(now, request_id, host, catalog)
            return UnroutedRequest(NO_ROUTE_STATUS, None)
        keys = [v for n, v in request.headers if n == self.names.credential]
        caller = self._find_caller(now, request_id, catalog, keys)
        needs_key = bool(catalog.workspaces) and not route.public
        is_unnamed = needs_key and caller.origin is CallOrigin.UNNAMED
        if needs_key and caller.origin is CallOrigin.ENDED:
            return self._refuse_late_call(request_id, route)
        if caller.parent is None and not is_unnamed:
            return self._of_client(now, request, route, catalog, keys)
        if not route.destinations:
            return self._refuse_unusable(request_id, route, "unusable_route")
        if caller.parent is not None:
            return self._named_call(now, request, route, caller.parent)
        return self._unnamed_call(now, request, route)

    def _find_caller(
        self, now: float, request_id: bytes, catalog: Catalog, keys: list[bytes]
    ) -> Caller:
        """Return which run of the local target may have made a request.

        One with a key is a client's, whatever its identifier looks like.
        """
        if keys and catalog.workspaces:
            return NO_CALLER
        return self.local_target.parent_runs.find(now, request_id)

    def _log_missing_route(
        self, now: float, request_id: bytes, host: str, catalog: Catalog
    ) -> None:
        """Log what decided that a request has no route, and how old that is."""
        news = self.fleet_view.news
        log_event(
            "route_missing",
            request=request_id.decode("latin-1"),
            status=NO_ROUTE_STATUS,
            reason="no_route",
            host=host,
            host_routes=len(catalog.routes.get(host, ())),
            generation=str(catalog.generation),
            source=news.origin.source or "-",
            age=news.origin.age(now),
            confirmed_by=news.confirmation.source or "-",
            confirmed_age=news.confirmation.age(now),
        )

    def _outlasts_process(self, now: float, route: Route) -> bool:
        """Return whether a new request might not end before the process does."""
        if self.refusing or self.ends_at is None:
            return self.refusing
        usable = self.fleet_view.usable
        call_time = self.load_balancer.longest_call_time(
            route.name,
            [
                target
                for destination in route.destinations
                for target in usable.get(destination.service, ())
            ],
            route.objective,
        )
        unanswered = UNFINISHED_FACTOR * self.unanswered_time(now, route.name)
        return now + CALL_TIME_FACTOR * max(call_time, unanswered) > self.ends_at

    def _of_client(
        self,
        now: float,
        request: Request,
        route: Route,
        catalog: Catalog,
        keys: list[bytes],
    ) -> RoutedRequest | UnroutedRequest:
        """Return a client's request, for the workspace that holds its key."""
        request_id = self.request_id(request)
        identity = identify(catalog, route, keys)
        if identity.access is Access.UNUSABLE:
            return self._refuse_unusable(request_id, route, "unusable_key")
        if not identity.authorized:
            return self._reject_unidentified(request_id, route, keys)
        if not route.destinations:
            return self._refuse_unusable(request_id, route, "unusable_route")
        if self._outlasts_process(now, route):
            # The request might not complete before the process ends.
            log_event("request_refused_stopping", request=request_id.decode("latin-1"))
            return UnroutedRequest(503, DRAINING_RETRY_AFTER_S)
        if not catalog.workspaces:
            return self._routed(now, request, route, rank=route.rank, workspace="")
        workspace = identity.workspace
        priority = None if workspace is None else workspace.rank
        if priority is None:
            priority = route.rank
        routed = self._routed(
            now,
            request,
            route,
            rank=combined_rank(priority, route.rank),
            workspace="" if workspace is None else workspace.name,
        )
        return routed._replace(priority=priority)

    def _named_call(
        self, now: float, request: Request, route: Route, run: Run
    ) -> RoutedRequest:
        """Return a call of the local target, for the workspace of its parent."""
        parent, graph = run.message, self.local_target.graph
        graph.record_call(parent.request_id, route.name)
        routed = self._routed(
            now, request, route, rank=parent.rank, workspace=parent.workspace
        )
        return routed._replace(
            nested=True,
            parent=parent.request_id,
            deadline=min(routed.deadline, run.deadline),
            is_retry=parent.is_retry,
            calls_left=graph.calls_left(parent.request_id, parent.route, route.name),
        )

    def _unnamed_call(
        self, now: float, request: Request, route: Route
    ) -> RoutedRequest:
        """Return a call of the local target that names no run as its parent.

        It gets no workspace, as this would be a guess that targets rely on. What else
        its parent would give it is taken from all runs in progress.
        """
        self.counts.unnamed_calls += 1
        runs = self.local_target.parent_runs
        routed = self._routed(
            now, request, route, rank=runs.highest_rank(), workspace=""
        )
        return routed._replace(
            nested=True,
            deadline=min(routed.deadline, runs.latest_deadline()),
            is_retry=runs.next_is_retry(),
        )

    def _refuse_late_call(self, request_id: bytes, route: Route) -> UnroutedRequest:
        """Refuse what may be a call whose parent has ended.

        Nobody waits for it, but it is not to be told that it was not allowed.
        """
        self.counts.requests[(route.name, "parent_ended")] += 1
        log_event(
            "call_refused_late",
            request=request_id.decode("latin-1"),
            route=route.name,
            status=LATE_CALL_STATUS,
            reason="parent_ended",
        )
        return UnroutedRequest(LATE_CALL_STATUS, ENDED_PARENT_RETRY_AFTER_S)

    def _routed(
        self, now: float, request: Request, route: Route, *, rank: int, workspace: str
    ) -> RoutedRequest:
        catalog = self.fleet_view.catalog
        deadline = now + self._timeout(request, route)
        if self.ends_at is not None:
            # A target stops at the deadline, so its answer comes in time.
            deadline = min(deadline, self.ends_at)
        has_keys = bool(workspace) or bool(catalog and catalog.workspaces)
        return RoutedRequest(
            route=route,
            request_id=self.request_id(request),
            head=request_head(
                request,
                self.names,
                self.calling_service,
                workspace if has_keys else None,
            ),
            body=request.body,
            arrived=now,
            deadline=deadline,
            rank=rank,
            workspace=workspace,
        )

    def _refuse_unusable(
        self, request_id: bytes, route: Route, reason: str
    ) -> UnroutedRequest:
        """Refuse a request whose route or key the configuration leaves unclear.

        It has not run, and may once the configuration has been corrected.
        """
        self.counts.requests[(route.name, reason)] += 1
        log_event(
            "request_unusable",
            request=request_id.decode("latin-1"),
            route=route.name,
            status=UNUSABLE_STATUS,
            reason=reason,
        )
        return UnroutedRequest(UNUSABLE_STATUS, UNUSABLE_RETRY_AFTER_S)

    def _reject_unidentified(
        self, request_id: bytes, route: Route, keys: list[bytes]
    ) -> UnroutedRequest:
        """Return the response to a request without a key that a workspace holds."""
        self.counts.requests[(route.name, "unauthorized")] += 1
        log_event(
            "request_unauthorized",
            request=request_id.decode("latin-1"),
            route=route.name,
            status=UNAUTHORIZED_STATUS,
            reason="unauthorized",
            keys=len(keys),
        )
        return UnroutedRequest(UNAUTHORIZED_STATUS, None)

    def _timeout(self, request: Request, route: Route) -> float:
        """Return the time that a request has, in seconds."""
        client_timeout = _parse_milliseconds(
            get_header(request.headers, self.names.deadline)
        )
        if client_timeout is None:
            return route.timeout
        return min(route.timeout, client_timeout - CLIENT_TIMEOUT_MARGIN_S)


def _parse_milliseconds(value: bytes | None) -> float | None:
    """Return a header value in milliseconds as seconds; None if it is no number."""
    if value is None:
        return None
    try:
        seconds = float(value) / 1e3
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None

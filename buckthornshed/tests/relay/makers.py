"""Factories of small objects for the tests of relays."""

from random import Random

from buckthornshed.coordination.relay.admission.call_graph import CallGraph
from buckthornshed.coordination.relay.admission.controller import AdmissionController
from buckthornshed.coordination.relay.crashes.crash_suspects import CrashSuspects
from buckthornshed.coordination.relay.crashes.fingerprints import request_fingerprint
from buckthornshed.coordination.relay.dispatch_messages import RoutedRequest
from buckthornshed.coordination.relay.dispatcher import Dispatcher
from buckthornshed.coordination.relay.fleet.fleet_view import FleetView
from buckthornshed.coordination.relay.limiter.concurrency_limiter import LimiterCall
from buckthornshed.coordination.relay.placement.load_balancer import (
    Availability,
    LoadBalancer,
)
from buckthornshed.coordination.relay.retries.retry_budget import RetryBudget
from buckthornshed.protocol.relay_messages import CallMessage
from buckthornshed.state.catalog import Catalog, Limits, Route, RouteDestination, Target
from buckthornshed.state.generation import Generation
from buckthornshed.state.relay_settings import RetryLimits


def make_target(name="t-1", **changes):
    target = Target(
        name=name,
        started=1_000,
        sequence=1,
        service="stalls",
        address=f"10.0.0.{name[-1]}:9000",
        failure_domain="a",
        slots=10,
        draining=False,
        warmup_left=0.0,
    )
    return target._replace(**changes)


def make_route(name="avail", **changes):
    route = Route(
        name=name,
        host="stalls.example",
        prefix="/avail/",
        destinations=(RouteDestination("stalls", 1.0),),
        idempotent=True,
        timeout=1.0,
        objective=0.5,
        attempts=2,
        rank=1,
    )
    return route._replace(**changes)


def make_catalog(generation=1, routes=()):
    routes = routes or (make_route(),)
    return Catalog(
        generation=Generation(generation),
        routes={"stalls.example": tuple(routes)},
        services=("stalls",),
        limits=Limits(),
    )


def make_message(exchange=1, **changes):
    fields = {
        "exchange": exchange,
        "target": "t-1",
        "route": "avail",
        "rank": 1,
        "idempotent": True,
        "is_retry": False,
        "time_left": 1.0,
        "request_id": b"r-1",
        "head": b"GET /avail/1 HTTP/1.1\r\nhost: stalls.example\r\n",
        "body": b"",
    }
    return CallMessage(**(fields | changes))


def make_call(key=1, *, now=0.0, time_left=1.0, **changes):
    message = make_message(exchange=key, time_left=time_left, **changes)
    return LimiterCall(key=key, message=message, deadline=now + time_left, arrived=now)


def make_request(now=0.0, time_left=1.0, *, nested=False, is_retry=False, **changes):
    route = make_route(**changes)
    return RoutedRequest(
        route=route,
        rank=route.rank,
        nested=nested,
        is_retry=is_retry,
        request_id=b"r-1",
        head=b"GET /avail/1 HTTP/1.1\r\n",
        body=b"",
        arrived=now,
        deadline=now + time_left,
    )


def make_dispatcher(
    targets=(), *, unreachable=(), draining=(), silent=(), limits=None, seed=1
):
    fleet_view = FleetView()
    for target in targets:
        fleet_view.accept_target(target)
    rng = Random(seed)
    limits = limits or RetryLimits(ratio=0.2, window=10.0, slack=49.0)
    return Dispatcher(
        fleet_view=fleet_view,
        load_balancer=LoadBalancer(failure_domain="a", rng=rng),
        budget=RetryBudget(limits=limits),
        admission=AdmissionController(graph=CallGraph()),
        availability=lambda target: (
            Availability.DOWN
            if target.name in unreachable
            else Availability.SILENT
            if target.name in silent
            else Availability.DRAINING
            if target.name in draining
            else Availability.UP
        ),
        suspects=CrashSuspects(),
        fingerprint=lambda head, body, workspace: request_fingerprint(
            head, body, b"credential", workspace
        ),
        rng=rng,
    )

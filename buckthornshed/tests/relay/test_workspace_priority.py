"""The priority of workspaces goes before that of routes."""

import pytest

from buckthornshed.coordination.relay.admission.call_graph import CallGraph
from buckthornshed.coordination.relay.admission.controller import AdmissionController
from buckthornshed.coordination.relay.admission.demand_class import (
    DemandClass,
    class_name,
    parse_class,
)
from buckthornshed.coordination.relay.limiter.concurrency_limiter import (
    ConcurrencyLimiter,
)
from buckthornshed.protocol.relay_messages import Status
from buckthornshed.state.workspaces import combined_rank, route_part

from .makers import make_call, make_catalog, make_route

CALL_TIME_S = 0.02
BOOK = make_route("book", rank=0)
BROWSE = make_route("browse", rank=2, prefix="/browse/")


def admission_of(offered, *, calls_per_second):
    """Return the admission at a service that all requests need."""
    admission = AdmissionController(graph=CallGraph())
    admission.configure(make_catalog(routes=(BOOK, BROWSE)))
    call_times = {"book": CALL_TIME_S, "browse": CALL_TIME_S}
    slots = calls_per_second * CALL_TIME_S
    status = Status("stalls", "t-1", 0.5, slots, call_times, offered)
    admission.report(0.0, "i-1", status)
    admission.update_shares(0.1, {"stalls": 1})
    return admission


def test_requests_of_workspaces_of_high_priority_are_refused_last():
    offered = {"book@0": 50.0, "browse@0": 50.0, "book@1": 50.0, "browse@1": 50.0}
    shares = admission_of(offered, calls_per_second=160.0).shares
    assert shares["book@0"] == shares["browse@0"] == pytest.approx(1.0)
    assert shares["book@1"] > shares["browse@1"]
    served = sum(50.0 * share for share in shares.values())
    assert served == pytest.approx(160.0)


def test_the_route_decides_between_workspaces_of_the_same_priority():
    offered = {"book@1": 100.0, "browse@1": 100.0}
    shares = admission_of(offered, calls_per_second=150.0).shares
    assert shares["book@1"] == pytest.approx(1.0)
    assert shares["browse@1"] == pytest.approx(0.5)


def test_a_request_is_admitted_by_the_share_of_its_class():
    offered = {"browse@0": 50.0, "browse@1": 100.0}
    admission = admission_of(offered, calls_per_second=100.0)
    ids = [b"r-%d" % number for number in range(1000)]
    admitted = {
        priority: sum(admission.admits(BROWSE, each, priority) for each in ids) / 1000
        for priority in (0, 1)
    }
    assert admitted[0] == 1.0
    assert admitted[1] == pytest.approx(admission.shares["browse@1"], abs=0.05)
    assert admission.sheds("browse", "other")
    assert not admission.sheds("book", "other")


def test_queued_calls_start_in_order_of_workspace_and_route():
    limiter = ConcurrencyLimiter()
    limiter.set_slots(1)
    started: list = []

    def run(actions):
        started.extend(action.call.key for action in actions)

    run(limiter.submit(0.0, make_call("running")))
    for priority, route_rank in ((1, 0), (0, 2), (1, 2), (0, 0)):
        rank = combined_rank(priority, route_rank)
        run(limiter.submit(0.0, make_call((priority, route_rank), rank=rank)))
    now = 0.0
    while limiter.running:
        now += 0.01
        key = next(each for each in reversed(started) if each in limiter.calls)
        run(
            limiter.finish(
                now, key, succeeded=True, answered=True, connection_failed=False
            )
        )
    assert [each for each in started if each != "running"] == [
        (0, 0),
        (0, 2),
        (1, 0),
        (1, 2),
    ]


def test_combined_ranks_keep_the_rank_of_the_route():
    assert combined_rank(0, 99) < combined_rank(1, 0)
    assert route_part(combined_rank(3, 2)) == 2


@pytest.mark.parametrize(
    ("route", "priority"), [("book", None), ("book", 0), ("a@b", 12), ("a@b", None)]
)
def test_names_of_classes_are_parsed(route, priority):
    expected = DemandClass(route, priority)
    assert parse_class(class_name(route, priority), {route}) == expected


def test_a_route_whose_name_looks_like_a_class_is_a_route():
    assert parse_class("book@1", {"book@1"}) == DemandClass("book@1", None)

"""Tests of requests that need a service which cannot be reached."""

import pytest

from buckthornshed.coordination.relay.admission.call_graph import CallGraph
from buckthornshed.coordination.relay.admission.controller import AdmissionController
from buckthornshed.coordination.relay.admission.outages import Outages
from buckthornshed.protocol.relay_messages import RefusalReason, Status
from buckthornshed.state.catalog import RouteDestination

from .makers import make_catalog, make_route

BOARD = make_route("board", destinations=(RouteDestination("board", 1.0),))
ROSTER = make_route("roster", destinations=(RouteDestination("roster", 1.0),))
SPLIT = make_route(
    "split",
    destinations=(RouteDestination("board", 9.0), RouteDestination("roster", 1.0)),
)
ROUTES = (BOARD, ROSTER, SPLIT)
ALL_USABLE = {"board": 2, "roster": 2}
CUT_OFF = {"board": 2, "roster": 0}


def make_admission():
    """Return the admission control of a deployment where `board` calls `roster`."""
    graph = CallGraph()
    graph.merge({"board": {"roster": 1.0}})
    admission = AdmissionController(graph=graph)
    admission.configure(make_catalog(routes=ROUTES))
    report(admission, 0.0, "board", "roster")
    admission.update_shares(0.0, ALL_USABLE)
    return admission


def report(admission, now, *services):
    for service in services:
        times = {"board": 0.1, "roster": 0.02, "split": 0.1}
        status = Status(service, f"t-{service}", 0.1, 20.0, times, {"board": 10.0})
        admission.report(now, f"i-{service}", status)


def partition(admission, begin, end):
    """Cut off `roster` from `begin` to `end`, with statuses every 0.2 s."""
    now = begin
    while now < end:
        report(admission, now, "board")
        admission.update_shares(now, CUT_OFF, frozenset({"t-roster"}))
        now += 0.2


def test_requests_that_need_an_unreachable_service_are_refused_before_they_run():
    admission = make_admission()
    assert admission.reject(0.0, BOARD, b"r-1") is None
    partition(admission, 1.0, 1.1)
    rejection = admission.reject(1.1, BOARD, b"r-1")
    assert rejection is not None
    assert rejection.reason is RefusalReason.UNREACHABLE
    assert not rejection.reason.may_have_run


def test_requests_are_admitted_once_the_service_is_back():
    admission = make_admission()
    partition(admission, 1.0, 3.0)
    report(admission, 3.0, "board", "roster")
    admission.update_shares(3.0, ALL_USABLE)
    assert admission.reject(3.0, BOARD, b"r-1") is None


def test_a_service_that_never_reported_blocks_nothing():
    admission = AdmissionController(graph=CallGraph())
    admission.configure(make_catalog(routes=ROUTES))
    admission.update_shares(0.0, CUT_OFF)
    assert admission.reject(0.0, ROSTER, b"r-1") is None


def test_a_route_split_over_services_is_not_blocked_by_one_of_them():
    admission = make_admission()
    admission.graph.reported.clear()
    partition(admission, 1.0, 1.1)
    assert admission.reject(1.1, SPLIT, b"r-1") is None
    assert admission.reject(1.1, ROSTER, b"r-1") is not None


def test_reports_of_unreachable_targets_do_not_count():
    admission = make_admission()
    report(admission, 1.0, "board", "roster")
    times = {"roster": 0.02}
    for number in range(3):
        status = Status("roster", f"t-{number}", 0.1, 20.0, times, {"roster": 900.0})
        admission.report(1.0, f"i-{number}", status)
    cut_off = frozenset({"t-0", "t-1", "t-2"})
    admission.update_shares(1.0, {"board": 1, "roster": 1}, cut_off)
    assert admission.shares == {"board": pytest.approx(1.0)}


@pytest.mark.parametrize(
    ("age", "retry_after"), [(0.1, 0.7), (1.0, 1.0), (2.0, 2.0), (20.0, 3.4)]
)
def test_clients_return_later_the_longer_an_outage_lasts(age, retry_after):
    outages = Outages()
    outages.update(5.0, ["roster"])
    outages.update(5.0 + age, ["roster"])
    assert outages.retry_after(5.0 + age, "roster", 2.0) == pytest.approx(retry_after)


def test_more_clients_return_after_a_partition_than_after_a_fixed_time():
    """Replays a partition of 6.5 s whose clients may repeat a request once."""
    objective, fixed_retry_after, begin, end = 1.5, 0.7, 10.0, 16.5
    outages = Outages()
    arrivals = [begin + 0.1 * number for number in range(65)]
    returned = fixed = 0
    for now in arrivals:
        outages.update(now, ["roster"])
        returned += now + outages.retry_after(now, "roster", objective) >= end
        fixed += now + fixed_retry_after >= end
    assert returned >= 3 * fixed

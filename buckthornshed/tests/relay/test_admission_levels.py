"""Admission of whole requests, also under replayed load in virtual time."""

import math

from buckthornshed.coordination.relay.admission import Admission, PressureLevel
from buckthornshed.coordination.relay.call_graph import CallGraph
from buckthornshed.state.catalog import RoutePart

from .makers import make_catalog, make_route

NOTICES = make_route("notices", rank=2, parts=(RoutePart("board", 1.0),))
BOOK = make_route("book", rank=0, parts=(RoutePart("booking", 1.0),))
SLOTS = make_route("slots", rank=2, parts=(RoutePart("farrier", 1.0),))
ROSTER = make_route("roster", rank=1, parts=(RoutePart("farrier", 1.0),))
CAPACITY = make_route("capacity", rank=1, parts=(RoutePart("stables", 1.0),))
ROUTES = (NOTICES, BOOK, SLOTS, ROSTER, CAPACITY)


def make_admission():
    graph = CallGraph()
    graph.take({"notices": ["roster"], "book": ["roster"], "roster": ["capacity"]})
    admission = Admission(graph=graph)
    admission.configure(make_catalog(routes=ROUTES))
    return admission


def admitted(admission, now, route, count=2_000):
    service = route.parts[0].service
    return sum(
        admission.admits(now, route, service, b"request-%d" % number)
        for number in range(count)
    )


def test_a_short_service_deep_below_refuses_the_least_important_at_the_first_hop():
    admission = make_admission()
    admission.report(0.0, "stables", "t-1", 2.4)
    assert admitted(admission, 0.1, BOOK) == 2_000
    assert 700 <= admitted(admission, 0.1, NOTICES) <= 900
    assert admitted(admission, 0.1, SLOTS) == 2_000


def test_the_same_request_meets_the_same_decision_at_each_relay():
    decisions = []
    for _ in range(2):
        admission = make_admission()
        admission.report(0.0, "stables", "t-1", 2.5)
        decisions.append(
            [admission.admits(0.1, NOTICES, "board", b"%d" % n) for n in range(100)]
        )
    assert decisions[0] == decisions[1]


def test_no_rank_is_shut_out_whole():
    admission = make_admission()
    admission.report(0.0, "stables", "t-1", 0.0)
    assert admitted(admission, 0.1, NOTICES) >= 500


def test_an_old_level_no_longer_holds():
    admission = make_admission()
    admission.report(0.0, "stables", "t-1", 0.5)
    assert admission.service_level(5.0, "stables") == math.inf
    assert admitted(admission, 5.0, NOTICES) == 2_000


def run_surge(*, seconds, offered, capacity, cost):
    """Return the part of the offered work that is admitted in each second.

    `offered` is rank 2 work a second as a part of the capacity; what is admitted asks
    for its work 0.3 s later.
    """
    level = PressureLevel()
    level.set_ranks(3)
    now, step = 0.0, 0.025
    delayed = [0.0] * int(0.3 / step)
    backlog = 0.0
    shares, waits = [], []
    while now < seconds:
        share = max(0.3, min(1.0, level.level - 2.0))
        delayed.append(offered * capacity * step * share)
        asked = delayed.pop(0)
        level.asked_for(asked)
        backlog = max(0.0, backlog + asked - capacity * step)
        now += step
        level.move(now, capacity, backlog / capacity)
        shares.append(share)
        waits.append(backlog / capacity)
    return shares, waits


def test_under_a_lasting_surge_the_room_is_used_and_waits_stay_short():
    shares, waits = run_surge(seconds=20.0, offered=1.8, capacity=14, cost=1.0)
    settled = shares[len(shares) // 2 :]
    used = 1.8 * sum(settled) / len(settled)
    assert 0.85 <= used <= 1.0
    assert max(waits[len(waits) // 2 :]) <= 0.1


def test_in_calm_nothing_is_refused():
    shares, waits = run_surge(seconds=10.0, offered=0.85, capacity=14, cost=1.0)
    assert set(shares) == {1.0}
    assert max(waits) == 0.0


def test_a_graph_learns_what_usual_runs_call_and_leaves_out_rare_calls():
    graph = CallGraph()
    for number in range(40):
        graph.called("notices", "roster")
        if number % 10 == 0:
            graph.called("notices", "rare")
        graph.run_ended("notices")
    assert graph.called_by("notices") == {"roster"}
    assert graph.called_by("book") == frozenset()

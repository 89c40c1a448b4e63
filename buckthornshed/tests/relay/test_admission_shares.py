"""Admission of whole requests, also under replayed load in virtual time."""

import pytest

from buckthornshed.coordination.relay.admission import (
    Admission,
    OfferedRates,
    Precedence,
    allocate,
)
from buckthornshed.coordination.relay.call_graph import CallGraph
from buckthornshed.coordination.relay.room import RoomEstimate
from buckthornshed.protocol.relay_messages import Status
from buckthornshed.state.catalog import RoutePart

from .makers import make_catalog, make_route

NOTICES = make_route("notices", rank=2, parts=(RoutePart("board", 1.0),))
BOOK = make_route("book", rank=0, parts=(RoutePart("booking", 1.0),))
SLOTS = make_route("slots", rank=2, parts=(RoutePart("farrier", 1.0),))
ROSTER = make_route("roster", rank=1, parts=(RoutePart("farrier", 1.0),))
CAPACITY = make_route("capacity", rank=1, parts=(RoutePart("stables", 1.0),))
ROUTES = (NOTICES, BOOK, SLOTS, ROSTER, CAPACITY)

CALLS = {
    "notices": {"roster": 2.0},
    "book": {"roster": 2.0},
    "roster": {"capacity": 4.0},
}


ONE_EACH = dict.fromkeys(("board", "booking", "farrier", "stables"), 1)


def status(service, room, offered=None, rejecting=0.0):
    target = f"t-{service}"
    return Status(service, target, 0.5, room, {}, offered or {}, None, rejecting)


def make_admission(offered, *, stables, rejecting=0.0):
    graph = CallGraph()
    graph.take(CALLS)
    admission = Admission(graph=graph)
    admission.configure(make_catalog(routes=ROUTES))
    admission.report(0.0, "i-1", status("stables", stables, offered, rejecting))
    for number, service in enumerate(("board", "booking", "farrier"), start=2):
        admission.report(0.0, f"i-{number}", status(service, 10_000.0))
    admission.compute(0.1, ONE_EACH)
    return admission


def test_a_short_service_deep_below_refuses_the_least_important_at_the_first_hop():
    offered = {"notices": 100.0, "book": 50.0, "slots": 80.0}
    admission = make_admission(offered, stables=800.0)
    assert admission.shares["book"] == pytest.approx(1.0)
    assert admission.shares["slots"] == pytest.approx(1.0)
    assert admission.shares["notices"] == pytest.approx(0.5)


def test_the_room_is_used_and_not_more():
    offered = {"notices": 300.0, "book": 150.0}
    admission = make_admission(offered, stables=1_800.0)
    used = sum(rate * admission.shares[r] * 8.0 for r, rate in offered.items())
    assert used == pytest.approx(1_800.0)


def test_no_kind_is_shut_out_whole():
    offered = {"notices": 100.0, "book": 100.0}
    admission = make_admission(offered, stables=800.0)
    assert admission.shares["notices"] >= 0.5 / 4
    assert admission.shares["book"] == pytest.approx(1.0 - admission.shares["notices"])


@pytest.mark.parametrize("stables", [40.0, 160.0, 400.0])
def test_however_short_the_room_most_of_it_goes_to_the_important(stables):
    offered = {"notices": 100.0, "book": 100.0}
    admission = make_admission(offered, stables=stables)
    even = stables / 1_600.0
    assert admission.shares["notices"] >= even / 4
    assert admission.shares["book"] >= 1.5 * even
    used = sum(rate * admission.shares[r] * 8.0 for r, rate in offered.items())
    assert used == pytest.approx(stables)


def test_repeats_of_lesser_requests_take_no_more_room_from_the_important():
    calm = make_admission({"notices": 100.0, "book": 50.0}, stables=500.0)
    hasty = make_admission({"notices": 400.0, "book": 50.0}, stables=500.0)
    assert calm.shares["book"] >= 0.75
    assert hasty.shares["book"] >= 0.75
    assert hasty.shares["notices"] * 400.0 == pytest.approx(
        calm.shares["notices"] * 100.0, rel=0.4
    )


def test_requests_that_can_hardly_succeed_leave_the_room_to_those_that_can():
    offered = {"book": 90.0, "capacity": 90.0}
    admission = make_admission(offered, stables=500.0, rejecting=0.5)
    assert admission.shares["capacity"] == pytest.approx(1.0)
    assert admission.shares["book"] >= 0.35 * 500.0 / (90.0 * 9.0)


def test_a_target_of_three_that_rejects_half_makes_no_request_hopeless():
    offered = {"book": 90.0, "capacity": 90.0}
    admission = make_admission(offered, stables=700.0, rejecting=0.5 / 3)
    assert admission.shares["book"] > admission.shares["capacity"]


def test_old_reports_no_longer_count():
    admission = make_admission({"notices": 100.0}, stables=80.0)
    admission.compute(10.0, ONE_EACH)
    assert admission.admits(NOTICES, b"any")


def test_targets_that_have_not_reported_count_like_those_that_have():
    offered = {"notices": 100.0}
    admission = make_admission(offered, stables=400.0)
    admission.compute(0.1, ONE_EACH | {"stables": 2})
    heard, relays = 4, 5
    asked = 100.0 * 8.0 * relays / heard
    assert admission.shares["notices"] == pytest.approx(2 * 400.0 / asked)


def test_a_relay_that_no_longer_hears_a_short_service_keeps_to_its_last_room():
    offered = {"notices": 100.0}
    admission = make_admission(offered, stables=400.0)
    for number, service in enumerate(("board", "booking", "farrier"), start=2):
        admission.report(3.0, f"i-{number}", status(service, 10_000.0, offered))
    admission.compute(3.1, ONE_EACH)
    assert admission.shares["notices"] <= 400.0 / (3 * 100.0 * 8.0)


def test_relays_that_are_not_heard_offer_as_much_as_those_that_are():
    offered = {"notices": 50.0}
    admission = make_admission(offered, stables=400.0)
    eight = dict.fromkeys(ONE_EACH, 2)
    admission.compute(0.1, eight)
    assert admission.shares["notices"] == pytest.approx(2 * 400.0 / (100.0 * 8.0))
    admission.compute(0.1, eight | {"board": 6})
    assert admission.shares["notices"] == pytest.approx(2 * 400.0 / (150.0 * 8.0))


def test_a_target_that_says_it_carries_nothing_is_not_counted():
    offered = {"notices": 100.0}
    admission = make_admission(offered, stables=400.0)
    admission.report(0.1, "i-9", status("stables", 0.0))
    admission.compute(0.1, ONE_EACH | {"stables": 2})
    assert admission.shares["notices"] == pytest.approx(400.0 / (100.0 * 8.0))


def test_a_target_that_takes_no_work_bounds_nothing():
    admission = make_admission({"notices": 100.0}, stables=0.0)
    assert admission.shares["notices"] == pytest.approx(1.0)


def test_the_same_request_meets_the_same_decision_at_each_relay():
    offered = {"notices": 100.0, "book": 50.0}
    one = make_admission(offered, stables=800.0)
    two = make_admission(offered, stables=800.0)
    ids = [b"request-%d" % number for number in range(2_000)]
    taken = [one.admits(NOTICES, each) for each in ids]
    assert taken == [two.admits(NOTICES, each) for each in ids]
    assert 0.45 <= sum(taken) / len(taken) <= 0.55


def test_routes_of_one_rank_rise_together_until_each_meets_its_own_bound():
    first = Precedence(hopeless=False, rank=1)
    allocation = allocate(
        {"a": 10.0, "b": 10.0},
        {"a": first, "b": first},
        {"a": {"x": 1.0}, "b": {"y": 1.0}},
        {"x": 5.0, "y": 100.0},
        {"a": 0.35, "b": 0.35},
    )
    assert allocation.shares["a"] == pytest.approx(0.5)
    assert allocation.shares["b"] == pytest.approx(1.0)
    assert allocation.full == {"x"}


def test_a_route_that_does_not_need_the_short_service_is_not_refused():
    offered = {"notices": 100.0, "book": 100.0, "slots": 80.0}
    admission = make_admission(offered, stables=160.0)
    assert admission.shares["slots"] == pytest.approx(1.0)
    assert admission.shares["book"] < 0.2


def test_offered_rates_follow_the_load():
    rates = OfferedRates()
    now = 0.0
    for _ in range(40):
        rates.roll(now)
        for _ in range(20):
            rates.count("notices")
        now += 0.2
    assert rates.roll(now)["notices"] == pytest.approx(100.0, rel=0.05)


def test_a_target_that_rejects_half_of_its_calls_has_half_the_room():
    room = RoomEstimate()
    for number in range(1_000):
        room.served(rejected=number % 2 == 0)
    assert room.calls_per_second(10, 0.1) == pytest.approx(50.0, rel=0.05)


def run_surge(*, seconds, offered, limit=14, call=0.021, least=0.0):
    """Return the used part of the true room, and the waits, while a surge lasts.

    `offered` is the work asked as a part of the true room; what is admitted asks for it
    0.3 s later.
    """
    room = RoomEstimate()
    capacity = limit / call
    now, step, backlog = 0.0, 0.025, 0.0
    delayed = [0.0] * int(0.3 / step)
    share, used, waits = 1.0, [], []
    while now < seconds:
        if round(now / step) % 8 == 0:
            estimate = room.calls_per_second(limit, call)
            share = min(1.0, estimate / (offered * capacity))
        delayed.append(offered * capacity * step * max(share, least))
        work = backlog + delayed.pop(0)
        done = min(work, capacity * step)
        backlog = work - done
        now += step
        room.refusing = share < 1.0
        room.move(
            now,
            running=round(limit * done / (capacity * step)),
            limit=limit,
            wait=backlog / capacity,
        )
        used.append(done / (capacity * step))
        waits.append(backlog / capacity)
    return used, waits


@pytest.mark.parametrize("offered", [1.3, 1.8, 2.5])
def test_under_a_lasting_surge_the_room_is_used_and_waits_stay_short(offered):
    used, waits = run_surge(seconds=20.0, offered=offered)
    later = len(used) // 4
    assert sum(used[later:]) / len(used[later:]) >= 0.9
    assert max(waits[later:]) <= 0.1


def run_lasting_overload(admission, *, seconds, fresh, success):
    """Return the served part of each route's requests.

    `fresh` is requests a second by route, each tried again once 0.6 s after a refusal;
    `success` the chance of an admitted request.
    """
    step, lag = 0.2, 3
    returning = {route: [0.0] * lag for route in fresh}
    served = dict.fromkeys(fresh, 0.0)
    for number in range(int(seconds / step)):
        offered = {}
        for route, rate in fresh.items():
            tries = rate * step + returning[route].pop(0)
            share = admission.shares.get(route, 1.0)
            good = tries * share * success[route]
            served[route] += good
            returning[route].append(rate * step * (1.0 - share * success[route]))
            admission.served.tries[route] += tries
            admission.served.served[route] += good
            offered[route] = tries / step
        now = number * step
        admission.report(now, "i-1", status("stables", 500.0, offered))
        for relay, service in enumerate(("board", "booking", "farrier"), start=2):
            admission.report(now, f"i-{relay}", status(service, 10_000.0))
        admission.compute(now, ONE_EACH)
    return {r: served[r] / (rate * seconds) for r, rate in fresh.items()}


def test_under_an_overload_that_lasts_no_kind_starves_although_half_of_it_fails():
    fresh = {"notices": 94.0, "book": 56.0, "slots": 40.0}
    success = {"notices": 0.5, "book": 0.9, "slots": 1.0}
    admission = make_admission(fresh, stables=500.0)
    parts = run_lasting_overload(admission, seconds=60.0, fresh=fresh, success=success)
    common = sum(parts[r] * fresh[r] for r in fresh) / sum(fresh.values())
    assert parts["notices"] >= common / 4
    assert parts["book"] >= 2 * parts["notices"]
    assert parts["slots"] >= 0.95


def test_a_surge_after_calm_finds_no_more_room_than_there_is():
    room = RoomEstimate()
    for number in range(400):
        room.move(0.025 * number, running=6, limit=14, wait=0.0)
    assert room.calls_per_second(14, 0.02) <= 1.02 * 14 / 0.02


def test_in_calm_nothing_waits_and_nothing_is_refused():
    used, waits = run_surge(seconds=10.0, offered=0.85)
    assert max(waits) == 0.0
    later = used[len(used) // 10 :]
    assert min(later) == pytest.approx(0.85)


def test_a_graph_learns_what_usual_runs_call_and_leaves_out_rare_calls():
    graph = CallGraph()
    for number in range(40):
        run = b"%d" % number
        graph.called(run, "roster")
        graph.called(run, "roster")
        if number % 10 == 0:
            graph.called(run, "rare")
        graph.run_ended(run, "notices", whole=True)
    assert graph.calls_of("notices") == {"roster": 2.0}
    assert graph.calls_of("book") == {}


def test_calls_of_runs_that_have_not_ended_do_not_count_yet():
    graph = CallGraph()
    for number in range(60):
        graph.called(b"%d" % number, "roster")
        graph.called(b"%d" % number, "roster")
    for number in range(5):
        graph.run_ended(b"%d" % number, "notices", whole=True)
    assert graph.calls_of("notices") == {"roster": 2.0}


def test_runs_that_were_broken_off_do_not_lower_the_mean():
    graph = CallGraph()
    for number in range(20):
        graph.called(b"%d" % number, "roster")
        graph.run_ended(b"%d" % number, "notices", whole=number % 2 == 0)
    assert graph.calls_of("notices") == {"roster": 1.0}
    assert graph.open == {}


def test_under_overload_from_the_start_failed_runs_show_the_calls_below():
    graph = CallGraph()
    for number in range(10):
        run = b"%d" % number
        for _ in range(1 + number % 4):
            graph.called(run, "capacity")
        graph.run_ended(run, "roster", whole=False)
    assert graph.calls_of("roster") == {"capacity": 4.0}
    assert graph.learned() == {"roster": {"capacity": 4.0}}
    for number in range(10, 20):
        run = b"%d" % number
        graph.called(run, "capacity")
        graph.called(run, "capacity")
        graph.run_ended(run, "roster", whole=True)
    assert graph.calls_of("roster") == {"capacity": 2.0}

"""Tests of admission control, including simulated overload in virtual time."""

import pytest

from buckthornshed.coordination.relay.admission.allocation import Precedence, allocate
from buckthornshed.coordination.relay.admission.call_graph import CallGraph
from buckthornshed.coordination.relay.admission.controller import AdmissionController
from buckthornshed.coordination.relay.admission.offered_rates import OfferedRates
from buckthornshed.coordination.relay.limiter.capacity import CapacityEstimate
from buckthornshed.coordination.relay.limiter.concurrency_limiter import (
    ConcurrencyLimiter,
)
from buckthornshed.protocol.relay_messages import Status
from buckthornshed.state.catalog import RouteDestination

from .makers import make_call, make_catalog, make_route

NOTICES = make_route("notices", rank=2, destinations=(RouteDestination("board", 1.0),))
BOOK = make_route("book", rank=0, destinations=(RouteDestination("booking", 1.0),))
SLOTS = make_route("slots", rank=2, destinations=(RouteDestination("farrier", 1.0),))
ROSTER = make_route("roster", rank=1, destinations=(RouteDestination("farrier", 1.0),))
CAPACITY = make_route(
    "capacity", rank=1, destinations=(RouteDestination("stables", 1.0),)
)
ROUTES = (NOTICES, BOOK, SLOTS, ROSTER, CAPACITY)

CALLS = {
    "notices": {"roster": 2.0},
    "book": {"roster": 2.0},
    "roster": {"capacity": 4.0},
}


ONE_EACH = dict.fromkeys(("board", "booking", "farrier", "stables"), 1)


CALL_TIME_S = 0.02


def status(service, calls_per_second, offered=None, rejection_rate=0.0):
    """Return the status of a target whose calls of all routes take `CALL_TIME_S`."""
    target = f"t-{service}"
    slots = calls_per_second * CALL_TIME_S
    call_times = {route.name: CALL_TIME_S for route in ROUTES}
    return Status(
        service, target, 0.5, slots, call_times, offered or {}, None, rejection_rate
    )


def make_graph():
    graph = CallGraph()
    graph.merge(CALLS)
    return graph


def make_admission(offered, *, stables, rejection_rate=0.0):
    admission = AdmissionController(graph=make_graph())
    admission.configure(make_catalog(routes=ROUTES))
    admission.report(0.0, "i-1", status("stables", stables, offered, rejection_rate))
    for number, service in enumerate(("board", "booking", "farrier"), start=2):
        admission.report(0.0, f"i-{number}", status(service, 10_000.0))
    admission.update_shares(0.1, ONE_EACH)
    return admission


def test_overloaded_downstream_service_sheds_lowest_priority_at_first_hop():
    offered = {"notices": 100.0, "book": 50.0, "slots": 80.0}
    admission = make_admission(offered, stables=800.0)
    assert admission.shares["book"] == pytest.approx(1.0)
    assert admission.shares["slots"] == pytest.approx(1.0)
    assert admission.shares["notices"] == pytest.approx(0.5)


def test_admitted_load_equals_capacity():
    offered = {"notices": 300.0, "book": 150.0}
    admission = make_admission(offered, stables=1_800.0)
    used = sum(rate * admission.shares[r] * 8.0 for r, rate in offered.items())
    assert used == pytest.approx(1_800.0)


def test_every_route_keeps_a_minimum_share():
    offered = {"notices": 100.0, "book": 100.0}
    admission = make_admission(offered, stables=800.0)
    assert admission.shares["notices"] >= 0.5 / 4
    assert admission.shares["book"] == pytest.approx(1.0 - admission.shares["notices"])


@pytest.mark.parametrize("stables", [40.0, 160.0, 400.0])
def test_high_priority_gets_most_of_any_capacity(stables):
    offered = {"notices": 100.0, "book": 100.0}
    admission = make_admission(offered, stables=stables)
    fair_share = stables / 1_600.0
    assert admission.shares["notices"] >= fair_share / 4
    assert admission.shares["book"] >= 1.5 * fair_share
    used = sum(rate * admission.shares[r] * 8.0 for r, rate in offered.items())
    assert used == pytest.approx(stables)


def test_retries_of_low_priority_requests_take_no_capacity_from_high_priority():
    normal = make_admission({"notices": 100.0, "book": 50.0}, stables=500.0)
    with_retries = make_admission({"notices": 400.0, "book": 50.0}, stables=500.0)
    assert normal.shares["book"] >= 0.75
    assert with_retries.shares["book"] >= 0.75
    assert with_retries.shares["notices"] * 400.0 == pytest.approx(
        normal.shares["notices"] * 100.0, rel=0.4
    )


def test_requests_unlikely_to_succeed_yield_capacity_to_others():
    offered = {"book": 90.0, "capacity": 90.0}
    admission = make_admission(offered, stables=500.0, rejection_rate=0.5)
    assert admission.shares["capacity"] == pytest.approx(1.0)
    assert admission.shares["book"] >= 0.35 * 500.0 / (90.0 * 9.0)


def test_one_rejecting_target_of_three_does_not_deprioritize_requests():
    offered = {"book": 90.0, "capacity": 90.0}
    admission = make_admission(offered, stables=700.0, rejection_rate=0.5 / 3)
    assert admission.shares["book"] > admission.shares["capacity"]


def test_stale_reports_are_ignored():
    admission = make_admission({"notices": 100.0}, stables=80.0)
    admission.update_shares(10.0, ONE_EACH)
    assert admission.admits(NOTICES, b"any")


def test_targets_without_a_report_count_with_the_mean():
    offered = {"notices": 100.0}
    admission = make_admission(offered, stables=400.0)
    admission.update_shares(0.1, ONE_EACH | {"stables": 2})
    reporting, relays = 4, 5
    demand = 100.0 * 8.0 * relays / reporting
    assert admission.shares["notices"] == pytest.approx(2 * 400.0 / demand)


def test_last_known_capacity_is_kept_when_reports_stop():
    offered = {"notices": 100.0}
    admission = make_admission(offered, stables=400.0)
    for number, service in enumerate(("board", "booking", "farrier"), start=2):
        admission.report(3.0, f"i-{number}", status(service, 10_000.0, offered))
    admission.update_shares(3.1, ONE_EACH)
    assert admission.shares["notices"] <= 400.0 / (3 * 100.0 * 8.0)


def test_relays_without_a_report_are_assumed_to_offer_the_mean_load():
    offered = {"notices": 50.0}
    admission = make_admission(offered, stables=400.0)
    two_each = dict.fromkeys(ONE_EACH, 2)
    admission.update_shares(0.1, two_each)
    assert admission.shares["notices"] == pytest.approx(2 * 400.0 / (100.0 * 8.0))
    admission.update_shares(0.1, two_each | {"board": 6})
    assert admission.shares["notices"] == pytest.approx(2 * 400.0 / (150.0 * 8.0))


def test_a_target_that_reports_zero_capacity_is_not_counted():
    offered = {"notices": 100.0}
    admission = make_admission(offered, stables=400.0)
    admission.report(0.1, "i-9", status("stables", 0.0))
    admission.update_shares(0.1, ONE_EACH | {"stables": 2})
    assert admission.shares["notices"] == pytest.approx(400.0 / (100.0 * 8.0))


def test_zero_capacity_of_the_only_target_limits_nothing():
    admission = make_admission({"notices": 100.0}, stables=0.0)
    assert admission.shares["notices"] == pytest.approx(1.0)


def test_all_relays_make_the_same_decision_for_a_request():
    offered = {"notices": 100.0, "book": 50.0}
    first = make_admission(offered, stables=800.0)
    second = make_admission(offered, stables=800.0)
    ids = [b"request-%d" % number for number in range(2_000)]
    admitted = [first.admits(NOTICES, each) for each in ids]
    assert admitted == [second.admits(NOTICES, each) for each in ids]
    assert 0.45 <= sum(admitted) / len(admitted) <= 0.55


def test_shares_of_one_rank_rise_together_up_to_each_limit():
    first = Precedence(unlikely_to_succeed=False, rank=1)
    allocation = allocate(
        {"a": 10.0, "b": 10.0},
        {"a": first, "b": first},
        {"a": {"x": 1.0}, "b": {"y": 1.0}},
        {"x": 5.0, "y": 100.0},
        {"a": 0.35, "b": 0.35},
    )
    assert allocation.shares["a"] == pytest.approx(0.5)
    assert allocation.shares["b"] == pytest.approx(1.0)
    assert allocation.saturated == {"x"}


def test_a_route_that_does_not_use_the_overloaded_service_is_not_refused():
    offered = {"notices": 100.0, "book": 100.0, "slots": 80.0}
    admission = make_admission(offered, stables=160.0)
    assert admission.shares["slots"] == pytest.approx(1.0)
    assert admission.shares["book"] < 0.2


def test_offered_rates_follow_the_load():
    rates = OfferedRates()
    now = 0.0
    for _ in range(40):
        rates.update(now)
        for _ in range(20):
            rates.count("notices")
        now += 0.2
    assert rates.update(now)["notices"] == pytest.approx(100.0, rel=0.05)


def test_a_target_that_rejects_half_of_its_calls_has_half_the_capacity():
    estimator = CapacityEstimate()
    for number in range(1_000):
        estimator.record_result(rejected=number % 2 == 0)
    assert estimator.usable_slots(10) == pytest.approx(5.0, rel=0.05)


def simulate_overload(*, seconds, offered, limit=14, call_time=0.021, min_share=0.0):
    """Simulate an overload; return utilization and queueing delay of each step.

    `offered` is the offered load as a fraction of the true capacity. Admitted load
    arrives at the target 0.3 s after its admission.
    """
    estimator = CapacityEstimate()
    capacity = limit / call_time
    now, step, backlog = 0.0, 0.025, 0.0
    delayed = [0.0] * int(0.3 / step)
    share, utilizations, queue_delays = 1.0, [], []
    while now < seconds:
        if round(now / step) % 8 == 0:
            estimate = estimator.usable_slots(limit) / call_time
            share = min(1.0, estimate / (offered * capacity))
        delayed.append(offered * capacity * step * max(share, min_share))
        work = backlog + delayed.pop(0)
        done = min(work, capacity * step)
        backlog = work - done
        now += step
        estimator.shedding = share < 1.0
        estimator.update(
            now,
            running=round(limit * done / (capacity * step)),
            limit=limit,
            queue_delay=backlog / capacity,
        )
        utilizations.append(done / (capacity * step))
        queue_delays.append(backlog / capacity)
    return utilizations, queue_delays


@pytest.mark.parametrize("offered", [1.3, 1.8, 2.5])
def test_sustained_overload_uses_the_capacity_and_keeps_waits_short(offered):
    utilizations, queue_delays = simulate_overload(seconds=20.0, offered=offered)
    first = len(utilizations) // 4
    assert sum(utilizations[first:]) / len(utilizations[first:]) >= 0.9
    assert max(queue_delays[first:]) <= 0.1


def simulate_overload_with_retries(admission, *, seconds, fresh, success):
    """Simulate a sustained overload; return the success rate of each route.

    `fresh` is the rate of new requests per second by route. Each failed request is
    retried once after 0.6 s. `success` is the success probability of an admitted
    request by route.
    """
    step, lag = 0.2, 3
    pending_retries = {route: [0.0] * lag for route in fresh}
    served = dict.fromkeys(fresh, 0.0)
    for number in range(int(seconds / step)):
        offered = {}
        for route, rate in fresh.items():
            attempts = rate * step + pending_retries[route].pop(0)
            share = admission.shares.get(route, 1.0)
            successes = attempts * share * success[route]
            served[route] += successes
            pending_retries[route].append(rate * step * (1.0 - share * success[route]))
            admission.success_rates.attempts[route] += attempts
            admission.success_rates.successes[route] += successes
            offered[route] = attempts / step
        now = number * step
        admission.report(now, "i-1", status("stables", 500.0, offered))
        for relay, service in enumerate(("board", "booking", "farrier"), start=2):
            admission.report(now, f"i-{relay}", status(service, 10_000.0))
        admission.update_shares(now, ONE_EACH)
    return {r: served[r] / (rate * seconds) for r, rate in fresh.items()}


def test_no_route_starves_under_sustained_overload_with_failures():
    fresh = {"notices": 94.0, "book": 56.0, "slots": 40.0}
    success = {"notices": 0.5, "book": 0.9, "slots": 1.0}
    admission = make_admission(fresh, stables=500.0)
    success_rates = simulate_overload_with_retries(
        admission, seconds=60.0, fresh=fresh, success=success
    )
    overall_rate = sum(success_rates[r] * fresh[r] for r in fresh) / sum(fresh.values())
    assert success_rates["notices"] >= overall_rate / 4
    assert success_rates["book"] >= 2 * success_rates["notices"]
    assert success_rates["slots"] >= 0.95


def test_capacity_is_not_overestimated_after_low_load():
    estimator = CapacityEstimate()
    for number in range(400):
        estimator.update(0.025 * number, running=6, limit=14, queue_delay=0.0)
    assert estimator.usable_slots(14) <= 1.02 * 14


def test_below_capacity_nothing_waits_and_nothing_is_refused():
    utilizations, queue_delays = simulate_overload(seconds=10.0, offered=0.85)
    assert max(queue_delays) == 0.0
    after_start = utilizations[len(utilizations) // 10 :]
    assert min(after_start) == pytest.approx(0.85)


def test_call_graph_learns_typical_calls_and_omits_rare_ones():
    graph = CallGraph()
    for number in range(40):
        run = b"%d" % number
        graph.record_call(run, "roster")
        graph.record_call(run, "roster")
        if number % 10 == 0:
            graph.record_call(run, "rare")
        graph.record_run_end(run, "notices", succeeded=True)
    assert graph.calls_per_run("notices") == {"roster": 2.0}
    assert graph.calls_per_run("book") == {}


def test_calls_of_active_runs_are_not_counted():
    graph = CallGraph()
    for number in range(60):
        graph.record_call(b"%d" % number, "roster")
        graph.record_call(b"%d" % number, "roster")
    for number in range(5):
        graph.record_run_end(b"%d" % number, "notices", succeeded=True)
    assert graph.calls_per_run("notices") == {"roster": 2.0}


def test_failed_runs_do_not_lower_the_mean():
    graph = CallGraph()
    for number in range(20):
        graph.record_call(b"%d" % number, "roster")
        graph.record_run_end(b"%d" % number, "notices", succeeded=number % 2 == 0)
    assert graph.calls_per_run("notices") == {"roster": 1.0}
    assert graph.active_runs == {}


def test_failed_runs_provide_downstream_calls_under_initial_overload():
    graph = CallGraph()
    for number in range(10):
        run = b"%d" % number
        for _ in range(1 + number % 4):
            graph.record_call(run, "capacity")
        graph.record_run_end(run, "roster", succeeded=False)
    assert graph.calls_per_run("roster") == {"capacity": 4.0}
    assert graph.learned_calls() == {"roster": {"capacity": 4.0}}
    for number in range(10, 20):
        run = b"%d" % number
        graph.record_call(run, "capacity")
        graph.record_call(run, "capacity")
        graph.record_run_end(run, "roster", succeeded=True)
    assert graph.calls_per_run("roster") == {"capacity": 2.0}


def kinds_status(target, *, slots, times, offered=None):
    """Return a status of `farrier` with the call times of both of its routes."""
    call_times = dict(zip(("slots", "roster"), times, strict=True))
    return Status("farrier", target, 0.9, slots, call_times, offered or {})


def test_admitted_load_fits_targets_that_finish_different_mixes_of_calls():
    """Targets whose latest calls were of other routes report the same capacity.

    `slots` holds a slot 16 times as long as `roster`. What a target reports may not
    depend on which of the two it has finished last.
    """
    admission = AdmissionController(graph=CallGraph())
    admission.configure(make_catalog(routes=ROUTES))
    offered = {"slots": 30.0, "roster": 400.0}
    admission.report(
        0.0, "i-1", kinds_status("t-1", slots=20.0, times=(0.8, 0.05), offered=offered)
    )
    admission.report(0.0, "i-2", kinds_status("t-2", slots=20.0, times=(0.8, 0.05)))
    admission.update_shares(0.1, {"farrier": 2})
    used = sum(
        offered[route] * admission.shares[route] * seconds
        for route, seconds in (("slots", 0.8), ("roster", 0.05))
    )
    assert used == pytest.approx(40.0)


def test_a_slow_target_counts_with_the_calls_that_it_can_complete():
    admission = AdmissionController(graph=CallGraph())
    admission.configure(make_catalog(routes=ROUTES))
    offered = {"slots": 400.0}
    for number, seconds in enumerate((0.1, 0.1, 1.0)):
        admission.report(
            0.0,
            f"i-{number}",
            kinds_status(
                f"t-{number}",
                slots=10.0,
                times=(seconds, seconds),
                offered={"slots": 400.0 / 3},
            ),
        )
    admission.update_shares(0.1, {"farrier": 3})
    completed = 10.0 / 0.1 + 10.0 / 0.1 + 10.0 / 1.0
    assert offered["slots"] * admission.shares["slots"] == pytest.approx(completed)


def test_the_mix_of_finished_calls_does_not_change_the_reported_slots():
    """A run of long calls must not look like a loss of capacity."""
    limiter = ConcurrencyLimiter()
    limiter.set_slots(20)
    reported = []
    for number in range(200):
        now = float(number)
        long = number >= 100
        call = make_call(number, now=now, route="slots" if long else "roster")
        limiter.submit(now, call)
        limiter.finish(now + (0.8 if long else 0.05), number, succeeded=True)
        reported.append(limiter.usable_slots)
    assert max(reported) == min(reported)
    assert limiter.call_times.by_route == pytest.approx({"slots": 0.8, "roster": 0.05})

"""Tests of the fleet's retry limit over relays that exchange no state."""

from collections import deque
from typing import NamedTuple

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from buckthornshed.coordination.relay.retries import retry_budget
from buckthornshed.coordination.relay.retries.retry_budget import RetryBudget
from buckthornshed.coordination.relay.retries.retry_slack import slack_parts
from buckthornshed.state.relay_settings import RetryLimits

LIMITS = RetryLimits(ratio=0.2, window=10.0, slack=48)
STEP_S = 0.5
WINDOW_STEPS = round(LIMITS.window / STEP_S)
CALLS = 8
"""Calls to the lower service by one request of the upper service."""
STRIDE = 7
"""Distance of the relays at which consecutive runs take place."""


class StepCounts(NamedTuple):
    """Requests and retries of a service in one step, over all relays."""

    requests: int
    retries: int


class Fleet:
    """Relays whose clients call `upper`; each run there makes `CALLS` lower calls.

    The runs take place beside the relay of the client, or with `spread`, at relays in
    turn. A retried run is begun only at a relay whose budget covers its calls.
    """

    def __init__(self, size, *, spread=False):
        self.budgets = [RetryBudget(limits=LIMITS) for _ in range(size)]
        for rank, budget in enumerate(self.budgets):
            budget.rank, budget.relays = rank, size
            budget.set_slack_parts(slack_parts({"upper": {"lower": CALLS}}))
        self.spread = spread
        self.now = 0.0
        self.runs = 0

    def step(self, load, *, failing):
        """Submit each relay's new requests.

        If `failing`, every request to the upper service and every second call to the
        lower service fails and is retried as far as the budget allows.
        """
        self.now += STEP_S
        requests = {"upper": 0, "lower": 0}
        retries = {"upper": 0, "lower": 0}
        for budget, asked in zip(self.budgets, load, strict=True):
            for _ in range(asked):
                requests["upper"] += 1
                budget.record_request(self.now, "upper")
                retried = failing and budget.spend(self.now, "upper")
                requests["lower"] += CALLS
                retries["lower"] += self.run(budget, failing=failing, retry=False)
                other = self.runner(budget)
                if retried and other.covers(self.now, {"lower": CALLS}):
                    retries["upper"] += 1
                    retries["lower"] += self.run(other, failing=failing, retry=True)
        return {name: StepCounts(requests[name], retries[name]) for name in requests}

    def run(self, beside, *, failing, retry):
        """Make the lower calls of a run at the target beside a relay.

        Returns how many of them are retries.
        """
        runner = beside if retry else self.runner(beside)
        retries = 0
        for call in range(CALLS):
            if retry:
                runner.record_nested_retry(self.now, "lower")
                retries += 1
            else:
                runner.record_request(self.now, "lower")
            if failing and call % 2 and runner.spend(self.now, "lower"):
                retries += 1
        return retries

    def runner(self, beside):
        """Return the budget of the relay beside which a run takes place."""
        if not self.spread:
            return beside
        self.runs += 1
        return self.budgets[self.runs * STRIDE % len(self.budgets)]


def check_bound(steps):
    """Check the retries of each service against the limit in every window."""
    for service in ("upper", "lower"):
        window: deque[StepCounts] = deque(maxlen=WINDOW_STEPS)
        request_history: deque[int] = deque(maxlen=2 * WINDOW_STEPS)
        for step in steps:
            window.append(step[service])
            request_history.append(step[service].requests)
            retries = sum(each.retries for each in window)
            history = list(request_history)
            max_requests = max(
                sum(history[-WINDOW_STEPS:]),
                sum(history[-2 * WINDOW_STEPS : -WINDOW_STEPS]),
                sum(history[-3 * WINDOW_STEPS // 2 : -WINDOW_STEPS // 2]),
            )
            assert retries <= LIMITS.ratio * max_requests + LIMITS.slack, service


@given(
    size=st.sampled_from([1, 2, 13, 24, 40]),
    loads=st.lists(st.integers(0, 12), min_size=1, max_size=40),
    uneven=st.integers(1, 40),
    calm=st.integers(0, 40),
)
@example(size=1, loads=[1], uneven=1, calm=0)
def test_repeats_of_all_relays_keep_the_bound_in_every_window(
    size, loads, uneven, calm
):
    check_bound(run_fleet(size, loads, uneven, calm))


@given(
    size=st.sampled_from([2, 13, 24, 40]),
    loads=st.lists(st.integers(0, 12), min_size=1, max_size=40),
    uneven=st.integers(1, 40),
    calm=st.integers(0, 40),
)
@example(size=40, loads=[2], uneven=1, calm=40)
def test_the_bound_holds_when_runs_take_place_at_other_relays(
    size, loads, uneven, calm
):
    check_bound(run_fleet(size, loads, uneven, calm, spread=True))


def test_the_bound_is_exceeded_if_relays_in_debt_begin_retried_runs(monkeypatch):
    monkeypatch.setattr(RetryBudget, "covers", lambda *_: True)
    with pytest.raises(AssertionError):
        check_bound(run_fleet(40, [2], 1, 40, spread=True))


def run_fleet(size, loads, uneven, calm, *, spread=False):
    """Return the counts of `calm` steps without failures and of three windows with."""
    fleet = Fleet(size, spread=spread)
    steps = []
    for number in range(calm):
        load = [loads[number % len(loads)]] * size
        steps.append(fleet.step(load, failing=False))
    for number in range(3 * WINDOW_STEPS):
        load = [
            loads[(number + relay) % len(loads)] * (relay % uneven == 0)
            for relay in range(size)
        ]
        steps.append(fleet.step(load, failing=True))
    return steps


HEAVY_LOADS = [(40, [12], 1, 40), (13, [12, 0, 0], 2, 40), (40, [12, 0], 1, 30)]


@pytest.mark.parametrize(("size", "loads", "uneven", "calm"), HEAVY_LOADS)
def test_the_bound_holds_when_all_calls_begin_to_fail_under_heavy_load(
    size, loads, uneven, calm
):
    check_bound(run_fleet(size, loads, uneven, calm))


def test_the_bound_is_exceeded_if_buckets_hold_the_tokens_of_a_window(monkeypatch):
    monkeypatch.setattr(retry_budget, "BURST_FRACTION", 1.0)
    with pytest.raises(AssertionError):
        check_bound(run_fleet(*HEAVY_LOADS[0]))


@pytest.mark.parametrize("size", [13, 24])
def test_the_bound_is_exceeded_if_relays_do_not_divide_the_slack(size, monkeypatch):
    monkeypatch.setattr(RetryBudget, "slack_tokens", lambda self, _: self.slack)
    fleet = Fleet(size)
    steps = [fleet.step([1] * size, failing=True) for _ in range(WINDOW_STEPS)]
    with pytest.raises(AssertionError):
        check_bound(steps)

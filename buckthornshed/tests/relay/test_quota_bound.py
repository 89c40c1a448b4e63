"""The quota of a workspace over all relays, in virtual time."""

from random import Random

import pytest

from .quota_simulation import QuotaFleet, bound, make_quota

CALM = 0.63
"""Usual load over the quota."""


def make_fleet(size, rate, seed=1):
    fleet = QuotaFleet(size=size, quota=make_quota(rate), seed=seed)
    fleet.run(10.0)
    return fleet


@pytest.mark.parametrize("rate", [8, 40, 174])
@pytest.mark.parametrize("size", [4, 64])
@pytest.mark.parametrize("load", ["even_load", "load_at_one"])
def test_nothing_is_refused_in_calm(size, rate, load):
    fleet = make_fleet(size, rate)
    getattr(fleet, load)(CALM * rate, 10.0, 25.0)
    fleet.run(26.0)
    assert fleet.refused == []


@pytest.mark.parametrize("rate", [8, 40, 174])
@pytest.mark.parametrize("size", [4, 64])
@pytest.mark.parametrize("load", ["even_load", "load_at_one"])
@pytest.mark.parametrize("times", [1.13, 2.8, 5.0])
def test_a_quota_is_kept_and_usable_when_more_is_asked(size, rate, load, times):
    fleet = make_fleet(size, rate)
    getattr(fleet, load)(CALM * rate, 10.0, 15.0)
    getattr(fleet, load)(times * rate, 15.0, 25.0)
    fleet.run(26.0)
    assert fleet.most_in_a_window() <= bound(fleet.quota)
    assert fleet.usable_part() >= 0.97


def test_load_that_moves_between_relays_finds_the_whole_quota():
    fleet = make_fleet(30, 40)
    for number, instance in enumerate(fleet.nodes):
        fleet.load({instance: CALM * 40}, 10.0 + number, 11.0 + number)
    fleet.run(41.0)
    assert fleet.usable_part() >= 0.97


def test_a_burst_is_not_granted_again_by_relays_that_restart():
    fleet = make_fleet(30, 40)
    fleet.even_load(5.0 * 40, 10.0, 20.0)
    for second in (12.0, 14.0):
        fleet.after(second - fleet.now, lambda: fleet.restart_all(0.7))
    fleet.run(21.0)
    assert fleet.most_in_a_window() <= bound(fleet.quota)


def test_two_sides_of_a_partition_share_the_quota():
    fleet = make_fleet(30, 40)
    fleet.even_load(5.0 * 40, 10.0, 30.0)
    fleet.after(12.0 - fleet.now, lambda: fleet.cut(0.33))
    fleet.after(22.0 - fleet.now, fleet.heal)
    fleet.run(31.0)
    assert fleet.most_in_a_window() <= bound(fleet.quota)
    assert fleet.usable_part() >= 0.9


def test_evenly_spread_clients_lose_little_in_a_partition():
    fleet = make_fleet(30, 40)
    fleet.even_load(CALM * 40, 10.0, 30.0)
    fleet.after(12.0 - fleet.now, lambda: fleet.cut(0.33))
    fleet.after(22.0 - fleet.now, fleet.heal)
    fleet.run(31.0)
    assert fleet.usable_part() >= 0.97


def test_a_lower_quota_binds_a_window_later():
    fleet = make_fleet(30, 100)
    fleet.even_load(90.0, 10.0, 40.0)
    fleet.after(10.0, lambda: fleet.set_quota(make_quota(40)))
    fleet.run(41.0)
    assert fleet.most_in_a_window(since=25.0) <= bound(make_quota(40))


def test_a_higher_quota_is_usable_at_once():
    fleet = make_fleet(30, 20)
    fleet.even_load(60.0, 10.0, 30.0)
    fleet.after(10.0, lambda: fleet.set_quota(make_quota(100)))
    fleet.run(31.0)
    late = [at for at, _ in fleet.refused if at > 21.5]
    assert late == []


def test_a_silent_owner_is_replaced_and_holds_no_request_for_long():
    fleet = make_fleet(30, 40)
    fleet.even_load(2.8 * 40, 10.0, 20.0)
    fleet.after(12.0 - fleet.now, lambda: fleet.freeze(fleet.owner(), 3.0))
    fleet.run(21.0)
    assert fleet.most_in_a_window() <= bound(fleet.quota)
    assert fleet.usable_part() >= 0.9


def test_a_refusal_tells_when_there_is_room_again():
    fleet = make_fleet(4, 40)
    fleet.even_load(2.8 * 40, 10.0, 13.0)
    fleet.run(13.5)
    told = [at + retry_after for at, retry_after in fleet.refused if at > 12.0]
    spread = sorted(told)
    # Forty clients a second may return, so those who were refused do not all return
    # at the same moment.
    most = max(sum(begin <= each < begin + 0.5 for each in spread) for begin in spread)
    assert most <= 0.5 * 40 * 1.5


@pytest.mark.parametrize("seed", range(12))
def test_a_quota_is_kept_under_cuts_restarts_and_freezes(seed):
    rng = Random(seed)
    size, rate = rng.choice((4, 12, 30)), rng.choice((5, 8, 20, 40, 174))
    fleet = make_fleet(size, rate, seed)
    load = fleet.even_load if rng.random() < 0.7 else fleet.load_at_one
    load(rng.choice((1.1, 2.8, 5.0)) * rate, 10.0, 30.0)
    for _ in range(rng.randint(1, 4)):
        disturb(fleet, rng, rng.uniform(11.0, 26.0) - fleet.now)
    fleet.run(31.0)
    assert fleet.most_in_a_window() <= bound(fleet.quota)


def disturb(fleet, rng, delay):
    names = list(fleet.nodes)
    kind = rng.choice(("cut", "all", "owner", "in turn", "freeze"))
    if kind == "cut":
        share = rng.choice((0.1, 0.33, 0.5))
        fleet.after(delay, lambda: fleet.cut(share))
        fleet.after(delay + rng.uniform(1.0, 8.0), fleet.heal)
    elif kind == "all":
        fleet.after(delay, lambda: fleet.restart_all(0.7))
    elif kind == "owner":
        fleet.after(delay, lambda: fleet.restart(fleet.owner(), 1.0))
    elif kind == "in turn":
        for number, name in enumerate(names):
            after = delay + number * 4.0 / len(names)
            fleet.after(after, lambda name=name: fleet.restart(name, 0.5))
    else:
        fleet.after(delay, lambda: fleet.freeze(fleet.owner(), 1.5))


def test_a_cut_that_is_not_noticed_yet_does_not_admit_without_bound():
    fleet = make_fleet(2, 20, seed=19)
    fleet.load_at_one(0.6 * 20, 10.0, 12.0)
    fleet.after(2.0, lambda: fleet.cut(0.2))
    fleet.even_load(5.0 * 20, 12.0, 15.0)
    fleet.run(15.0)
    assert fleet.most_in_a_window() <= bound(fleet.quota)


def test_the_time_until_there_is_room_is_short_again_after_a_long_overload():
    fleet = make_fleet(4, 40)
    fleet.even_load(5.0 * 40, 10.0, 30.0)
    fleet.even_load(2.0 * 40, 36.0, 38.0)
    fleet.run(41.0)
    late = [retry_after for at, retry_after in fleet.refused if at > 36.0]
    assert late
    assert max(late) < 2.0


def test_relays_stop_asking_once_a_quota_is_no_longer_low():
    fleet = make_fleet(4, 40)
    fleet.even_load(2.8 * 40, 10.0, 13.0)
    fleet.even_load(0.3 * 40, 13.0, 30.0)
    fleet.run(20.0)
    asked = [node.quotas.last_number for node in fleet.nodes.values()]
    fleet.run(30.0)
    assert [node.quotas.last_number for node in fleet.nodes.values()] == asked


@pytest.mark.parametrize(("size", "rate"), [(64, 8), (64, 174), (300, 40)])
def test_a_quota_is_kept_before_relays_that_restarted_have_their_links(size, rate):
    fleet = make_fleet(size, rate)
    fleet.link_delay = 1.5
    fleet.even_load(5.0 * rate, 10.0, 18.0)
    fleet.after(2.0, lambda: fleet.restart_all(0.5))
    fleet.run(18.5)
    assert fleet.most_in_a_window() <= bound(fleet.quota)

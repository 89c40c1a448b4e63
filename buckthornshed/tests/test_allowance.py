"""Tests of the retry allowance."""

import pytest

from buckthornshed.coordination.entry.allowance import AllowanceAccount, ClientRepeats


def test_a_lent_part_comes_back_once_and_never_more_than_was_lent():
    account = AllowanceAccount(granted=3)
    assert account.lend(7, 2) == 2
    account.settle(7, 9)
    account.settle(7, 2)
    assert (account.available, account.spent) == (3, 0)


@pytest.mark.parametrize(("unspent", "available"), [(None, 1), (-4, 1), (1, 2)])
def test_what_does_not_come_back_counts_as_spent(unspent, available):
    account = AllowanceAccount(granted=3)
    account.lend(7, 2)
    account.settle(7, unspent)
    account.settle(7, 2)
    assert account.available == available
    assert account.spent == 3 - available


def test_a_closed_account_gives_nothing():
    account = AllowanceAccount(granted=4)
    account.lend(7, 1)
    assert account.close() == 3
    account.settle(7, 1)
    assert account.lend(8, 1) == 0
    assert not account.spend()


def test_repeats_of_a_client_share_one_allowance():
    repeats = ClientRepeats(entries=1, window=10.0)
    first = repeats.begin(0.0, "key", 3, deadline=1.0)
    beside = repeats.begin(0.1, "key", 3, deadline=1.0)
    assert (first.account.granted, beside.account.granted) == (3, 0)
    assert first.account.spend()
    repeats.end(0.2, "key", first)
    repeats.end(0.2, "key", beside)
    assert repeats.begin(0.3, "key", 3, deadline=1.0).account.granted == 1
    other = repeats.begin(0.3, "other", 3, deadline=1.0)
    assert (other.account.granted, repeats.refused_full) == (0, 1)
    assert repeats.begin(20.0, "other", 3, deadline=21.0).account.granted == 3

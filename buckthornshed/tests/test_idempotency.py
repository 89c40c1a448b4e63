"""Tests of the table of keys."""

import random

import pytest

from buckthornshed.coordination.outcomes.idempotency import (
    InProgress,
    KeyTable,
    Refused,
    Replay,
    Started,
    check_new_key,
)
from buckthornshed.coordination.outcomes.keys import mint_key, random_key
from buckthornshed.protocol.messages import Answer
from buckthornshed.protocol.outcome import Outcome, Reason

START = 1000.0
BOUND = 0.5
LIFETIME = 60.0
CONTENT = b"book hut 4"
ANSWER = Answer(exchange=1, outcome=Outcome.COMPLETE, status=200, body=b"booked")


def make_table(**options):
    arguments = {"entries": 4, "lifetime": LIFETIME, "clock_bound": BOUND}
    return KeyTable(started_wall=START, **arguments | options)


def key_of(minted, seed=0):
    return random_key(wall=minted, rng=random.Random(seed))


def begin(table, key, wall=START + 10, content=CONTENT):
    return table.begin(0.0, wall, key, content)


@pytest.mark.parametrize(
    ("text", "wall", "expected"),
    [
        ("hut-4", START, (Reason.KEY_INVALID, Outcome.NOT_RUN)),
        (
            str(key_of(START)).replace("-7", "-4", 1),
            START,
            (Reason.KEY_INVALID, "not_run"),
        ),
        (key_of(START), START - 2 * BOUND, (Reason.KEY_INVALID, Outcome.UNKNOWN)),
        (key_of(START), START - 3 * BOUND, (Reason.KEY_INVALID, Outcome.NOT_RUN)),
        (
            mint_key(wall=START, rng=random.Random(1)),
            START,
            (Reason.KEY_INVALID, Outcome.UNKNOWN),
        ),
        (key_of(START), START, None),
    ],
)
def test_edge_checks_a_key(text, wall, expected):
    assert check_new_key(text, wall=wall, clock_bound=BOUND) == expected


def test_repeat_gets_the_answer_of_the_first():
    table, key = make_table(), key_of(START + 5)
    assert begin(table, key) == Started(key)
    assert begin(table, key) == InProgress()
    table.finish(0.0, key, ANSWER)
    assert begin(table, key) == Replay(ANSWER)
    assert begin(table, key.upper()) == Replay(ANSWER)
    other = begin(table, key, content=b"book hut 5")
    assert other == Refused(Reason.KEY_INVALID, Outcome.UNKNOWN)


def test_work_without_answer_runs_again_only_if_it_never_started():
    table, key = make_table(), key_of(START + 5)
    begin(table, key)
    table.fail(0.0, key, started=False)
    assert begin(table, key) == Started(key)
    table.fail(0.0, key, started=True)
    assert begin(table, key) == Refused(Reason.ANSWER_LOST, Outcome.UNKNOWN)


@pytest.mark.parametrize(
    ("minted", "reason"),
    [
        (START + 2 * BOUND, Reason.KEY_UNPROVEN),
        (START - LIFETIME, Reason.KEY_UNPROVEN),
        (START + 10 + 2 * BOUND, Reason.KEY_INVALID),
    ],
)
def test_key_of_another_time_is_refused_as_unknown(minted, reason):
    assert begin(make_table(), key_of(minted)) == Refused(reason, Outcome.UNKNOWN)


def test_pause_raises_the_barrier_but_keeps_answers():
    table, known, new = make_table(), key_of(START + 5), key_of(START + 5, seed=1)
    begin(table, known)
    table.finish(0.0, known, ANSWER)
    table.woke(START + 9)
    assert begin(table, known) == Replay(ANSWER)
    assert begin(table, new) == Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)


def test_full_table_refuses_and_keeps_what_it_holds():
    table = make_table(entries=2)
    keys = [key_of(START + 5, seed=seed) for seed in range(3)]
    assert [type(begin(table, key)) for key in keys] == [Started, Started, Refused]
    assert begin(table, keys[2]) == Refused(Reason.KEY_TABLE_FULL, Outcome.NOT_RUN)
    assert begin(table, keys[0]) == InProgress()


def test_entry_ends_with_the_lifetime_and_the_key_stays_refused():
    table, key = make_table(entries=1), key_of(START + 5)
    begin(table, key)
    later = START + 5 + LIFETIME + 2
    assert begin(table, key_of(later), wall=later) == Started(key_of(later))
    unproven = Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)
    assert begin(table, key, wall=START + 10) == unproven


def test_answers_over_the_bound_are_not_kept():
    table = make_table(kept_bytes=10)
    first, second = key_of(START + 5), key_of(START + 5, seed=1)
    for key in (first, second):
        begin(table, key)
        table.finish(0.0, key, ANSWER)
    assert begin(table, first) == Refused(Reason.KEY_COMPLETED, Outcome.COMPLETE)
    assert begin(table, second) == Replay(ANSWER)


def test_owner_denies_only_what_it_could_begin():
    table, known, new = make_table(), key_of(START + 5), key_of(START + 5, seed=1)
    begin(table, known)
    denials = [
        table.deny(0.0, START + 10, key, CONTENT, Reason.OVERLOAD)
        for key in (known, new, key_of(START))
    ]
    assert denials == [
        InProgress(),
        Refused(Reason.OVERLOAD, Outcome.NOT_RUN),
        Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN),
    ]
    assert begin(table, new) == Started(new)


class ClosedGate:
    def check(self, key):
        return Refused(Reason.STALE_VIEW, Outcome.UNKNOWN)


def test_only_brought_keys_need_a_settled_owner():
    table = make_table(gate=ClosedGate())
    minted = mint_key(wall=START + 5, rng=random.Random(1))
    assert begin(table, minted) == Started(minted)
    early = mint_key(wall=START, rng=random.Random(1))
    assert begin(table, early) == Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)
    assert begin(table, key_of(START + 5)) == Refused(
        Reason.STALE_VIEW, Outcome.UNKNOWN
    )


def test_longer_lifetime_keeps_keys_and_admits_none_that_was_dropped():
    table = make_table()
    dropped, kept = key_of(START + 5), key_of(START + 50)
    begin(table, dropped)
    begin(table, kept, wall=START + 50)
    wall = START + 5 + LIFETIME
    options = {"lifetime": 3 * LIFETIME, "clock_bound": 2 * BOUND}
    table.configure(wall, entries=9, **options)
    unproven = Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)
    assert begin(table, dropped, wall=wall) == unproven
    assert begin(table, kept, wall=START + 50 + 2 * LIFETIME) == InProgress()
    assert begin(table, kept, wall=START + 50 + 3 * LIFETIME) == unproven
    assert table.held.size == 9


def test_greater_clock_bound_raises_the_barrier():
    table = make_table()
    table.configure(START, entries=4, lifetime=LIFETIME, clock_bound=3 * BOUND)
    assert table.barrier == START + 6 * BOUND

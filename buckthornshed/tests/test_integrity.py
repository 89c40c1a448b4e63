"""Tests of the exchanges in flight and of the outcome tables."""

from collections.abc import Callable

import pytest

from buckthornshed.coordination.outcomes.integrity import (
    COMBINED,
    HOP_OUTCOMES,
    Accepted,
    Exchanges,
    Flaw,
    HopEvent,
    KeySource,
    Progress,
    Resend,
    Sends,
    Stray,
    find_flaw,
    hop_outcome,
)
from buckthornshed.errors import TableFullError
from buckthornshed.protocol.messages import Answer
from buckthornshed.protocol.outcome import Outcome, Reason

NOT_RUN, FAILED, UNKNOWN, COMPLETE = (
    Outcome.NOT_RUN,
    Outcome.FAILED,
    Outcome.UNKNOWN,
    Outcome.COMPLETE,
)


def start(exchanges, connection=7, deadline=5.0):
    number = exchanges.reserve()
    exchanges.start(
        number,
        request_id=b"r" * 16,
        target="hut-1",
        connection=connection,
        deadline=deadline,
    )
    return number


def answer(number):
    return Answer(exchange=number, outcome=COMPLETE, status=200)


def test_answer_is_taken_once_and_on_its_own_connection_only():
    exchanges = Exchanges(entries=4, first=2**64 - 1)
    number = start(exchanges)
    assert exchanges.answered(8, answer(number)) == Stray(number, 8)
    accepted = exchanges.answered(7, answer(number))
    assert isinstance(accepted, Accepted) and accepted.exchange.target == "hut-1"
    assert exchanges.answered(7, answer(number)) == Stray(number, 7)
    assert start(exchanges) == 0


@pytest.mark.parametrize("sent", [False, True])
@pytest.mark.parametrize("how", ["give_up", "connection_lost", "expire"])
def test_late_answer_of_an_abandoned_exchange_is_dropped(sent, how):
    exchanges = Exchanges(entries=4, first=1)
    number = start(exchanges)
    if sent:
        exchanges.sent(number)
    ends: dict[str, Callable[[], list]] = {
        "give_up": lambda: [exchanges.give_up(number, "cancelled")],
        "connection_lost": lambda: exchanges.connection_lost(7, "reset"),
        "expire": lambda: exchanges.expire(5.0),
    }
    ended = ends[how]()
    assert [(each.fault.exchange, each.fault.started) for each in ended] == [
        (number, sent)
    ]
    assert isinstance(exchanges.answered(7, answer(number)), Stray)
    assert exchanges.give_up(number, "cancelled") is None


def test_full_table_sends_nothing():
    exchanges = Exchanges(entries=1, first=1)
    start(exchanges)
    with pytest.raises(TableFullError):
        start(exchanges)


@pytest.mark.parametrize(
    ("parsed", "declared", "received", "ended", "flaw"),
    [
        (True, 3, 3, True, None),
        (True, None, 3, True, None),
        (True, 3, 2, True, Flaw.TRUNCATED),
        (True, None, 3, False, Flaw.TRUNCATED),
        (True, 3, 4, True, Flaw.EXCESS),
        (False, 3, 3, True, Flaw.MALFORMED),
    ],
)
def test_flaws_of_answers(parsed, declared, received, ended, flaw):
    found = find_flaw(parsed=parsed, declared=declared, received=received, ended=ended)
    assert found is flaw


def test_not_run_follows_only_from_before_the_start_or_from_a_lower_node():
    causes = {pair for pair, outcome in HOP_OUTCOMES.items() if outcome is NOT_RUN}
    started = {event for progress, event in causes if progress is Progress.STARTED}
    assert started == {HopEvent.LOWER_NOT_RUN}
    assert hop_outcome(Progress.STARTED, HopEvent.TARGET_FAILED) is FAILED
    assert hop_outcome(Progress.HELD, HopEvent.LOWER_COMPLETE) is UNKNOWN


def test_sends_are_not_run_only_if_each_one_is():
    causes = {pair for pair, outcome in COMBINED.items() if outcome is NOT_RUN}
    assert causes == {(NOT_RUN, NOT_RUN)}


@pytest.mark.parametrize(
    ("key", "ends", "told", "resend"),
    [
        ("MINTED", [(NOT_RUN, Reason.OVERLOAD)], NOT_RUN, Resend.ANYWHERE),
        ("MINTED", [(UNKNOWN, None)], UNKNOWN, Resend.SAME_OWNER),
        ("MINTED", [(UNKNOWN, None), (NOT_RUN, None)], UNKNOWN, Resend.SAME_OWNER),
        ("MINTED", [(UNKNOWN, None), (COMPLETE, None)], COMPLETE, Resend.NOWHERE),
        ("MINTED", [(FAILED, None)], FAILED, Resend.NOWHERE),
        ("MINTED", [(UNKNOWN, Reason.KEY_UNPROVEN)], NOT_RUN, Resend.ANYWHERE),
        (
            "MINTED",
            [(UNKNOWN, None), (UNKNOWN, Reason.KEY_UNPROVEN)],
            UNKNOWN,
            Resend.SAME_OWNER,
        ),
        ("BROUGHT", [(UNKNOWN, Reason.KEY_UNPROVEN)], UNKNOWN, Resend.SAME_OWNER),
        ("BROUGHT", [], UNKNOWN, Resend.ANYWHERE),
        ("BROUGHT", [(NOT_RUN, Reason.NO_TARGET)], UNKNOWN, Resend.ANYWHERE),
    ],
)
def test_sends_of_work_with_a_key(key, ends, told, resend):
    sends = Sends(repeatable=False, key=KeySource[key])
    for each, reason in ends:
        sends.ended(each, reason)
    assert (sends.told, sends.resend) == (told, resend)


def test_only_the_owner_denies_that_a_brought_key_has_run():
    sends = Sends(repeatable=False, key=KeySource.BROUGHT)
    assert sends.ended(NOT_RUN) is UNKNOWN
    assert sends.ended(NOT_RUN, Reason.KEY_TABLE_FULL, by_owner=True) is NOT_RUN
    assert sends.ended(UNKNOWN) is UNKNOWN


def test_sends_of_work_that_may_be_repeated():
    sends = Sends(repeatable=True, key=KeySource.NONE)
    assert sends.told is NOT_RUN
    assert sends.ended(FAILED) is FAILED
    assert sends.resend is Resend.ANYWHERE


@pytest.mark.parametrize("reason", [Reason.NO_CONFIGURATION, Reason.NO_ROUTE])
def test_an_owner_that_did_not_look_at_its_keys_denies_nothing(reason):
    sends = Sends(repeatable=False, key=KeySource.BROUGHT)
    assert sends.ended(NOT_RUN, reason, by_owner=True) is UNKNOWN

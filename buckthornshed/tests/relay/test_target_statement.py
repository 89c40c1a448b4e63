"""Tests of reading what a target states about itself."""

import asyncio
import math

import pytest

from buckthornshed.platform.wire import HEADERS
from buckthornshed.transport.relay.gauges import read_gauges
from buckthornshed.transport.relay.target.target_statement import (
    TargetStatement,
    read_statement,
)

from .fleet import fleet_of, until


@pytest.mark.parametrize(
    ("headers", "statement"),
    [
        ((), TargetStatement()),
        (((b"server-limit", b"2.75"),), TargetStatement(2.75)),
        (((b"server-limit", b"0"),), TargetStatement(0.0)),
        (((b"server-leaving", b"1"),), TargetStatement(leaving=True)),
        (((b"server-leaving", b"0"),), TargetStatement()),
        (
            ((b"server-limit", b"7"), (b"server-leaving", b"1")),
            TargetStatement(7.0, True),
        ),
    ],
)
def test_a_statement_is_read_from_the_headers(headers, statement):
    assert read_statement(headers, HEADERS) == statement


UNREADABLE = [b"", b"many", b"nan", b"inf", b"-3", b"\xff"]


@pytest.mark.parametrize("value", UNREADABLE)
def test_an_unreadable_limit_states_neither_a_limit_nor_the_end_of_one(value):
    statement = read_statement(((b"server-limit", value),), HEADERS)
    assert statement == TargetStatement(rate_limit=None)


@pytest.mark.parametrize("value", UNREADABLE)
def test_an_unreadable_limit_does_not_hide_that_the_target_is_leaving(value):
    headers = ((b"server-limit", value), (b"server-leaving", b"1"))
    statement = read_statement(headers, HEADERS)
    assert statement == TargetStatement(rate_limit=None, leaving=True)


@pytest.mark.parametrize(
    ("limit", "differs"), [(10.0, False), (11.0, False), (13.0, True), (math.inf, True)]
)
def test_a_small_change_of_a_limit_is_no_clear_difference(limit, differs):
    statement = TargetStatement(10.0)
    assert statement.differs_clearly(TargetStatement(limit)) == differs
    assert statement.differs_clearly(TargetStatement(10.0, leaving=True))


def test_an_unreadable_limit_differs_only_if_the_rest_does():
    statement = TargetStatement(10.0)
    assert not TargetStatement(None).differs_clearly(statement)
    assert TargetStatement(None, leaving=True).differs_clearly(statement)


def test_a_changed_statement_is_logged_and_shown_by_the_metrics(caplog):
    async def scenario():
        async with fleet_of(1) as fleet:
            (relay,), (target,) = fleet.relays, fleet.targets
            target.extra_headers = "server-limit: 2.5\r\n"
            await fleet.ask(relay)
            assert read_gauges(relay).stated_limit == 2.5
            target.extra_headers = ""
            await until(
                lambda: read_gauges(relay).stated_limit == -1.0,
                ask=lambda: fleet.ask(relay),
            )
            assert read_gauges(relay).target_requests == len(target.received)

    with caplog.at_level("INFO"):
        asyncio.run(scenario())
    limits = [
        record.msg["limit"]
        for record in caplog.records
        if record.msg["event"] == "target_statement"
    ]
    assert limits == [2.5, math.inf]

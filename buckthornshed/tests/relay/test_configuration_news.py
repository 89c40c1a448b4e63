"""Tests of what a relay says of its configuration: its source and confirmation."""

import asyncio
import json

import pytest

from buckthornshed.cli.dump import render_dump
from buckthornshed.cli.main import main
from buckthornshed.cli.trace import explain_end, read_lines
from buckthornshed.protocol.relay_messages import (
    FleetUpdate,
    ReaderReport,
    ViewSummary,
)
from buckthornshed.state.generation import Generation
from buckthornshed.transport.relay.gauges import read_gauges
from buckthornshed.transport.relay.relay_dump import dump_relay

from .fleet import fleet_of, until
from .test_told_twice import ReaderParts

SIZE = 6


def run(scenario):
    asyncio.run(scenario())


def split_by_reading(fleet):
    readers = [each for each in fleet.relays if each.fleet_updater.reading]
    return readers, [each for each in fleet.relays if each not in readers]


async def told_fleet(fleet):
    """Wait until some relays read the store, and tell the others."""
    await until(lambda: len(split_by_reading(fleet)[0]) == 3)
    return split_by_reading(fleet)


@pytest.fixture
def events(monkeypatch):
    """Collect what relays log of requests without a route."""
    found = []
    monkeypatch.setattr(
        "buckthornshed.transport.relay.clients.request_router.log_event",
        lambda event, **fields: found.append((event, fields)),
    )
    return found


# Guards against a 404 that does not say from whom its relay has the configuration.
def test_a_request_without_a_route_says_what_the_relay_knows_and_from_whom(events):
    async def scenario():
        async with fleet_of(SIZE) as fleet:
            readers, listeners = await told_fleet(fleet)
            instances = {each.instance for each in readers}
            news = listeners[0].fleet_view.news
            await until(lambda: news.confirmation.source in instances)
            response = await fleet.ask(listeners[0], "/nowhere/1")
            assert response.status == 404
            event, fields = events[-1]
            assert event == "route_missing"
            assert fields["generation"] == "1" and fields["host_routes"] > 0
            assert fields["confirmed_by"] in instances
            assert 0.0 <= fields["confirmed_age"] <= fields["age"]

    run(scenario)


def test_the_dump_names_the_source_and_the_age_of_the_configuration():
    async def scenario():
        async with fleet_of(SIZE) as fleet:
            readers, listeners = await told_fleet(fleet)
            instances = {each.instance for each in readers}
            state = json.loads(json.dumps(dump_relay(readers[0])))
            everyone = {"store", *(each.instance for each in fleet.relays)}
            assert state["configuration"]["confirmed_by"] in everyone
            assert state["store"]["reading"] and state["store"]["read_age"] >= 0.0
            await until(lambda: dump_relay(listeners[0])["readers"].keys() >= instances)
            state = dump_relay(listeners[0])
            assert not state["store"]["reading"]
            assert len(state["targets"]) == SIZE
            assert "configuration" in render_dump(state)

    run(scenario)


def test_the_metrics_have_the_age_of_what_confirms_the_configuration():
    async def scenario():
        async with fleet_of(SIZE) as fleet:
            _, listeners = await told_fleet(fleet)
            gauges = read_gauges(listeners[0])
            assert gauges.configuration_age >= gauges.confirmed_age >= 0.0

    run(scenario)


MISSING = """\
time="2026-12-04 00:00:00,900" level=INFO event=route_missing request=one status=404 \
reason=no_route host=a.example host_routes=3 generation=12 source=10.0.0.3 age=20.1 \
confirmed_by=10.0.0.4 confirmed_age=0.6
time="2026-12-04 00:00:00,901" level=INFO event=route_missing request=two generation=12
"""


@pytest.fixture
def log(tmp_path):
    path = tmp_path / "b-2.log"
    path.write_text(MISSING)
    return path


def test_trace_says_which_configuration_had_no_route_and_what_confirmed_it(log):
    assert explain_end("one", read_lines("one", [log]).lines) == (
        "one: answered with status 404 by relay b-2.log: no route of its "
        "configuration matched (generation 12, 20.1 s old, from 10.0.0.3; "
        "3 routes of host a.example; "
        "last confirmed 0.6 s before, by 10.0.0.4)"
    )


# Lines of earlier versions have the generation only.
def test_trace_reads_the_lines_of_earlier_versions(log):
    sentence = explain_end("two", read_lines("two", [log]).lines)
    assert "answered with status" in sentence and "b-2.log" in sentence


def test_trace_prints_what_the_line_of_a_missing_route_says(log, capsys):
    main(["trace", "one", str(log)])
    assert "confirmed_age=0.6" in capsys.readouterr().out


def test_a_relay_that_is_behind_says_so_once_until_it_has_read(monkeypatch):
    logged = []
    monkeypatch.setattr(
        "buckthornshed.transport.relay.fleet.fleet_updater.log_event",
        lambda event, **_: logged.append(event),
    )
    updater = ReaderParts().updater

    def report(revision):
        update = FleetUpdate(
            reader=ReaderReport("10.0.0.3", True),
            summary=ViewSummary(revision, Generation(2), 7),
        )
        updater.apply_update(update, "10.0.0.3")

    report(20)
    report(21)
    assert logged.count("view_behind") == 1
    assert updater.reads_store()
    updater.handle_store_read(succeeded=True, revision=30)
    report(31)
    assert logged.count("view_behind") == 2

"""Tests of versions of the configuration that have any number of digits."""

import asyncio
import json
import logging
import math
import re
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornshed.cli.dump import render_dump
from buckthornshed.state.generation import Generation
from buckthornshed.state.integers import MAX_INT63, MAX_UINT64, abbreviated
from buckthornshed.transport.relay.gauges import read_gauges
from buckthornshed.transport.relay.metrics import RelayMetrics
from buckthornshed.transport.relay.relay_dump import dump_relay

from .fleet import configuration, fleet_of, until

NUMBERS = st.integers(0, 2**130) | st.builds(
    lambda bits, step: max(0, 2**bits + step), st.integers(0, 130), st.integers(-3, 3)
)
LONG_VERSIONS = [
    ("9223372036854775807", "9223372036854775808"),
    ("18446744073709551615", "18446744073709551616"),
    ("20261207220800", "20261207221530123456"),
    ("20261207221530123456", "20261207221530123457"),
    ("9" * 309, "1" + "0" * 309),
    ("9" * 5_000, "1" + "0" * 5_000),
    ("0" * 30 + "7", "8"),
]


@given(first=NUMBERS, second=NUMBERS)
def test_generations_compare_as_their_numbers_do(first, second):
    assert (Generation(first) < Generation(second)) is (first < second)
    assert (Generation(first) == Generation(second)) is (first == second)
    assert (Generation(first) >= Generation(second)) is (first >= second)
    assert str(Generation(first)) == str(first)
    assert Generation(f"000{first}") == Generation(first)


@given(first=NUMBERS, second=NUMBERS)
def test_an_abbreviation_keeps_the_order_and_exceeds_no_number(first, second):
    low, high = sorted((first, second))
    assert abbreviated(low) <= abbreviated(high) <= min(high, MAX_UINT64)
    assert Generation(low).abbreviation <= Generation(high).abbreviation
    if low <= MAX_INT63:
        assert abbreviated(low) == low


# Guards against a configuration that no relay takes over, whose old routes stay.
@pytest.mark.parametrize(("earlier", "later"), LONG_VERSIONS)
def test_a_version_of_any_length_replaces_a_lower_one_and_no_higher_one(earlier, later):
    async def scenario():
        async with fleet_of(6) as fleet:
            for version, path in ((earlier, "first"), (later, "second")):
                document = configuration(version, extra_paths=(path,))
                await fleet.store.put("op/config", document)
                await until(lambda version=version: all_have(fleet, version))
            for relay in fleet.relays:
                assert (await fleet.ask(relay, "/second/1")).status == 200
                assert (await fleet.ask(relay, "/first/1")).status == 404
            await fleet.store.put("op/config", configuration(earlier))
            await asyncio.sleep(0.3)
            assert all_have(fleet, later)

    asyncio.run(scenario())


def all_have(fleet, version):
    catalogs = [relay.fleet_view.catalog for relay in fleet.relays]
    return all(each.generation == Generation(version) for each in catalogs)


# A relay that starts while no store answers gets the configuration from another one.
def test_a_long_version_is_told_whole_to_a_relay_that_has_just_started():
    version = "20261207221530123457"

    async def scenario():
        async with fleet_of(3) as fleet:
            await fleet.store.put("op/config", configuration(version))
            await until(lambda: all_have(fleet, version))
            fleet.store.mode = "down"
            await fleet.restart(0)
            await until(lambda: fleet.relays[0].fleet_view.catalog is not None)
            assert all_have(fleet, version)

    asyncio.run(scenario())


@pytest.mark.parametrize("digits", [20, 309, 5_000])
def test_dump_metrics_and_logs_show_long_versions(digits, caplog):
    version = "7" * digits

    async def scenario():
        async with fleet_of(1) as fleet:
            (relay,) = fleet.relays
            await fleet.store.put("op/config", configuration(version))
            await until(lambda: all_have(fleet, version))
            assert (await fleet.ask(relay, "/nowhere/1")).status == 404
            return dump_relay(relay), metrics_of(relay)

    with caplog.at_level(logging.INFO):
        dump, metrics = asyncio.run(scenario())
    text = json.dumps(dump)
    assert json.loads(text)["configuration"]["generation"] == version
    assert version in render_dump(json.loads(text))
    values = dict(re.findall(r"^(buckthornshed_generation\w*)\S* (.+)$", metrics, re.M))
    assert float(values["buckthornshed_generation_tail"]) == int("7" * 15)
    shown = float(values["buckthornshed_generation"])
    assert math.isclose(shown, min(float(version), sys.float_info.max))
    in_force = [each.msg for each in caplog.records if "in_force" in str(each.msg)]
    assert [each["generation"] for each in in_force if isinstance(each, dict)][-1:] == [
        version
    ]


def metrics_of(relay):
    metrics = RelayMetrics(
        name="a", counts=relay.counts, gauges=lambda: read_gauges(relay)
    )
    return metrics.render().decode()


@pytest.mark.parametrize(
    "version", ["r", "12", "r-1", "r1.0", "r٣", "R1", "r1 ", "rr1", 12, None]
)
def test_a_version_that_is_no_number_leaves_the_one_in_force(version):
    async def scenario():
        async with fleet_of(1) as fleet:
            (relay,) = fleet.relays
            document = configuration() | {"version": version}
            await fleet.store.put("op/config", document)
            await until(lambda: relay.counts.unusable_entries["configuration",])
            assert all_have(fleet, 1)

    asyncio.run(scenario())

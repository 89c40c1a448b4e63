"""Names with spaces, tabs and UTF-8, from the configuration to all that shows them."""

import asyncio
import io
import json
import logging
from contextlib import asynccontextmanager

import pytest

from buckthornshed.cli.dump import render_dump
from buckthornshed.cli.trace import explain_end, read_lines
from buckthornshed.protocol.header_values import host_name, is_header_value
from buckthornshed.state.generation import Generation
from buckthornshed.transport.logs import KeyValueFormatter, configure_logging
from buckthornshed.transport.relay.gauges import read_gauges
from buckthornshed.transport.relay.metrics import RelayMetrics
from buckthornshed.transport.relay.relay_dump import dump_relay

from .fleet import HOST, configuration, fleet_of, read_response, until

KEY, OTHER_KEY = "key-of-yard", "clé of the \u00e9curie"
NAMES = [
    "lakeside yards",
    "tab\there",
    "पोखरा घोडा",
    'quote " = \\ , @ / % |',
    "line\u2028end\u0085",
    "x" * 300,
    "é" * 4_000,
    "-",
]


def tenant(name, *keys, rate=0, burst=0):
    return {"name": name, "apiKeys": list(keys), "ratePerS": rate, "burst": burst}


@asynccontextmanager
async def fleet_with(document, relays=2, **options):
    async with fleet_of(relays, **options) as fleet:
        await fleet.store.put("op/config", document | {"version": "r2"})
        await until(
            lambda: all(
                r.fleet_view.catalog.generation == Generation(2) for r in fleet.relays
            )
        )
        yield fleet


async def ask(fleet, relay, key=None, *, host=HOST, path="/avail/1"):
    fleet.sent += 1
    request = (
        f"GET {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: r-{fleet.sent}\r\n"
        f"Deadline-Ms: 5000\r\n"
    )
    if key is not None:
        request += f"Credential: {key}\r\n"
    reader, writer = await fleet.connect(relay)
    writer.write(request.encode() + b"\r\n")
    response = await read_response(reader)
    writer.close()
    return response


# Guards against a configuration that is rejected for a name that headers can carry, so
# that a key which it withdraws stays in use (review/9).
@pytest.mark.parametrize("name", NAMES)
def test_a_name_reaches_the_target_and_its_configuration_is_in_force(name):
    async def scenario():
        document = configuration() | {
            "tenants": [tenant(name, OTHER_KEY, rate=500, burst=500)]
        }
        async with fleet_with(document) as fleet:
            for relay in fleet.relays:
                for _ in range(4):
                    assert (await ask(fleet, relay, OTHER_KEY)).status == 200
                assert (await ask(fleet, relay, KEY)).status == 401
            received = [each for target in fleet.targets for each in target.received]
            assert len(received) == 8
            for _, headers, _ in received:
                assert headers["tenant"] == name
                assert "credential" not in headers
            assert not fleet.relays[0].counts.unusable_entries

    asyncio.run(scenario())


@pytest.mark.parametrize("name", NAMES)
def test_relays_account_for_the_quota_of_a_name_together(name):
    async def scenario():
        document = configuration() | {
            "tenants": [tenant(name, KEY, rate=0.001, burst=6)]
        }
        async with fleet_with(document) as fleet:
            for relay in fleet.relays:
                relay.quotas.gate.mark_low(relay.clock(), name)
            statuses = [
                (await ask(fleet, relay, KEY)).status for relay in fleet.relays * 6
            ]
            assert 429 in statuses
            owners = [
                relay for relay in fleet.relays if name in relay.quotas.ledger.accounts
            ]
            assert owners

    asyncio.run(scenario())


@pytest.mark.parametrize("name", NAMES)
def test_dump_metrics_logs_and_trace_show_a_name(name, tmp_path):
    async def scenario():
        document = configuration() | {"tenants": [tenant(name, KEY)]}
        document["listeners"][0]["rules"][0]["name"] = name
        async with fleet_with(document, relays=1) as fleet:
            (relay,), (target,) = fleet.relays, fleet.targets
            log = io.StringIO()
            configure_logging(
                level="DEBUG", make_handler=lambda: logging.StreamHandler(log)
            )
            target.scripts = ["error"]
            assert (await ask(fleet, relay, KEY)).status == 500
            state = json.loads(json.dumps(dump_relay(relay)))
            assert state["configuration"]["workspaces"] == [name]
            assert render_dump(state)
            metrics = RelayMetrics(
                name="a", counts=relay.counts, gauges=lambda: read_gauges(relay)
            )
            shown = name.replace("\\", "\\\\").replace('"', '\\"')
            assert f'route="{shown}"' in metrics.render().decode()
            return log.getvalue()

    try:
        text = asyncio.run(scenario())
    finally:
        logging.getLogger("buckthornshed").handlers = []
    path = tmp_path / "relay.log"
    path.write_text(text, encoding="utf-8")
    lines = read_lines("r-1", [path]).lines
    (end,) = [line for line in lines if line.event == "request_answered"]
    assert end.fields["workspace"] == name
    assert end.fields["route"] == name
    assert "answered with status 500" in explain_end("r-1", lines)


@pytest.mark.parametrize("name", ["i 1", "i\t1", "ï-1", "i,1@/%"])
def test_a_target_with_such_a_name_is_used(name):
    async def scenario():
        async with fleet_of(1) as fleet:
            (relay,), (target,) = fleet.relays, fleet.targets
            await fleet.store.delete(f"servers/{target.name}")
            target.name = name
            await fleet.store.put(f"servers/{name}", registration(target))
            await until(lambda: name in relay.fleet_view.targets)
            await until(lambda: relay.fleet_view.usable.get("stalls"))
            assert (await ask(fleet, relay)).status == 200
            assert render_dump(dump_relay(relay))

    asyncio.run(scenario())


def registration(target):
    return {
        "service": "stalls",
        "addr": target.address,
        "zone": "a",
        "slots": 10,
        "state": "ready",
        "seq": 1,
        "born": 1_700_000_000_001,
    }


@pytest.mark.parametrize("host", ["bücher.example", "BÜCHER.example", HOST.upper()])
def test_a_host_beyond_ascii_is_matched_in_any_case_and_with_a_port(host):
    async def scenario():
        document = configuration()
        (rules,) = document["listeners"]
        document["listeners"] = [rules, {**rules, "host": "Bücher.example"}]
        async with fleet_with(document, relays=1) as fleet:
            for each in (host, f"{host}:8304"):
                response = await ask(fleet, fleet.relays[0], host=each)
                assert response.status == 200

    asyncio.run(scenario())


# Guards against requests of an unusable route that go where a shorter prefix leads.
def test_the_requests_of_a_route_without_a_destination_are_refused_as_not_run():
    async def scenario():
        document = configuration(extra_paths=("avail/deep",))
        rules = document["listeners"][0]["rules"]
        del rules[-1]["action"]["service"]
        async with fleet_with(document, relays=1) as fleet:
            relay = fleet.relays[0]
            response = await ask(fleet, relay, path="/avail/deep/1")
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert (await ask(fleet, relay, path="/avail/1")).status == 200
            assert len(fleet.targets[0].received) == 1
            state = dump_relay(relay)
            assert state["configuration"]["refused_routes"] == ["more-avail/deep"]
            assert state["store"]["unusable"] == {"route": 1}

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "text", ["", " ", " a", "a ", "\ta", "a\t", "a\0", "a\r\nb", "a\x7f", "\ud800"]
)
def test_text_that_a_receiver_would_not_read_alike_is_no_header_value(text):
    assert not is_header_value(text)


def test_the_host_of_an_address_in_brackets_keeps_its_colons():
    assert host_name("[FD00::1]:80") == "[fd00::1]"
    assert host_name("Huts.example:80") == "huts.example"


def test_a_log_line_stays_one_line_whatever_a_field_contains():
    record = logging.LogRecord("a", logging.INFO, "", 0, {"event": "x"}, None, None)
    record.msg = {"event": "x", "name_": "a\nb\u2028c\u0085d\udcff"}
    line = KeyValueFormatter("%(levelname)s").format(record)
    assert len(line.splitlines()) == 1
    assert line.encode()

"""Keys, names, priorities and quotas of workspaces, through relays on loopback."""

import asyncio
import json
import logging

import pytest

from buckthornshed.coordination.workspaces.identity import identify
from buckthornshed.platform.documents import decode_catalog
from buckthornshed.protocol.foreign_objects import UnusableEntry
from buckthornshed.protocol.relay_frames import FrameReader, FrameWriter
from buckthornshed.protocol.relay_messages import FleetUpdate
from buckthornshed.state.generation import Generation
from buckthornshed.state.workspaces import Quota, key_digest
from buckthornshed.transport.relay.gauges import read_gauges
from buckthornshed.transport.relay.metrics import RelayMetrics

from .fleet import HOST, configuration, fleet_of, read_response, until

KEY, OTHER_KEY, UNKNOWN_KEY = "key-of-yard", "key-of-ranch", "key-of-nobody"


def tenant(name, *keys, priority=1, rate=0, burst=0):
    return {
        "name": name,
        "apiKeys": list(keys),
        "priority": priority,
        "ratePerS": rate,
        "burst": burst,
    }


def document(*tenants, public=(), version=1):
    value = configuration(version)
    for rule in value["listeners"][0]["rules"]:
        rule["public"] = rule["name"] in public
    value["tenants"] = list(tenants)
    return value


def decode(value):
    return decode_catalog(json.dumps(value).encode())


async def ask(fleet, relay, path="/avail/1", headers=(), request_id=None):
    reader, writer = await fleet.connect(relay)
    try:
        writer.write(request(fleet, path, headers, request_id))
        return await read_response(reader)
    finally:
        writer.close()


def request(fleet, path="/avail/1", headers=(), request_id=None):
    fleet.sent += 1
    lines = [
        f"GET {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id or f'r-{fleet.sent}'}",
        "Deadline-Ms: 5000",
        *(f"{name}: {value}" for name, value in headers),
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def publish(fleet, *tenants, version=2, public=()):
    await fleet.store.put(
        "op/config", document(*tenants, public=public, version=version)
    )
    await until(
        lambda: all(
            relay.fleet_view.catalog.generation >= Generation(version)
            for relay in fleet.relays
        )
    )


def received(fleet):
    return [entry for target in fleet.targets for entry in target.received]


def run(scenario, relays=2):
    async def start():
        async with fleet_of(relays) as fleet:
            await scenario(fleet)

    asyncio.run(start())


def test_a_target_gets_the_name_of_the_workspace_and_never_the_key():
    async def scenario(fleet):
        await publish(fleet, tenant("yard", KEY), tenant("ranch", OTHER_KEY))
        headers = [("credential", KEY), ("Tenant", "ranch"), ("TENANT", "forged")]
        for _ in range(6):
            response = await ask(fleet, fleet.relays[0], headers=headers)
            assert response.status == 200
        assert len(received(fleet)) == 6
        for _, got, _ in received(fleet):
            assert got["tenant"] == "yard"
            assert KEY not in got.values()
            assert "credential" not in got

    run(scenario)


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [("Credential", UNKNOWN_KEY)],
        [("Credential", "")],
        [("Credential", f"Bearer {KEY}")],
        [("Credential", KEY), ("Credential", OTHER_KEY)],
        [("Credential", KEY), ("CREDENTIAL", KEY)],
        [("Tenant", "yard")],
    ],
)
def test_a_request_without_exactly_one_known_key_gets_401_and_does_not_run(headers):
    async def scenario(fleet):
        await publish(fleet, tenant("yard", KEY), tenant("ranch", OTHER_KEY))
        response = await ask(fleet, fleet.relays[0], headers=headers)
        assert response.status == 401
        assert received(fleet) == []

    run(scenario)


@pytest.mark.parametrize(
    ("headers", "name"),
    [
        ([], None),
        ([("Credential", UNKNOWN_KEY)], None),
        ([("Credential", KEY)], "yard"),
    ],
)
def test_a_public_route_needs_no_key_and_passes_none_on(headers, name):
    async def scenario(fleet):
        await publish(fleet, tenant("yard", KEY), public=("avail",))
        headers_sent = [*headers, ("Tenant", "forged")]
        response = await ask(fleet, fleet.relays[0], headers=headers_sent)
        assert response.status == 200
        ((_, got, _),) = received(fleet)
        assert got.get("tenant") == name
        assert "credential" not in got

    run(scenario)


def test_no_key_is_asked_for_where_no_workspace_is_configured():
    async def scenario(fleet):
        response = await ask(fleet, fleet.relays[0], headers=[("Credential", "x")])
        assert response.status == 200
        ((_, got, _),) = received(fleet)
        assert got["credential"] == "x"

    run(scenario)


def test_keys_are_added_moved_and_taken_away_on_open_connections():
    async def scenario(fleet):
        relay = fleet.relays[0]
        await publish(fleet, tenant("yard", KEY), tenant("ranch", OTHER_KEY))
        reader, writer = await fleet.connect(relay)

        async def status_of(key):
            writer.write(request(fleet, headers=[("Credential", key)]) * 2)
            first = await read_response(reader)
            assert (await read_response(reader)).status == first.status
            return first.status

        assert await status_of(KEY) == 200
        assert await status_of(UNKNOWN_KEY) == 401
        await publish(
            fleet, tenant("yard", UNKNOWN_KEY), tenant("ranch", KEY), version=3
        )
        assert await status_of(UNKNOWN_KEY) == 200
        assert await status_of(OTHER_KEY) == 401
        assert await status_of(KEY) == 200
        assert received(fleet)[-1][1]["tenant"] == "ranch"
        writer.close()

    run(scenario, relays=1)


def test_a_key_that_was_taken_away_does_not_come_back_with_an_older_configuration():
    async def scenario(fleet):
        await publish(fleet, tenant("yard", KEY, OTHER_KEY))
        copy = fleet.store.copy()
        await publish(fleet, tenant("yard", KEY), version=3)
        await fleet.store.restore(copy)
        await fleet.restart(0)
        await fleet.wait_until_connected()
        await until(
            lambda: all(
                r.fleet_view.catalog.generation == Generation(3) for r in fleet.relays
            )
        )
        for relay in fleet.relays:
            response = await ask(fleet, relay, headers=[("Credential", OTHER_KEY)])
            assert response.status == 401

    run(scenario, relays=3)


def test_calls_of_targets_keep_the_workspace_and_rank_of_their_request():
    async def scenario(fleet):
        await publish(fleet, tenant("yard", KEY, priority=0))
        calls = []

        async def call(target, path):
            if path.startswith("/front/"):
                relay = fleet.relays[fleet.targets.index(target)]
                calls.append(
                    await ask(
                        fleet,
                        relay,
                        headers=[("Tenant", "forged")],
                        request_id=f"{target.ran[-1]}.1",
                    )
                )

        for target in fleet.targets:
            target.on_run = call
        response = await ask(
            fleet, fleet.relays[0], "/front/1", headers=[("Credential", KEY)]
        )
        assert response.status == 200
        assert [each.status for each in calls] == [200]
        assert [got["tenant"] for _, got, _ in received(fleet)] == ["yard", "yard"]

    run(scenario)


def test_a_call_whose_request_has_ended_is_refused_as_not_run():
    async def scenario(fleet):
        await publish(fleet, tenant("yard", KEY))
        (relay,) = fleet.relays
        headers = [("Credential", KEY)]
        await ask(fleet, relay, headers=headers, request_id="gone")
        response = await ask(fleet, relay, request_id="gone.1")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0.0
        assert len(received(fleet)) == 1

    run(scenario, relays=1)


def test_what_is_beyond_a_quota_gets_429_with_a_time_and_does_not_run():
    async def scenario(fleet):
        await publish(
            fleet, tenant("yard", KEY, rate=0.01, burst=2), tenant("x", OTHER_KEY)
        )
        responses = [
            await ask(fleet, relay, headers=[("Credential", KEY)])
            for _ in range(20)
            for relay in fleet.relays
        ]
        refused = [each for each in responses if each.status == 429]
        assert refused
        assert all(float(each.headers["retry-after"]) > 0.0 for each in refused)
        assert len(received(fleet)) == len(responses) - len(refused) < 15
        other = await ask(fleet, fleet.relays[0], headers=[("Credential", OTHER_KEY)])
        assert other.status == 200

    run(scenario, relays=3)


def test_the_message_with_a_catalog_contains_no_key():
    catalog = decode(document(tenant("yard", KEY)))
    writer = FrameWriter()
    writer.add(FleetUpdate(catalog=catalog))
    assert KEY.encode() not in b"".join(writer.frames)
    assert KEY not in repr(catalog)
    (update,) = FrameReader().feed(writer.flush())
    assert isinstance(update, FleetUpdate)
    assert update.catalog is not None
    route = update.catalog.match(HOST, "/avail/1")
    assert route is not None
    workspace = identify(update.catalog, route, [KEY.encode()]).workspace
    assert workspace is not None
    assert workspace.name == "yard"


GONE, REFUSED, HELD = 401, 503, 200
"""Status of a request with a key that is unknown, that may not be used, that may."""


@pytest.mark.parametrize(
    ("tenants", "status"),
    [
        ([tenant("yard", KEY), tenant("ranch", KEY)], REFUSED),
        ([tenant("yard\r\nx: y", KEY)], REFUSED),
        ([tenant("yard ", KEY)], REFUSED),
        ([tenant("", KEY)], REFUSED),
        ([tenant("yard", "")], GONE),
        ([tenant("yard", [KEY])], GONE),
        ([tenant("yard", KEY, rate=-1)], REFUSED),
        ([tenant("yard", KEY, rate="5")], REFUSED),
        ([{"apiKeys": [KEY]}], REFUSED),
        ([{"name": 5, "apiKeys": [KEY]}], REFUSED),
        ([{"name": "yard", "apiKeys": KEY}], GONE),
        ([KEY], GONE),
        ([tenant("yard", KEY, priority=-1)], HELD),
        ([tenant("yard", KEY, burst="many")], HELD),
        ([tenant("yard", KEY), tenant("yard", UNKNOWN_KEY)], HELD),
    ],
)
def test_an_odd_workspace_costs_no_other_and_its_keys_fail_closed(tenants, status):
    """Guards against a configuration that is rejected for one of its workspaces."""

    async def scenario(fleet):
        relay = fleet.relays[0]
        # The key that version 3 withdraws is in use before it.
        await publish(fleet, tenant("old", KEY), tenant("other", OTHER_KEY))
        assert (await ask(fleet, relay, headers=[("Credential", KEY)])).status == HELD
        await publish(fleet, *tenants, tenant("other", OTHER_KEY), version=3)
        response = await ask(fleet, relay, headers=[("Credential", KEY)])
        assert response.status == status
        response = await ask(fleet, relay, headers=[("Credential", OTHER_KEY)])
        assert response.status == HELD
        assert received(fleet)[-1][1]["tenant"] == "other"
        assert (await ask(fleet, relay)).status == GONE
        assert sum(fleet.relays[0].counts.unusable_entries.values())

    run(scenario, relays=1)


@pytest.mark.parametrize(
    "tenants",
    [[tenant("yard\n", KEY)], [KEY], {KEY: {}}, KEY, [{"name": {"apiKeys": [KEY]}}]],
)
def test_keys_are_needed_though_no_workspace_can_be_used_and_none_is_named(tenants):
    value = document() | {"tenants": tenants}
    entries: list[UnusableEntry] = []
    catalog = decode_catalog(json.dumps(value).encode(), entries.append)
    route = catalog.match(HOST, "/avail/1")
    assert route is not None
    for keys in ([], [KEY.encode()]):
        assert not identify(catalog, route, keys).authorized
    assert entries
    assert KEY not in str(entries)


def test_two_entries_of_one_workspace_share_the_stricter_quota():
    catalog = decode(
        document(
            tenant("yard", KEY, rate=50, burst=5),
            tenant("yard", OTHER_KEY, rate=20, burst=9),
        )
    )
    assert catalog.workspaces["yard"].quota == Quota(20, 5)
    assert set(catalog.keys.values()) == {"yard"}


def test_a_configuration_without_a_version_leaves_the_one_in_force():
    async def scenario(fleet):
        await publish(fleet, tenant("yard", KEY))
        invalid = document(tenant("yard", KEY), version="x")
        await fleet.store.put("op/config", invalid)
        await publish(fleet, tenant("yard", KEY), version=4)
        response = await ask(fleet, fleet.relays[0], headers=[("Credential", KEY)])
        assert response.status == 200

    run(scenario)


def test_a_call_of_a_target_may_have_a_credential_where_no_workspace_is_configured():
    async def scenario(fleet):
        relay, target = fleet.relays[0], fleet.targets[0]
        target.scripts = ["slow"]
        parent = asyncio.create_task(ask(fleet, relay, "/book/1", request_id="run"))
        await until(lambda: target.ran)
        await ask(fleet, relay, headers=[("Credential", "x")], request_id="run.1")
        target.release.set()
        assert (await parent).status == 200
        assert relay.local_target.graph.calls["book"] == {"avail": 1.0}

    run(scenario, relays=1)


def test_no_log_line_metric_or_message_contains_a_key(caplog):
    messages: list[bytes] = []
    add = FrameWriter.add

    def record(writer, message):
        add(writer, message)
        messages.extend(writer.frames)

    async def scenario(fleet):
        await publish(fleet, tenant("yard", KEY, rate=0.01, burst=1))
        held = [("Credential", KEY)]
        twice = [*held, ("Credential", OTHER_KEY)]
        unknown = [("Credential", UNKNOWN_KEY)]
        for relay in fleet.relays:
            for headers in (held, held, twice, unknown):
                await ask(fleet, relay, headers=headers)
            await ask(fleet, relay, "/none/1", headers=held)
        for target in fleet.targets:
            target.scripts = ["reset"] * 3
        await ask(fleet, fleet.relays[0], "/book/1", headers=held)
        reader, writer = await fleet.connect(fleet.relays[0])
        writer.write(f"GET /avail/1 HTTP/1.1\r\nCredential: {KEY}\r\n: x\r\n".encode())
        assert (await read_response(reader)).status == 400
        writer.close()
        return [metrics_of(relay) for relay in fleet.relays]

    texts: list[str] = []
    with pytest.MonkeyPatch.context() as patch, caplog.at_level(logging.DEBUG):
        patch.setattr(FrameWriter, "add", record)
        run(lambda fleet: collect(texts, scenario, fleet), relays=3)
    assert messages
    written = [*texts, *(f"{each.msg} {each.__dict__}" for each in caplog.records)]
    assert any("over_quota" in each for each in written)
    assert any("request_unauthorized" in each for each in written)
    for key in (KEY, OTHER_KEY, UNKNOWN_KEY):
        digest = key_digest(key.encode())
        assert not [each for each in written if key in each or digest.hex() in each]
        assert not [each for each in messages if key.encode() in each]


async def collect(texts, scenario, fleet):
    texts += await scenario(fleet)


def metrics_of(relay):
    metrics = RelayMetrics(
        name="a", counts=relay.counts, gauges=lambda: read_gauges(relay)
    )
    return metrics.render().decode()

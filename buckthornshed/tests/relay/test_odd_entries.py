"""Tests of store entries and frames from writers that are no target and no relay."""

import asyncio
import json
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from buckthornshed.errors import PeerError, PlatformError, SettingsError
from buckthornshed.platform.documents import decode_catalog, decode_target
from buckthornshed.platform.settings import parse_settings
from buckthornshed.platform.store import (
    MAX_BODY_BYTES,
    HistoryLostError,
    StoreClient,
)
from buckthornshed.platform.wire import read_era
from buckthornshed.protocol.relay_frames import MESSAGE_ENCODER, FrameReader
from buckthornshed.protocol.relay_messages import FleetUpdate
from buckthornshed.state.generation import Generation
from buckthornshed.transport.relay.clients.request_router import _parse_milliseconds

from .fleet import configuration, fleet_of, until
from .test_platform_documents import REGISTRATION, SETTINGS

DEPTH = 100_000
"""Levels of nesting, far beyond the recursion limit of a decoder."""
DIGITS = 6_000
"""Digits of a number, more than `int` converts."""


def run(scenario):
    asyncio.run(scenario)


def nested(field, begin=b"[", end=b"]"):
    """Return a registration with one deeply nested value."""
    whole = json.dumps(REGISTRATION).encode()
    return b'%s, "%s": %s1%s}' % (whole[:-1], field, begin * DEPTH, end * DEPTH)


def with_text(field, text):
    """Return a registration with the JSON text of one value."""
    others = {name: value for name, value in REGISTRATION.items() if name != field}
    whole = json.dumps(others).encode()
    return b'%s, "%s": %s}' % (whole[:-1], field.encode(), text.encode())


ODD_VALUES = {
    "nested list": nested(b"notes"),
    "nested object": nested(b"notes", b'{"a":', b"}"),
    "nested known field": nested(b"version"),
    "slots of many digits": with_text("slots", "9" * DIGITS),
    "slots out of range": with_text("slots", "1e999"),
    "start beyond 64 bits": with_text("born", "9" * 30),
    "port out of range": with_text("addr", '"10.1.0.8:70000"'),
    "port out of range after zeros": with_text("addr", '"10.1.0.8:0000080123"'),
    "port of many digits": with_text("addr", f'"10.1.0.8:{"9" * DIGITS}"'),
    "bytes that are no text": b"\xff\xfe\x00",
}


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_an_odd_registration_raises_a_platform_error(value):
    with pytest.raises(PlatformError):
        decode_target("i-1", value)


@pytest.mark.parametrize(
    "name", ["i-1\r\nx: y", "", " i-1", "i-1\t", "i\0", "i\x7f", "i" * 201]
)
def test_a_name_that_cannot_be_sent_in_a_header_raises_a_platform_error(name):
    with pytest.raises(PlatformError):
        decode_target(name, json.dumps(REGISTRATION).encode())


def test_a_deeply_nested_configuration_raises_a_platform_error():
    document = json.dumps(configuration()).encode()
    value = b'%s, "notes": %s1%s}' % (document[:-1], b"[" * DEPTH, b"]" * DEPTH)
    with pytest.raises(PlatformError):
        decode_catalog(value)


json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=8)
    | st.sampled_from(["10.1.0.8:80", "ready", "0" * 9 + "1", "::1:1"]),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=6,
)


@given(st.dictionaries(st.sampled_from(sorted(REGISTRATION)), json_values, max_size=4))
def test_any_registration_is_decoded_or_raises_a_platform_error(changes):
    try:
        target = decode_target("i-1", json.dumps(REGISTRATION | changes).encode())
    except PlatformError:
        return
    assert 0 < int(target.address.rpartition(":")[2]) <= 65_535


@given(st.binary(max_size=60))
def test_any_bytes_are_decoded_or_raise_a_platform_error(value):
    for decode in (decode_catalog, lambda data: decode_target("i-1", data)):
        with pytest.raises(PlatformError):
            decode(value)


# Guards against a relay that stops following the store: the reader ended with an
# error that was none of the decoder's, began anew and met the same entry again.
@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_an_odd_entry_hides_neither_targets_nor_configurations(value):
    async def scenario():
        async with fleet_of(2) as fleet:
            await fleet.store.put("servers/a-odd", value)
            await fleet.register(fleet.targets[0], "stalls", state="draining", seq=2)
            await fleet.store.put("op/config", configuration(2))
            await until(lambda: all(follows(relay, fleet) for relay in fleet.relays))
            await fleet.store.drop_history()
            await fleet.restart(1)
            await until(lambda: follows(fleet.relays[1], fleet))
            response = await fleet.ask(fleet.relays[1])
            assert response.status == 200

    run(scenario())


SLOTLESS = with_text("slots", "0").replace(b'"ready"', b'"draining"')
UNNAMED_STATE = with_text("state", '"stopped"')


# Guards against bookings at a server that leaves, whose entry another writer has
# replaced (review/12): an entry that cannot be read names no server.
@pytest.mark.parametrize(
    "value", [*ODD_VALUES.values(), b"{}", SLOTLESS, UNNAMED_STATE]
)
def test_a_target_whose_entry_is_replaced_is_not_used_until_it_registers(value):
    async def scenario():
        async with fleet_of(6) as fleet:
            name = fleet.targets[0].name
            await fleet.store.put(f"servers/{name}", value)
            await until(lambda: not any(knows(each, name) for each in fleet.relays))
            assert fleet.relays[0].local_target.draining
            for relay in fleet.relays:
                assert (await fleet.ask(relay)).status == 200
            assert fleet.targets[0].ran == []
            await fleet.register(fleet.targets[0], "stalls", seq=2)
            await until(lambda: all(knows(each, name) for each in fleet.relays))
            await until(lambda: not fleet.relays[0].local_target.draining)

    run(scenario())


def knows(relay, name):
    usable = relay.fleet_view.usable.get("stalls", ())
    return name in {target.name for target in usable}


# Guards against an entry whose key is no text, which makes each answer of the store
# undecodable, so that no relay learns of anything more (review/7).
def test_a_key_that_is_no_text_hides_neither_targets_nor_configurations():
    async def scenario():
        async with fleet_of(2) as fleet:
            await fleet.store.put("servers/\udcff\udcfe", REGISTRATION)
            await fleet.register(fleet.targets[0], "stalls", state="draining", seq=2)
            await fleet.store.put("op/config", configuration(2))
            await until(lambda: all(follows(relay, fleet) for relay in fleet.relays))
            await fleet.store.drop_history()
            await fleet.restart(1)
            await until(lambda: follows(fleet.relays[1], fleet))
            assert (await fleet.ask(fleet.relays[1])).status == 200

    run(scenario())


# Guards against a reader that asks again and again for changes that are more than an
# answer may contain, and learns of nothing meanwhile (review/6).
def test_changes_beyond_the_size_of_an_answer_are_read_as_a_range():
    async def scenario():
        events = b'{"events": [], "at": 5, "x": "%s"}' % (b"x" * MAX_BODY_BYTES)
        server, address = await serve_once(events)
        client = StoreClient(address=address, clock=lambda: 0.0)
        with pytest.raises(HistoryLostError):
            await client.watch("", 4, 1.0)
        with pytest.raises(PlatformError) as error:
            await client.range("")
        assert not isinstance(error.value, HistoryLostError)
        server.close()

    run(scenario())


def follows(relay, fleet):
    view = relay.fleet_view
    names = {target.name for target in fleet.targets}
    return (
        view.catalog is not None
        and view.catalog.generation == Generation(2)
        and view.targets.keys() == names
        and view.targets[fleet.targets[0].name].draining
    )


async def serve_once(body):
    """Serve answers with `body`; return the server and its address."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nconnection: close\r\n"
            b"content-length: %d\r\n\r\n%s" % (len(body), body)
        )
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


def item(key):
    return json.dumps({"key": key, "rev": 1, "value": "e30="}).encode()


@pytest.mark.parametrize(
    "odd",
    [
        b'{"key": 5, "rev": 1, "value": "e30="}',
        b'{"key": "b", "rev": %s}' % (b"9" * DIGITS),
        b'{"key": "b", "rev": 1, "value": ["e30="]}',
        b"null",
        rb'{"key": "servers/\udcff\udcfe", "rev": 1, "value": "e30="}',
        rb'{"key": "b", "rev": 1, "value": "\ud800", "\udfff": 1}',
    ],
    ids=["key", "revision", "value", "null", "half a character", "halves elsewhere"],
)
@pytest.mark.parametrize("kind", ["range", "watch"])
def test_an_odd_item_hides_no_item_after_it(odd, kind):
    async def scenario():
        items = b"[%s, %s, %s]" % (item("a"), odd, item("c"))
        name = b"items" if kind == "range" else b"events"
        server, address = await serve_once(b'{"%s": %s, "at": 5}' % (name, items))
        client = StoreClient(address=address, clock=lambda: 0.0)
        reading = client.range("") if kind == "range" else client.watch("", 4, 1.0)
        batch = await reading
        assert [change.key for change in batch.changes] == ["a", "c"]
        server.close()

    run(scenario())


@pytest.mark.parametrize(
    "answer",
    [b'{"events": [], "at": 5, "x": %s1%s}' % (b"[" * DEPTH, b"]" * DEPTH)],
    ids=["nested"],
)
def test_an_odd_answer_of_the_store_raises_a_platform_error(answer):
    async def scenario():
        server, address = await serve_once(answer)
        client = StoreClient(address=address, clock=lambda: 0.0)
        with pytest.raises(PlatformError):
            await client.watch("", 4, 1.0)
        server.close()

    run(scenario())


def test_an_era_of_many_digits_is_no_era():
    assert read_era(((b"store-era", b"9" * DIGITS),)) is None
    assert read_era(((b"store-era", b"12"),)) == 12


def test_a_deeply_nested_frame_raises_a_peer_error():
    update = MESSAGE_ENCODER.encode(FleetUpdate())
    size = update[0] - 0x90
    odd = bytes([0x90 + size + 1]) + update[1:] + b"\x91" * DEPTH + b"\x90"
    reader = FrameReader()
    with pytest.raises(PeerError):
        reader.feed(compressed(odd))


def compressed(body):
    data = len(body).to_bytes(4, "big") + body
    compressor = zlib.compressobj(wbits=-12)
    return compressor.compress(data) + compressor.flush(zlib.Z_SYNC_FLUSH)


@pytest.mark.parametrize("value", [b"nan", b"inf", b"-inf", b"1e999", b"x", b""])
def test_a_deadline_that_is_no_finite_number_is_none(value):
    assert _parse_milliseconds(value) is None


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("limits.memoryMb=200", "limits.memoryMb=inf"),
        ("limits.memoryMb=200", "limits.memoryMb=nan"),
        ("appAddr=10.1.0.8:8301", "appAddr=10.1.0.8:99999"),
        ("appAddr=10.1.0.8:8301", "appAddr=10.1.0.8:²"),
        ("internalPorts=7620,7635", f"internalPorts=1,{'9' * DIGITS}"),
        ("limits.maxFds=4100", f"limits.maxFds={'9' * 4_000}"),
    ],
)
def test_odd_settings_raise_a_settings_error(old, new):
    assert old in SETTINGS
    with pytest.raises(SettingsError):
        parse_settings(SETTINGS.replace(old, new))

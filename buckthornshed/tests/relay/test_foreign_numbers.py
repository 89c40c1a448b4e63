"""Tests of numbers that others write: without a bound, and in any form of JSON."""

import json

import pytest

from buckthornshed.errors import PlatformError
from buckthornshed.platform.documents import decode_catalog, decode_target
from buckthornshed.platform.settings import parse_settings
from buckthornshed.platform.store import PAGE_DECODER, _decode, _read_items
from buckthornshed.protocol.foreign_objects import UnusableEntry
from buckthornshed.protocol.relay_frames import MESSAGE_DECODER, MESSAGE_ENCODER
from buckthornshed.protocol.relay_messages import FleetUpdate

from .fleet import configuration
from .test_platform_documents import SETTINGS

ENTRY = {
    "service": "stalls",
    "addr": "10.0.0.1:9000",
    "zone": "a",
    "version": "v1",
    "slots": 5,
    "state": "ready",
    "coldLeftS": 2,
    "seq": 3,
    "born": 1_774_680_278_000,
}
HUGE = ["9223372036854775808", "20261207221530123456", "1e30", "1e400", "9" * 5_000]


def with_number(document, path, text):
    """Return a document with the text of a number in place of the value at a path."""
    document = json.loads(json.dumps(document))
    place = document
    for part in path[:-1]:
        place = place[part]
    place[path[-1]] = "number"
    return json.dumps(document).replace('"number"', text).encode()


def target_with(field, text):
    return decode_target("i-1", with_number(ENTRY, [field], text))


# Guards against a running target that no relay uses for the form of a number.
@pytest.mark.parametrize("field", ["born", "seq", "slots", "coldLeftS"])
@pytest.mark.parametrize("form", ["{}.0", "{}e0", "{}.000E+0", "{}0e-1"])
def test_a_registration_may_have_whole_numbers_in_any_form(field, form):
    plain = decode_target("i-1", json.dumps(ENTRY).encode())
    assert target_with(field, form.format(ENTRY[field])) == plain


# Guards against a target that no relay uses, or cannot tell others of.
@pytest.mark.parametrize("field", ["seq", "coldLeftS"])
@pytest.mark.parametrize("text", HUGE)
def test_a_registration_may_have_numbers_without_a_bound(field, text):
    target = target_with(field, text)
    update = FleetUpdate(
        targets=[target], tombstones=[(target.name, target.started, target.sequence)]
    )
    assert MESSAGE_DECODER.decode(MESSAGE_ENCODER.encode(update)) == update
    assert target.sequence >= ENTRY["seq"] and target.warmup_left >= 2.0


@pytest.mark.parametrize("text", ["1000001", "9223372036854775807"])
def test_a_target_with_many_slots_is_used(text):
    assert target_with("slots", text).slots == 1_000_000


# A start that no clock shows would take the address from the target that has it.
@pytest.mark.parametrize("text", HUGE)
def test_an_entry_from_beyond_all_clocks_names_no_target(text):
    with pytest.raises(PlatformError):
        target_with("born", text)


def test_long_sequence_numbers_keep_their_order():
    texts = ["3", *(f"202612072215301{number:05}" for number in range(9)), "9" * 25]
    sequences = [target_with("seq", text).sequence for text in texts]
    assert sequences == sorted(sequences)
    assert target_with("seq", "20261207221530123456").sequence < (
        target_with("seq", "20261207221531123456").sequence
    )


@pytest.mark.parametrize(
    ("field", "text"),
    [
        ("slots", "5.5"),
        ("slots", "-5"),
        ("seq", "-1"),
        ("born", '"3"'),
        ("seq", "true"),
    ],
)
def test_a_registration_with_another_type_or_sign_names_no_target(field, text):
    with pytest.raises(PlatformError):
        target_with(field, text)


NUMBERS = {
    "timeout": ["listeners", 0, "rules", 0, "action", "timeoutS"],
    "attempts": ["listeners", 0, "rules", 0, "action", "attempts"],
    "objective": ["listeners", 0, "rules", 0, "sloS"],
    "rank": ["listeners", 0, "rules", 0, "priority"],
    "head": ["limits", "maxHeaderBytes"],
    "body": ["limits", "maxBodyBytes"],
    "head_timeout": ["limits", "headerTimeoutS"],
    "idle_timeout": ["limits", "idleTimeoutS"],
    "priority": ["tenants", 0, "priority"],
    "rate": ["tenants", 0, "ratePerS"],
    "burst": ["tenants", 0, "burst"],
}
TENANTS = [{"name": "yard", "apiKeys": ["k"], "priority": 1, "ratePerS": 1, "burst": 1}]


# Guards against a number that falls back to its default, or costs its route.
@pytest.mark.parametrize("path", NUMBERS.values(), ids=NUMBERS)
@pytest.mark.parametrize("text", HUGE)
def test_a_configuration_may_have_numbers_without_a_bound(path, text):
    document = configuration() | {"tenants": TENANTS}
    entries: list[UnusableEntry] = []
    catalog = decode_catalog(with_number(document, path, text), entries.append)
    assert entries == []
    reference = decode_catalog(with_number(document, path, "1e17"), entries.append)
    assert catalog.keys == reference.keys
    update = FleetUpdate(catalog=catalog)
    assert MESSAGE_DECODER.decode(MESSAGE_ENCODER.encode(update)) == update
    (routes,) = catalog.routes.values()
    (plain,) = reference.routes.values()
    for route, other in zip(routes, plain, strict=True):
        assert route.destinations == other.destinations
        assert route.rank >= other.rank and route.attempts >= other.attempts
        assert route.timeout >= other.timeout and route.objective >= other.objective


@pytest.mark.parametrize("text", ["7.0", "7e0", "70e-1"])
def test_weights_and_counts_may_be_written_in_any_form(text):
    document = configuration()
    split = [{"service": "stalls", "weight": 7}, {"service": "b", "weight": 7}]
    document["listeners"][0]["rules"][0]["action"] |= {"trafficSplit": split}
    path = ["listeners", 0, "rules", 0, "action", "trafficSplit", 0, "weight"]
    plain = decode_catalog(json.dumps(document).encode())
    assert decode_catalog(with_number(document, path, text)) == plain
    path = ["listeners", 0, "rules", 0, "action", "attempts"]
    assert decode_catalog(with_number(document, path, text)) == decode_catalog(
        with_number(document, path, "7")
    )


# Guards against a store whose every answer is taken for unreadable.
@pytest.mark.parametrize("text", ["12", "12.0", "1.2e1"])
def test_revisions_may_be_written_in_any_form(text):
    page = {"items": [{"key": "k", "rev": 1, "value": "YQ=="}], "at": 1}
    for path in (["at"], ["items", 0, "rev"]):
        decoded = _decode(PAGE_DECODER, with_number(page, path, text))
        assert decoded.at == (12 if path == ["at"] else 1)
        assert [each.value for each in _read_items(decoded.items)] == [b"a"]


@pytest.mark.parametrize("text", ["4100", "4100.0", "4.1e3"])
def test_the_limit_of_descriptors_may_be_written_in_any_form(text):
    settings = parse_settings(SETTINGS.replace("maxFds=4100", f"maxFds={text}"))
    assert settings.descriptors == 4_100

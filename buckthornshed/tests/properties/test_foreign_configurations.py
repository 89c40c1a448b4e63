"""Property tests: an odd part of a configuration costs its own object alone."""

import copy
import json

from hypothesis import assume, given, settings
from hypothesis import strategies as st

from buckthornshed.coordination.workspaces.identity import identify
from buckthornshed.errors import PlatformError
from buckthornshed.platform.documents import decode_catalog
from buckthornshed.protocol.foreign_objects import UnusableEntry
from buckthornshed.protocol.header_values import is_header_value
from buckthornshed.protocol.relay_frames import FrameReader, FrameWriter
from buckthornshed.protocol.relay_messages import FleetUpdate
from buckthornshed.state.generation import Generation
from buckthornshed.state.workspaces import UNUSABLE_WORKSPACE, key_digest
from buckthornshed.tests.relay.fleet import HOST, configuration

REPEATABLE = settings(derandomize=True, deadline=None, max_examples=300)
OUT_OF_RANGE = "1e400"
"""A number that JSON allows and no float holds."""
RAW_NUMBER = "raw number"

odd_text = st.text(max_size=6) | st.text(
    st.characters(categories=["Cs", "Cc", "Zs", "Lo"]), max_size=6
)
odd_numbers = (
    st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from([10**30, -(10**30), 10**400, 1e308, 5e-324, 1.0, RAW_NUMBER])
)
odd_values = st.recursive(
    st.none() | st.booleans() | odd_numbers | odd_text,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(odd_text, inner, max_size=3)
    ),
    max_leaves=4,
)
sendable_names = st.text(min_size=1, max_size=9).filter(is_header_value)


def make_document(names):
    """Return a configuration with a tenant of each name; its key names its place."""
    document = configuration(7, extra_paths=("one", "two"))
    document["tenants"] = [
        {"name": name, "apiKeys": [f"key-{place}"], "ratePerS": 5, "burst": place}
        for place, name in enumerate(names)
    ]
    return document


def encode(document):
    """Return the JSON text, in which odd numbers and half characters are kept."""
    text = json.dumps(document)
    return text.replace(f'"{RAW_NUMBER}"', OUT_OF_RANGE).encode()


def objects_of(document):
    """Return the objects of a configuration with the list that each is in."""
    (host,) = document["listeners"]
    yield from ((host["rules"], place) for place in range(len(host["rules"])))
    yield from ((document["tenants"], n) for n in range(len(document["tenants"])))
    yield document["clusters"], 0


def decode(document):
    entries: list[UnusableEntry] = []
    return decode_catalog(encode(document), entries.append), entries


def holder(catalog, place):
    return catalog.keys.get(key_digest(f"key-{place}".encode()))


@REPEATABLE
@given(st.lists(sendable_names, min_size=1, max_size=4, unique=True), st.data())
def test_one_odd_field_costs_no_other_object(names, data):
    document = make_document(names)
    before, no_entries = decode(document)
    assert not no_entries
    odd = copy.deepcopy(document)
    number = data.draw(st.integers(0, len(list(objects_of(odd))) - 1))
    objects, place = list(objects_of(odd))[number]
    fields = objects[place]
    if data.draw(st.booleans()) and "action" in fields:
        fields = fields["action"]
    field = data.draw(st.sampled_from([*sorted(fields), "unknown"]))
    fields[field] = data.draw(odd_values)
    is_tenant = objects is odd["tenants"]
    if is_tenant and field == "name":
        assume(fields["name"] not in names)
    after, _ = decode(odd)
    assert after.generation == Generation(7)
    if not is_tenant:
        assert after.workspaces == before.workspaces
        assert after.keys == before.keys
    for index, name in enumerate(names):
        if not (is_tenant and index == place):
            assert holder(after, index) == name
            assert after.workspaces[name] == before.workspaces[name]
    if is_tenant:
        assert holder(after, place) in (None, UNUSABLE_WORKSPACE, fields["name"])
        held_by = holder(after, place)
        assert held_by in (None, UNUSABLE_WORKSPACE) or is_header_value(held_by)
    rules = document["listeners"][0]["rules"]
    is_rule = objects is odd["listeners"][0]["rules"]
    changed = rules[place]["name"] if is_rule else None
    for route in before.routes[HOST]:
        if route.name != changed:
            assert route in after.routes[HOST]
    assert_can_be_told(after)


@REPEATABLE
@given(odd_values, st.sampled_from(["tenants", "limits", "clusters", "unknown"]))
def test_an_odd_part_costs_no_other_part(value, part):
    before, _ = decode(make_document(["yard"]))
    after, _ = decode(make_document(["yard"]) | {part: value})
    assert after.generation == Generation(7)
    assert after.routes == before.routes
    if part != "tenants":
        assert after.keys == before.keys
    elif value not in (None, []):
        (route, *_) = after.routes[HOST]
        for keys in ([], [b"key-0"]):
            assert not identify(after, route, keys).authorized
    assert_can_be_told(after)


@REPEATABLE
@given(st.dictionaries(st.sampled_from(sorted(make_document([]))), odd_values))
def test_any_document_is_decoded_or_raises_a_platform_error(changes):
    try:
        catalog, _ = decode(make_document(["yard"]) | changes)
    except PlatformError:
        return
    assert_can_be_told(catalog)


@REPEATABLE
@given(odd_text)
def test_a_workspace_whose_name_cannot_be_sent_keeps_its_key_from_use(name):
    assume(name != "yard")
    catalog, entries = decode(make_document(["yard", name]))
    assert holder(catalog, 0) == "yard"
    if is_header_value(name):
        assert holder(catalog, 1) == name
        assert not entries
    else:
        assert holder(catalog, 1) == UNUSABLE_WORKSPACE
        assert {entry.kind for entry in entries} == {"workspace"}


def assert_can_be_told(catalog):
    """Another relay gets the same configuration."""
    writer = FrameWriter()
    writer.add(FleetUpdate(catalog=catalog))
    (update,) = FrameReader().feed(writer.flush())
    assert isinstance(update, FleetUpdate)
    assert update.catalog == catalog

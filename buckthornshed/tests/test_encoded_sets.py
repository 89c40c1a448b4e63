"""Tests of sets whose objects are canonical bytes."""

from typing import Any

import pytest

from buckthornshed.errors import ConfigurationError
from buckthornshed.protocol import encoded_sets
from buckthornshed.protocol.encoded_sets import (
    EncodedSet,
    EncodedSets,
    decode_objects,
    decode_set,
    encode_objects,
    encode_set,
)
from buckthornshed.protocol.findings import FindingsError
from buckthornshed.protocol.published import publish

from .small_set import small_set

CHANGES: dict[str, dict[str, Any]] = {
    "same": {},
    "changed": {"priority/low": b'{"rank":5}'},
    "added": {"provider/third": b"{}"},
    "removed": {"shift/stables": None},
    "dangling": {"priority/low": None},
    "fault": {"priority/low": b'{"rank":99}'},
    "not_an_object": {"priority/low": b"3"},
    "not_canonical": {"priority/low": b'{"rank": 5}'},
    "not_json": {"priority/low": b"{"},
    "unknown_kind": {"relay/x": b"{}"},
    "bad_name": {"provider/": b"{}"},
}


def changed_by(change):
    objects = encode_objects(small_set()) | CHANGES[change]
    return {key: value for key, value in objects.items() if value is not None}


def verdict(sets, objects):
    try:
        return sets.check(objects)
    except FindingsError as error:
        return error.findings
    except ConfigurationError as error:
        return str(error)


def test_value_and_encoded_objects_are_one_set():
    published = publish(small_set(), 7)
    objects = encode_objects(small_set())
    digest = bytes.fromhex(published.digest)
    assert decode_set(encode_set(7, objects)) == EncodedSet(7, digest, objects)
    assert decode_objects(objects) == small_set()


@pytest.mark.parametrize("change", CHANGES)
def test_verdict_does_not_depend_on_the_set_before(change):
    objects = changed_by(change)
    expected = verdict(EncodedSets(), objects)
    for before in CHANGES:
        sets = EncodedSets()
        verdict(sets, changed_by(before))
        assert verdict(sets, objects) == expected
        assert verdict(sets, objects) == expected


@pytest.mark.parametrize("change", ["same", "changed", "added", "removed"])
def test_digest_follows_each_change(change):
    sets = EncodedSets()
    before = sets.digest(changed_by("same"))
    objects = changed_by(change)
    expected = bytes.fromhex(publish(decode_objects(objects), 1).digest)
    assert sets.digest(objects) == expected
    assert sets.digest(changed_by("same")) == before


def test_refused_set_leaves_the_accepted_one():
    sets = EncodedSets()
    accepted = sets.check(changed_by("added"))
    with pytest.raises(FindingsError):
        sets.check(changed_by("fault"))
    assert sets.objects is accepted
    assert "third" in accepted["provider"]


def test_change_does_not_cost_the_whole_check(monkeypatch):
    sets = EncodedSets()
    sets.check(changed_by("same"))
    monkeypatch.delattr(encoded_sets, "check_set")
    assert sets.check(changed_by("changed"))["priority"]["low"] == {"rank": 5}

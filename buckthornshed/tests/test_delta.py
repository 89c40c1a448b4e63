"""Tests of differences between published sets."""

from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornshed.protocol.configuration import check_change, check_set
from buckthornshed.protocol.delta import Delta, DeltaError, advance, apply, delta
from buckthornshed.protocol.encoded_sets import EncodedObjectError
from buckthornshed.protocol.fields import KINDS
from buckthornshed.protocol.findings import FindingsError
from buckthornshed.protocol.published import (
    decode_published,
    encode_published,
    publish,
)

from .small_set import small_set

REPEATABLE = settings(derandomize=True, deadline=None, max_examples=100)


@st.composite
def sets(draw):
    objects = small_set()
    for number in draw(st.sets(st.integers(0, 9), max_size=4)):
        name = f"extra-{number}"
        objects["priority"][name] = {"rank": draw(st.integers(0, 15))}
        objects["provider"][name] = {}
    objects["target"]["stables-1"]["slots"] = draw(st.integers(1, 3))
    return objects


@REPEATABLE
@given(sets(), sets(), sets())
def test_deltas_lead_from_each_set_to_the_next(first, second, third):
    published = [publish(each, 5 + n) for n, each in enumerate((first, second, third))]
    before = publish(first, 5)
    reached = published[0]
    for old, new in pairwise(published):
        change = delta(old, new)
        assert not change.changed.keys() & set(change.removed)
        reached = apply(reached, change)
        assert reached == new
    assert published[0] == before


def test_delta_holds_only_what_changed():
    objects = small_set()
    objects["priority"]["low"]["rank"] = 5
    objects["provider"]["third"] = {}
    change = delta(publish(small_set(), 1), publish(objects, 2))
    assert change.changed == {"priority/low": b'{"rank":5}', "provider/third": b"{}"}
    assert change.removed == ()


def good_delta() -> Delta:
    objects = small_set()
    objects["priority"]["low"]["rank"] = 5
    return delta(publish(small_set(), 3), publish(objects, 4))


@pytest.mark.parametrize(
    ("subject", "changes"),
    [
        ("base generation", {"base_generation": 2}),
        ("generation", {"generation": 3}),
        ("digest", {"digest": "0" * 64}),
        ("digest", {"changed": {}}),
        ("digest", {"changed": {"priority/low": b'{"rank":6}'}}),
        ("priority/low", {"changed": {"priority/low": b'{ "rank": 5 }'}}),
        ("priority/low", {"changed": {"priority/low": b"{"}}),
        ("priority/low", {"changed": {"priority/low": b"[" * 100_000}}),
        ("priority/low", {"changed": {"priority/low": b'"\xff"'}}),
        ("object", {"changed": {"relay/low": b"{}"}}),
        ("delta", {"removed": ("priority/lowest",)}),
        ("delta", {"removed": ("priority",)}),
        ("object", {"removed": ("relay/x",)}),
    ],
)
def test_delta_that_does_not_fit_is_refused(subject, changes):
    with pytest.raises((DeltaError, EncodedObjectError)) as caught:
        apply(publish(small_set(), 3), good_delta()._replace(**changes))
    assert caught.value.subject == subject


def test_delta_to_a_set_with_faults_is_refused():
    objects = small_set()
    del objects["priority"]["low"]
    old = publish(small_set(), 3)
    with pytest.raises(FindingsError):
        apply(old, delta(old, publish(objects, 4)))


def test_value_is_followed_with_its_delta():
    objects = small_set()
    objects["priority"]["low"]["rank"] = 5
    old, value = publish(small_set(), 3), encode_published(objects, 4)
    assert advance(old, value) == (decode_published(value), good_delta())
    with pytest.raises(DeltaError):
        advance(publish(small_set(), 4), value)


@settings(REPEATABLE, max_examples=300)
@given(st.data())
def test_check_of_a_change_finds_what_the_check_of_the_set_finds(data):
    objects: Any = small_set()
    changed: dict[str, dict[str, Any]] = {}
    removed = set()
    for _ in range(data.draw(st.integers(1, 3))):
        kind = data.draw(st.sampled_from(sorted(KINDS)))
        name = data.draw(st.sampled_from([*objects[kind], "another"]))
        donors = list(objects[kind].values())
        if not donors or data.draw(st.booleans()):
            removed.update([kind] if objects[kind].pop(name, None) is not None else [])
            changed.get(kind, {}).pop(name, None)
            continue
        fields = dict(data.draw(st.sampled_from(donors)))
        field = data.draw(st.sampled_from([*fields, "slots"]))
        same = [each[field] for each in donors if field in each]
        values = st.sampled_from([*same, 0, 3500, "browse", "POST", ["stables"], False])
        fields[field] = data.draw(values)
        objects[kind][name] = changed.setdefault(kind, {})[name] = fields
    found = check_change(objects, changed=changed, removed=removed)
    assert found == check_set(objects)

"""Tests of the values of the platform."""

import pytest

from buckthornshed.protocol import published_values as module
from buckthornshed.protocol.delta import delta
from buckthornshed.protocol.published import (
    PublishedValueError,
    decode_published,
    publish,
)
from buckthornshed.protocol.published_values import (
    decode_delta_value,
    decode_head_value,
    published_values,
)

from .small_set import small_set


def next_set():
    objects = small_set()
    objects["priority"]["low"]["rank"] = 5
    del objects["shift"]["stables"]
    return objects


def test_values_hold_one_version_and_the_head_comes_last():
    last, new = publish(small_set(), 3), publish(next_set(), 7)
    values = published_values(next_set(), 7, last)
    assert list(values) == ["delta/7", "set", "head"]
    assert decode_published(values["set"]) == new
    assert decode_head_value(values["head"]) == (7, bytes.fromhex(new.digest))
    step, expected = decode_delta_value(values["delta/7"]), delta(last, new)
    assert step.digest == bytes.fromhex(expected.digest)
    assert step._replace(digest=b"") == (3, 7, b"", expected.changed, expected.removed)


def test_first_set_has_no_delta():
    assert list(published_values(small_set(), 1, None)) == ["set", "head"]


def test_delta_above_the_limit_is_left_out(monkeypatch):
    monkeypatch.setattr(module, "MAX_SET_BYTES", 40)
    values = published_values(next_set(), 4, publish(small_set(), 3))
    assert list(values) == ["set", "head"]


@pytest.mark.parametrize("generation", [0, 2, 3])
def test_generation_has_to_rise(generation):
    with pytest.raises(PublishedValueError, match="generation"):
        published_values(small_set(), generation, publish(small_set(), 3))

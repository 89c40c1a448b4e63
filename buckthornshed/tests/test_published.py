"""Tests of the published value."""

import zlib

import msgspec
import pytest

from buckthornshed.protocol.findings import FindingsError
from buckthornshed.protocol.published import (
    MAGIC,
    MAX_JSON_BYTES,
    PublishedValueError,
    decode_published,
    encode_published,
    publish,
)

from .small_set import small_set


def test_value_returns_set_generation_and_digest():
    assert decode_published(encode_published(small_set(), 7)) == publish(small_set(), 7)


def reordered(objects):
    return {kind: dict(reversed(objects[kind].items())) for kind in reversed(objects)}


def test_digest_is_of_the_set_and_not_of_its_order_or_generation():
    objects = small_set()
    turned = reordered(small_set())
    assert publish(turned, 2).digest == publish(objects, 1).digest
    objects["priority"]["low"]["rank"] = 5
    assert publish(turned, 2).digest != publish(objects, 1).digest


def test_set_with_faults_is_refused_by_the_reader():
    objects = small_set()
    del objects["priority"]["low"]
    value = encode_published(objects, 1)
    with pytest.raises(FindingsError, match=r"route.browse: priority: found 'low'"):
        decode_published(value)


def packed(document) -> bytes:
    return MAGIC + zlib.compress(msgspec.json.encode(document))


@pytest.mark.parametrize(
    "value",
    [
        b"",
        MAGIC,
        MAGIC + b"garbage",
        MAGIC + zlib.compress(b"{"),
        MAGIC + zlib.compress(b"[" * 100_000),
        MAGIC + zlib.compress(b" " * (MAX_JSON_BYTES + 1)),
        b"BTS2" + encode_published(small_set(), 1)[4:],
        encode_published(small_set(), 1)[:-1],
        encode_published(small_set(), 1) + b"x",
        bytes(1_000_001),
        packed({"generation": 0, "digest": "", "objects": {}}),
        packed({"generation": 1, "digest": "", "objects": {}}),
        packed({"generation": 1, "digest": "", "objects": small_set()}),
        packed({"generation": 1, "digest": "", "objects": {"route": {"book": 3}}}),
    ],
)
def test_malformed_value_is_refused_with_a_typed_error(value):
    with pytest.raises(PublishedValueError):
        decode_published(value)


@pytest.mark.parametrize("generation", [0, -1, 2**63])
def test_generation_out_of_range_is_refused(generation):
    with pytest.raises(PublishedValueError, match="generation"):
        encode_published(small_set(), generation)

"""The value that operators publish on the platform.

A value is ``MAGIC`` followed by compressed JSON of the generation, the digest and the
objects. One value holds the whole set, so that readers see each change atomically.
"""

import zlib
from collections.abc import Iterator, Mapping
from typing import Annotated, Any, NamedTuple, cast

import msgspec

from ..errors import ConfigurationError
from ..state.objects import ConfigurationSet
from .canonical import Digests, canonical_bytes, compute_digests, set_digest
from .configuration import require_valid
from .decoding import DECODE_ERRORS
from .fields import KINDS
from .findings import Finding

__all__ = [
    "MAX_GENERATION",
    "MAX_SET_BYTES",
    "MAX_VALUE_BYTES",
    "PublishedSet",
    "PublishedValueError",
    "build_published_set",
    "check_size",
    "decode_published",
    "encode_published",
    "unpack_published",
]

MAGIC = b"BTS1"
"""Format identifier at the start of a value; any later format has another one."""

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the platform stores."""

MAX_SET_BYTES = 16_000_000
"""Largest set before compression; bounds the memory for decompressing a value."""

MAX_JSON_BYTES = MAX_SET_BYTES + 1_000
"""Largest JSON of a value: a set with its generation and digest."""

MAX_GENERATION = 2**63 - 1

COMPRESSION_LEVEL = 6


class PublishedValueError(ConfigurationError):
    """A published value is malformed, or its digest is wrong."""


class PublishedSet(NamedTuple):
    """A set with its generation and digests.

    Parameters
    ----------
    generation : int
        Starts at 1 and increases with each published set.
    digest : str
        Hexadecimal digest of the set, see `canonical.set_digest`.
    objects : ConfigurationSet
        The set.
    digests : dict
        Digest of each object by ``kind/name``.
    """

    generation: int
    digest: str
    objects: ConfigurationSet
    digests: Digests


class _Value(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The JSON document in a value."""

    generation: Annotated[int, msgspec.Meta(ge=1, le=MAX_GENERATION)]
    digest: str
    objects: dict[str, dict[str, dict[str, Any]]]


DECODER = msgspec.json.Decoder(_Value)


def build_published_set(objects: ConfigurationSet, generation: int) -> PublishedSet:
    """Return `objects` with `generation` and their digests, without checking them."""
    digests = compute_digests(objects)
    return PublishedSet(generation, set_digest(digests), objects, digests)


def encode_published(objects: ConfigurationSet, generation: int) -> bytes:
    """Encode a set as the value to publish.

    The caller must check the set first; readers reject a set with faults.

    Raises
    ------
    PublishedValueError
        If the generation is out of range, or the set exceeds ``MAX_SET_BYTES`` or
        its value ``MAX_VALUE_BYTES``.
    """
    if not 1 <= generation <= MAX_GENERATION:
        raise PublishedValueError(
            subject="generation",
            found=str(generation),
            expected=f"an integer from 1 to {MAX_GENERATION}",
        )
    value = _encode(objects, generation)
    for violation in _size_violations(objects, value):
        raise PublishedValueError(
            subject="value", found=violation.found, expected=violation.expected
        )
    return value


def check_size(objects: ConfigurationSet) -> tuple[Finding, ...]:
    """Return a finding for each size limit that `objects` exceed."""
    violations = _size_violations(objects, _encode(objects, MAX_GENERATION))
    return tuple(Finding("", "", "", *size) for size in violations)


class _SizeViolation(NamedTuple):
    """A size that exceeds its limit, and the limit, as text."""

    found: str
    expected: str


def _size_violations(
    objects: ConfigurationSet, value: bytes
) -> Iterator[_SizeViolation]:
    """Yield each size limit that a set or its value exceeds."""
    size = len(canonical_bytes(objects))
    if size > MAX_SET_BYTES:
        found = f"{size} bytes before compression"
        yield _SizeViolation(found, f"at most {MAX_SET_BYTES} bytes")
    if len(value) > MAX_VALUE_BYTES:
        found = f"{len(value)} bytes as published"
        yield _SizeViolation(found, f"at most {MAX_VALUE_BYTES} bytes")


def _encode(objects: ConfigurationSet, generation: int) -> bytes:
    value = _Value(
        generation=generation,
        digest=set_digest(compute_digests(objects)),
        objects=objects,  # type: ignore[arg-type]
    )
    return MAGIC + zlib.compress(canonical_bytes(value), COMPRESSION_LEVEL)


def unpack_published(value: bytes) -> PublishedSet:
    """Decode a value and verify its digest, without checking the set.

    Raises
    ------
    PublishedValueError
        If the value is malformed or too large, or its digest is wrong.
    """
    parsed = _parse(_decompress(value))
    _require_all_kinds(parsed.objects)
    digests = compute_digests(parsed.objects)
    digest = set_digest(digests)
    if digest != parsed.digest:
        raise PublishedValueError(
            subject="digest", found=parsed.digest[:64], expected=digest
        )
    objects = cast(ConfigurationSet, parsed.objects)
    return PublishedSet(parsed.generation, digest, objects, digests)


def decode_published(value: bytes) -> PublishedSet:
    """Decode a value, verify its digest and check the set.

    Raises
    ------
    PublishedValueError
        If the value is malformed or too large, or its digest is wrong.
    FindingsError
        If the set has faults.
    """
    published = unpack_published(value)
    require_valid(published.objects)
    return published


def _decompress(value: bytes) -> bytes:
    if len(value) > MAX_VALUE_BYTES:
        raise PublishedValueError(
            subject="value",
            found=f"{len(value)} bytes",
            expected=f"at most {MAX_VALUE_BYTES} bytes",
        )
    if not value.startswith(MAGIC):
        raise PublishedValueError(
            subject="value", found=repr(value[: len(MAGIC)]), expected=repr(MAGIC)
        )
    stream = zlib.decompressobj()
    try:
        data = stream.decompress(value[len(MAGIC) :], MAX_JSON_BYTES)
    except zlib.error as error:
        raise PublishedValueError(
            subject="value", found=str(error), expected="compressed JSON"
        ) from error
    if not stream.eof or stream.unused_data:
        raise PublishedValueError(
            subject="value",
            found="incomplete, oversized or trailing data",
            expected=f"one compressed set of at most {MAX_JSON_BYTES} bytes",
        )
    return data


def _parse(data: bytes) -> _Value:
    try:
        return DECODER.decode(data)
    except DECODE_ERRORS as error:
        raise PublishedValueError(
            subject="value", found=str(error), expected="JSON of a published set"
        ) from error


def _require_all_kinds(objects: Mapping[str, Any]) -> None:
    """Reject a value without an entry for each kind: readers index sets by kind."""
    missing = sorted(KINDS.keys() - objects.keys())
    if missing:
        raise PublishedValueError(
            subject="value", found=f"no kind {missing[0]}", expected="every kind"
        )

"""The values on the platform: the whole set, the head and the deltas.

The platform stores ``head`` (the version of the latest set), ``delta/<generation>``
(the delta from the previous generation) and ``set`` (see ``protocol.published``).
"""

from google.protobuf.message import DecodeError

from ..errors import ConfigurationError
from ..state.objects import ConfigurationSet
from .delta import compute_delta
from .peer_codec import decode_delta, decode_version, encode_delta, encode_version
from .peer_messages import MAX_SET_BYTES, NO_VERSION, Delta, Version
from .published import (
    PublishedSet,
    PublishedValueError,
    build_published_set,
    encode_published,
)
from .wire import peer_pb2 as wire

__all__ = [
    "HEAD",
    "SET",
    "decode_delta_value",
    "decode_head_value",
    "delta_key",
    "encode_delta_value",
    "encode_head_value",
    "published_values",
]

HEAD = "head"
"""Key of the version of the latest set."""

SET = "set"
"""Key of the latest set."""

MAX_HEAD_BYTES = 200
"""Largest encoded head."""


def delta_key(generation: int) -> str:
    """Return the key of the delta whose result is `generation`."""
    return f"delta/{generation}"


def published_values(
    objects: ConfigurationSet, generation: int, previous: PublishedSet | None
) -> dict[str, bytes]:
    """Return the values to put on the platform by key, in the order to write them.

    The head comes last because nodes watch it: when it changes, the other values are
    already there. A delta above ``MAX_SET_BYTES`` is omitted, and nodes read the whole
    set instead.

    Parameters
    ----------
    objects : ConfigurationSet
        A set that passed the check.
    generation : int
        Generation of the set, above that of `previous`.
    previous : PublishedSet or None
        The currently published set, or None if there is none.

    Raises
    ------
    PublishedValueError
        If the generation is out of range or not above that of `previous`, or the set
        is too large.
    """
    if previous and generation <= previous.generation:
        raise PublishedValueError(
            subject="generation",
            found=str(generation),
            expected=f"more than {previous.generation}, the published generation",
        )
    body = encode_published(objects, generation)
    published = build_published_set(objects, generation)
    values: dict[str, bytes] = {}
    if previous:
        encoded_delta = encode_delta_value(compute_peer_delta(previous, published))
        if len(encoded_delta) <= MAX_SET_BYTES:
            values[delta_key(generation)] = encoded_delta
    values[SET] = body
    values[HEAD] = encode_head_value(set_version(published))
    return values


def set_version(published: PublishedSet) -> Version:
    """Return the version of a set."""
    return Version(published.generation, bytes.fromhex(published.digest))


def compute_peer_delta(old: PublishedSet, new: PublishedSet) -> Delta:
    """Return the delta between two sets in the form that nodes exchange."""
    delta = compute_delta(old, new)
    digest = bytes.fromhex(delta.digest)
    return Delta(
        delta.base_generation, delta.generation, digest, delta.changed, delta.removed
    )


def encode_head_value(version: Version) -> bytes:
    """Encode a version as the value ``head``."""
    return encode_version(version).SerializeToString()


def decode_head_value(body: bytes) -> Version:
    """Decode the value ``head``.

    Raises
    ------
    ConfigurationError
        If the value is malformed.
    """
    if len(body) > MAX_HEAD_BYTES:
        raise unreadable_value_error("head", f"{len(body)} bytes")
    try:
        version = decode_version(wire.Version.FromString(body))
    except DecodeError as error:
        raise unreadable_value_error("head", str(error)) from error
    if version == NO_VERSION or not version.digest:
        raise unreadable_value_error("head", "no generation or no digest")
    return version


def encode_delta_value(delta: Delta) -> bytes:
    """Encode a delta as the value ``delta/<generation>``."""
    return encode_delta(delta).SerializeToString()


def decode_delta_value(body: bytes) -> Delta:
    """Decode a value ``delta/<generation>``.

    Raises
    ------
    ConfigurationError
        If the value is malformed, or its generation is not above its base.
    """
    if len(body) > MAX_SET_BYTES:
        raise unreadable_value_error("delta", f"{len(body)} bytes")
    try:
        delta = decode_delta(wire.Delta.FromString(body))
    except DecodeError as error:
        raise unreadable_value_error("delta", str(error)) from error
    if delta.generation <= delta.base_generation:
        raise unreadable_value_error("delta", f"generation {delta.generation}")
    return delta


def unreadable_value_error(subject: str, found: str) -> ConfigurationError:
    """Return the error for a malformed value."""
    return ConfigurationError(
        subject=subject, found=found, expected="a valid published value"
    )

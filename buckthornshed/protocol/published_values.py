"""The values of the platform: the whole set, the head and the deltas.

The platform holds ``head`` (the version of the latest set), ``delta/<generation>``
(what leads from the generation before) and ``set`` (see ``protocol.published``).
"""

from google.protobuf.message import DecodeError

from ..errors import ConfigurationError
from ..state.objects import ConfigurationSet
from .delta import delta as difference
from .peer_codec import decode_delta, decode_version, encode_delta, encode_version
from .peer_messages import MAX_SET_BYTES, NO_VERSION, Delta, Version
from .published import Published, PublishedValueError, encode_published, publish
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
    """Return the key of the delta that leads to a generation."""
    return f"delta/{generation}"


def published_values(
    objects: ConfigurationSet, generation: int, previous: Published | None
) -> dict[str, bytes]:
    """Return what to put on the platform, by key and in the order of putting.

    The head comes last, as it is what nodes watch. A delta above ``MAX_SET_BYTES``
    is left out; nodes read the whole set in its place.

    Parameters
    ----------
    objects : ConfigurationSet
        A set that passed the check.
    generation : int
        Its generation, above that of `previous`.
    previous : Published or None
        The set that is published now, see `published.publish`; None for none.

    Raises
    ------
    PublishedValueError
        If the generation is out of range or the set too large.
    """
    if previous and generation <= previous.generation:
        raise PublishedValueError(
            subject="generation",
            found=str(generation),
            expected=f"more than {previous.generation}, which is published",
        )
    body = encode_published(objects, generation)
    published = publish(objects, generation)
    values: dict[str, bytes] = {}
    if previous:
        step = encode_delta_value(step_between(previous, published))
        if len(step) <= MAX_SET_BYTES:
            values[delta_key(generation)] = step
    values[SET] = body
    values[HEAD] = encode_head_value(version_of(published))
    return values


def version_of(published: Published) -> Version:
    """Return the version of a set."""
    return Version(published.generation, bytes.fromhex(published.digest))


def step_between(old: Published, new: Published) -> Delta:
    """Return what leads from one set to another, as nodes take it."""
    step = difference(old, new)
    digest = bytes.fromhex(step.digest)
    return Delta(
        step.base_generation, step.generation, digest, step.changed, step.removed
    )


def encode_head_value(version: Version) -> bytes:
    """Return the value ``head`` of a version."""
    return encode_version(version).SerializeToString()


def decode_head_value(body: bytes) -> Version:
    """Return the version that ``head`` names.

    Raises
    ------
    ConfigurationError
        If the value is malformed.
    """
    if len(body) > MAX_HEAD_BYTES:
        raise unreadable("head", f"{len(body)} bytes")
    try:
        version = decode_version(wire.Version.FromString(body))
    except DecodeError as error:
        raise unreadable("head", str(error)) from error
    if version == NO_VERSION or not version.digest:
        raise unreadable("head", "no generation or no digest")
    return version


def encode_delta_value(delta: Delta) -> bytes:
    """Return the value ``delta/<generation>`` of a delta."""
    return encode_delta(delta).SerializeToString()


def decode_delta_value(body: bytes) -> Delta:
    """Return the delta of a value.

    Raises
    ------
    ConfigurationError
        If the value is malformed, or its generation does not rise.
    """
    if len(body) > MAX_SET_BYTES:
        raise unreadable("delta", f"{len(body)} bytes")
    try:
        delta = decode_delta(wire.Delta.FromString(body))
    except DecodeError as error:
        raise unreadable("delta", str(error)) from error
    if delta.generation <= delta.base_generation:
        raise unreadable("delta", f"generation {delta.generation}")
    return delta


def unreadable(subject: str, found: str) -> ConfigurationError:
    """Return the error of a value that cannot be used."""
    return ConfigurationError(
        subject=subject, found=found, expected="a value written by publish"
    )

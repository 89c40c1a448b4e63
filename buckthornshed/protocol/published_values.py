"""The small values beside the whole set: the head and the deltas.

The platform holds ``head`` (the version of the latest set), ``delta/<generation>``
(what leads from the generation before) and ``set`` (see ``protocol.published``).
"""

from google.protobuf.message import DecodeError

from ..errors import ConfigurationError
from .peer_codec import decode_delta, decode_version, encode_delta, encode_version
from .peer_messages import MAX_SET_BYTES, NO_VERSION, Delta, Version
from .wire import peer_pb2 as wire

__all__ = [
    "decode_delta_value",
    "decode_head_value",
    "encode_delta_value",
    "encode_head_value",
]

MAX_HEAD_BYTES = 200
"""Largest encoded head."""


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

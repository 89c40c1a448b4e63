"""The formats of published values, as the decisions of the fleet take them."""

from collections.abc import Mapping

from ..protocol.encoded_sets import (
    EncodedObjects,
    EncodedSets,
    decode_object,
    decode_set,
    encode_set,
)
from ..protocol.peer_messages import Peer, Version
from ..protocol.published_values import decode_delta_value, decode_head_value
from .fleet_actions import Formats

__all__ = ["published_formats"]

TARGET = "target/"


def peer_of(key: str, encoded: bytes) -> Peer | None:
    """Return the node beside a target that is not retired.

    Raises
    ------
    EncodedObjectError
        If the object is malformed.
    """
    if not key.startswith(TARGET):
        return None
    fields = decode_object(key, encoded)
    if fields.get("retired"):
        return None
    name = key.removeprefix(TARGET)
    return Peer(name, fields["failure_domain"], fields["control"])


def encode(version: Version, objects: EncodedObjects) -> bytes:
    """Return the value of a whole set."""
    return encode_set(version.generation, objects)


def decode(value: bytes) -> tuple[Version, Mapping[str, bytes]]:
    """Return a whole set with its version; the digest is verified, the set is not."""
    decoded = decode_set(value)
    return Version(decoded.generation, decoded.digest), decoded.objects


def published_formats() -> Formats:
    """Return the formats for one node; the check remembers the last set it passed."""
    sets = EncodedSets()

    def check(objects: Mapping[str, bytes]) -> None:
        sets.check(objects)

    return Formats(
        digest=sets.digest,
        check=check,
        peer=peer_of,
        encode_set=encode,
        decode_set=decode,
        decode_head=decode_head_value,
        decode_delta=decode_delta_value,
    )

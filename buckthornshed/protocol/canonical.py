"""Canonical bytes and digests of configuration objects.

The digest of a set is computed from the digests of its objects, so a node can
verify it without storing every object.
"""

import hashlib
from collections.abc import Iterator, Mapping
from typing import Any, cast

import msgspec

__all__ = [
    "Digests",
    "Objects",
    "canonical_bytes",
    "compute_digests",
    "iterate_objects",
    "object_digest",
    "set_digest",
]

Objects = Mapping[str, object]
"""Fields of each object by kind and name; ``ConfigurationSet`` has this form."""

Digests = dict[str, bytes]
"""SHA-256 digest of each object by ``kind/name``."""

ENCODER = msgspec.json.Encoder(order="sorted")


def canonical_bytes(value: object) -> bytes:
    """Return `value` as JSON with sorted keys and no whitespace."""
    return ENCODER.encode(value)


def iterate_objects(objects: Objects) -> Iterator[tuple[str, Mapping[str, Any]]]:
    """Yield ``kind/name`` and the fields of each object."""
    for kind, objects_by_name in cast(Mapping[str, Mapping[str, Any]], objects).items():
        for name, fields in objects_by_name.items():
            yield f"{kind}/{name}", fields


def object_digest(encoded: bytes) -> bytes:
    """Return the SHA-256 digest of an object's canonical bytes."""
    return hashlib.sha256(encoded).digest()


def compute_digests(objects: Objects) -> Digests:
    """Return the digest of every object."""
    return {
        key: object_digest(canonical_bytes(fields))
        for key, fields in iterate_objects(objects)
    }


def set_digest(digests: Mapping[str, bytes]) -> str:
    """Return the hexadecimal digest of a set, given the digests of its objects."""
    hasher = hashlib.sha256()
    for key in sorted(digests):
        # Unambiguous: keys contain no NUL, and all digests have the same length.
        hasher.update(key.encode() + b"\0" + digests[key])
    return hasher.hexdigest()

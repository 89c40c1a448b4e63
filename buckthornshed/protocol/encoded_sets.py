"""Sets as the canonical bytes of each object, the form that nodes exchange.

Nodes store the bytes of each object by ``kind/name`` and receive a new set as changes
to the one that they have.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple, cast

import msgspec

from ..errors import ConfigurationError
from ..state.objects import ConfigurationSet, empty_set
from .canonical import (
    canonical_bytes,
    iterate_objects,
    object_digest,
    set_digest,
)
from .configuration import check_change, check_set
from .decoding import DECODE_ERRORS
from .fields import KINDS
from .findings import FindingsError
from .published import encode_published, unpack_published

__all__ = [
    "EncodedObjectError",
    "EncodedObjects",
    "EncodedSet",
    "EncodedSetChecker",
    "decode_object",
    "decode_objects",
    "decode_set",
    "encode_objects",
    "encode_set",
    "split_key",
]

EncodedObjects = Mapping[str, bytes]
"""Canonical bytes of each object by ``kind/name``."""


class EncodedObjectError(ConfigurationError):
    """The key or the bytes of an object are malformed."""


class EncodedSet(NamedTuple):
    """A set with its generation and its 32-byte digest."""

    generation: int
    digest: bytes
    objects: EncodedObjects


def split_key(key: str) -> tuple[str, str]:
    """Split ``kind/name`` into kind and name.

    Raises
    ------
    EncodedObjectError
        If the kind is unknown.
    """
    kind, _, name = key.partition("/")
    if kind not in KINDS:
        raise EncodedObjectError(
            subject="object", found=repr(key[:80]), expected="kind/name"
        )
    return kind, name


def decode_object(key: str, encoded: bytes) -> Any:
    """Return the fields of an object.

    Raises
    ------
    EncodedObjectError
        If `encoded` is not canonical JSON. Any other encoding of the same object
        would have a different digest.
    """
    try:
        fields = msgspec.json.decode(encoded)
    except DECODE_ERRORS as error:
        raise EncodedObjectError(
            subject=key, found=str(error), expected="JSON of an object"
        ) from error
    if canonical_bytes(fields) != encoded:
        raise EncodedObjectError(
            subject=key, found="JSON in another form", expected="canonical JSON"
        )
    return fields


def encode_objects(objects: ConfigurationSet) -> dict[str, bytes]:
    """Return the canonical bytes of each object by ``kind/name``."""
    return {key: canonical_bytes(fields) for key, fields in iterate_objects(objects)}


def decode_objects(objects: EncodedObjects) -> ConfigurationSet:
    """Decode a set without checking it.

    Raises
    ------
    EncodedObjectError
        If a key or an object is malformed.
    """
    decoded = empty_set()
    tables = _tables(decoded)
    for key, encoded in objects.items():
        kind, name = split_key(key)
        tables[kind][name] = decode_object(key, encoded)
    return decoded


def encode_set(generation: int, objects: EncodedObjects) -> bytes:
    """Return the published value of a set; see `published.encode_published`."""
    return encode_published(decode_objects(objects), generation)


def decode_set(value: bytes) -> EncodedSet:
    """Decode a published value and verify its digest, without checking the set.

    Raises
    ------
    PublishedValueError
        If the value is malformed or too large, or its digest is wrong.
    """
    published = unpack_published(value)
    return EncodedSet(
        published.generation,
        bytes.fromhex(published.digest),
        encode_objects(published.objects),
    )


class EncodedSetChecker:
    """Digests and checks of encoded sets.

    The checker keeps the last set that passed the check, and decodes and checks only
    the difference from it. It keeps the digests of the last set that it digested, and
    computes only those of objects that differ. Callers must not modify a set after
    passing it in.
    """

    def __init__(self) -> None:
        self.accepted: EncodedObjects = {}
        self.objects = empty_set()
        self.digests: dict[str, tuple[bytes, bytes]] = {}

    def digest(self, objects: EncodedObjects) -> bytes:
        """Return the 32-byte digest of a set."""
        cached = self.digests
        self.digests = {
            key: cached[key]
            if key in cached and cached[key][0] == encoded
            else (encoded, object_digest(encoded))
            for key, encoded in objects.items()
        }
        digests = {key: digest for key, (_, digest) in self.digests.items()}
        return bytes.fromhex(set_digest(digests))

    def check(self, objects: EncodedObjects) -> ConfigurationSet:
        """Decode a set and return it if it has no faults.

        Raises
        ------
        EncodedObjectError
            If a key or an object is malformed.
        FindingsError
            If the set has faults.
        """
        if not self.accepted:
            decoded = decode_objects(objects)
            findings = check_set(decoded)
        else:
            changed = self._decode_changed(objects)
            removed = {split_key(key)[0] for key in self.accepted.keys() - objects}
            decoded = self._apply_changes(objects, changed)
            findings = check_change(decoded, changed=changed, removed=removed)
        if findings:
            raise FindingsError(findings=findings)
        self.accepted, self.objects = objects, decoded
        return decoded

    def _decode_changed(self, objects: EncodedObjects) -> dict[str, dict[str, Any]]:
        changed: dict[str, dict[str, Any]] = {}
        for key, encoded in objects.items():
            if self.accepted.get(key) != encoded:
                kind, name = split_key(key)
                changed.setdefault(kind, {})[name] = decode_object(key, encoded)
        return changed

    def _apply_changes(
        self, objects: EncodedObjects, changed: dict[str, dict[str, Any]]
    ) -> ConfigurationSet:
        """Return the set after a change; it shares unchanged objects with the old."""
        old = _tables(self.objects)
        tables = {kind: old[kind] | changed.get(kind, {}) for kind in KINDS}
        for key in self.accepted.keys() - objects:
            kind, name = split_key(key)
            del tables[kind][name]
        return cast(ConfigurationSet, tables)


def _tables(objects: ConfigurationSet) -> dict[str, dict[str, Any]]:
    return cast(dict[str, dict[str, Any]], objects)

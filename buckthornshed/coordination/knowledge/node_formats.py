"""Decoding and validation of published sets for a node."""

from collections.abc import Mapping
from typing import Any, NamedTuple, cast

import msgspec

from ...protocol.encoded_sets import (
    EncodedObjects,
    EncodedSetChecker,
    decode_objects,
    decode_set,
    encode_set,
    split_key,
)
from ...protocol.peer_messages import Peer, Version
from ...protocol.published_values import decode_delta_value, decode_head_value
from ...state.objects import ConfigurationSet, Target, empty_set
from .fleet_actions import Activate, Formats

__all__ = ["ActiveConfiguration", "ActiveSet", "node_formats"]

TARGET_PREFIX = "target/"


class ActiveConfiguration(NamedTuple):
    """A set in force with its generation; callers must not modify it."""

    generation: int
    objects: ConfigurationSet


class ActiveSet:
    """Decode the set of each activation; only changed objects are decoded."""

    def __init__(self) -> None:
        self.encoded: EncodedObjects = {}
        self.objects = empty_set()

    def decode(self, activate: Activate) -> ActiveConfiguration:
        """Return the decoded set; unchanged objects are shared with the previous one.

        Raises
        ------
        EncodedObjectError
            If an object is malformed, which a set in force rules out.
        """
        changed = {
            key: encoded
            for key, encoded in activate.objects.items()
            if self.encoded.get(key) != encoded
        }
        old, new = tables_of(self.objects), tables_of(decode_objects(changed))
        tables = {kind: old[kind] | new[kind] for kind in old}
        for key in self.encoded.keys() - activate.objects.keys():
            kind, name = split_key(key)
            del tables[kind][name]
        self.encoded = activate.objects
        self.objects = cast(ConfigurationSet, tables)
        return ActiveConfiguration(activate.version.generation, self.objects)


def node_formats() -> Formats:
    """Return the formats of one node.

    They cache the set that passed the check last, so each ``Fleet`` needs its own.
    """
    checker = EncodedSetChecker()

    def check(objects: EncodedObjects) -> None:
        checker.check(objects)

    return Formats(
        digest=checker.digest,
        check=check,
        peer=peer_of,
        encode_set=encode_version,
        decode_set=decode_version,
        decode_head=decode_head_value,
        decode_delta=decode_delta_value,
    )


def peer_of(key: str, encoded: bytes) -> Peer | None:
    """Return the node of a target that is not retired, None for any other object."""
    if not key.startswith(TARGET_PREFIX):
        return None
    target = cast(Target, msgspec.json.decode(encoded))
    if target.get("retired"):
        return None
    name = key.removeprefix(TARGET_PREFIX)
    return Peer(name, target["failure_domain"], target["control"])


def encode_version(version: Version, objects: EncodedObjects) -> bytes:
    """Return the published value of a set."""
    return encode_set(version.generation, objects)


def decode_version(body: bytes) -> tuple[Version, EncodedObjects]:
    """Return the set in a published value after a check of its digest."""
    generation, digest, objects = decode_set(body)
    return Version(generation, digest), objects


def tables_of(objects: ConfigurationSet) -> Mapping[str, dict[str, Any]]:
    """Return a set as plain dictionaries by kind."""
    return cast(Mapping[str, dict[str, Any]], objects)

"""Deltas between published sets, object by object."""

from collections.abc import Iterable
from typing import Any, NamedTuple, cast

from ..errors import ConfigurationError
from ..state.objects import ConfigurationSet
from .canonical import canonical_bytes, object_digest, set_digest
from .configuration import check_change
from .encoded_sets import decode_object, split_key
from .findings import FindingsError
from .published import PublishedSet, unpack_published

__all__ = ["Delta", "DeltaError", "apply_delta", "compute_delta", "decode_update"]


class DeltaError(ConfigurationError):
    """A delta does not apply to a set, or gives another result than it states."""


class Delta(NamedTuple):
    """The changes from one published set to a later one.

    Parameters
    ----------
    base_generation : int
        Generation that the delta applies to.
    generation : int
        Generation of the resulting set.
    digest : str
        Digest of the whole resulting set.
    changed : dict
        Canonical bytes of new and changed objects, by ``kind/name``.
    removed : tuple of str
        Removed objects as ``kind/name``, sorted.
    """

    base_generation: int
    generation: int
    digest: str
    changed: dict[str, bytes]
    removed: tuple[str, ...]


def compute_delta(old: PublishedSet, new: PublishedSet) -> Delta:
    """Return the delta from `old` to `new`."""
    changed = {
        key: canonical_bytes(_fields(new.objects, key))
        for key, digest in sorted(new.digests.items())
        if old.digests.get(key) != digest
    }
    removed = tuple(sorted(old.digests.keys() - new.digests.keys()))
    return Delta(old.generation, new.generation, new.digest, changed, removed)


def apply_delta(old: PublishedSet, delta: Delta) -> PublishedSet:
    """Return the set that results from `delta`, without modifying `old`.

    Raises
    ------
    DeltaError
        If `delta` does not apply to the generation of `old`, does not increase it,
        removes an object that `old` does not have, or results in another digest than
        it states.
    EncodedObjectError
        If `delta` is malformed.
    FindingsError
        If the resulting set has faults.
    """
    _check_generations(old, delta)
    objects = {kind: dict(named) for kind, named in _tables(old.objects).items()}
    digests = dict(old.digests)
    _remove_objects(objects, digests, delta.removed)
    for key, encoded in delta.changed.items():
        kind, name = split_key(key)
        objects[kind][name] = decode_object(key, encoded)
        digests[key] = object_digest(encoded)
    digest = set_digest(digests)
    if digest != delta.digest:
        raise DeltaError(subject="digest", found=digest, expected=delta.digest[:64])
    new_objects = cast(ConfigurationSet, objects)
    _require_valid_objects(new_objects, delta)
    return PublishedSet(delta.generation, digest, new_objects, digests)


def decode_update(old: PublishedSet, value: bytes) -> tuple[PublishedSet, Delta]:
    """Return the set in `value`, and the delta from `old` to it.

    `old` must have passed the check; only the changes from it are checked.

    Raises
    ------
    PublishedValueError
        If `value` is malformed.
    DeltaError
        If the generation of `value` is not above that of `old`.
    FindingsError
        If the set in `value` has faults.
    """
    delta = compute_delta(old, unpack_published(value))
    return apply_delta(old, delta), delta


def _require_valid_objects(objects: ConfigurationSet, delta: Delta) -> None:
    changed: dict[str, dict[str, Any]] = {}
    for key in delta.changed:
        kind, name = split_key(key)
        changed.setdefault(kind, {})[name] = _fields(objects, key)
    removed = {split_key(key)[0] for key in delta.removed}
    findings = check_change(objects, changed=changed, removed=removed)
    if findings:
        raise FindingsError(findings=findings)


def _fields(objects: ConfigurationSet, key: str) -> Any:
    kind, _, name = key.partition("/")
    return _tables(objects)[kind][name]


def _tables(objects: ConfigurationSet) -> dict[str, dict[str, Any]]:
    return cast(dict[str, dict[str, Any]], objects)


def _check_generations(old: PublishedSet, delta: Delta) -> None:
    if delta.base_generation != old.generation:
        raise DeltaError(
            subject="base generation",
            found=str(delta.base_generation),
            expected=str(old.generation),
        )
    if delta.generation <= old.generation:
        raise DeltaError(
            subject="generation",
            found=str(delta.generation),
            expected=f"more than {old.generation}",
        )


def _remove_objects(
    objects: dict[str, dict[str, Any]],
    digests: dict[str, bytes],
    removed: Iterable[str],
) -> None:
    for key in removed:
        kind, name = split_key(key)
        if objects[kind].pop(name, None) is None:
            raise DeltaError(
                subject="delta", found=f"{key!r} removed", expected="an existing object"
            )
        del digests[key]

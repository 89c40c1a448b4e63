"""The values that stand on the platform for one publication."""

from collections.abc import Mapping

from .encoded_sets import EncodedSet, decode_set
from .peer_messages import Delta, Version
from .published_values import encode_delta_value, encode_head_value

__all__ = ["platform_values"]


def platform_values(value: bytes, previous: bytes | None = None) -> dict[str, bytes]:
    """Return what to put on the platform, in the order in which to put it.

    The head goes last: readers that see it find the others.

    Parameters
    ----------
    value, previous : bytes
        The value of the set to publish, and of the one before.

    Raises
    ------
    PublishedValueError
        If a value is malformed.
    """
    new = decode_set(value)
    values = {"set": value}
    if previous is not None:
        delta = delta_between(decode_set(previous), new)
        values[f"delta/{new.generation}"] = encode_delta_value(delta)
    values["head"] = encode_head_value(Version(new.generation, new.digest))
    return values


def delta_between(old: EncodedSet, new: EncodedSet) -> Delta:
    """Return the objects that differ between two sets."""
    changed: Mapping[str, bytes] = {
        key: encoded
        for key, encoded in new.objects.items()
        if old.objects.get(key) != encoded
    }
    removed = tuple(sorted(old.objects.keys() - new.objects.keys()))
    return Delta(old.generation, new.generation, new.digest, changed, removed)

"""Owner of a supplied key: the only target that may run the call with that key.

The owner depends only on the key and the configured targets, never on which targets are
live, so that both sides of a partition choose the same owner.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["OwnerSet", "owner_id"]


def owner_id(name: str, address: str) -> str:
    """Return the identity of a target as an owner.

    The address is part of the identity: an instance that takes over a name at another
    address is a different owner, because the former instance may still run.
    """
    return f"{name}@{address}"


class OwnerSet:
    """The targets of one service that may own keys, chosen by rendezvous hashing.

    Parameters
    ----------
    owners : iterable of str
        Identities of all configured targets of the service that are not retired, over
        all providers.
    """

    def __init__(self, *, owners: Iterable[str]) -> None:
        self.owners = tuple(sorted(set(owners)))
        self.digest = xxhash.xxh3_64_intdigest("\0".join(self.owners).encode())
        self.seeds = [xxhash.xxh3_64_intdigest(name.encode()) for name in self.owners]

    def owner_of(self, raw: bytes) -> str | None:
        """Return the owner of the key with the bytes ``raw``; None without owners."""
        if not self.seeds:
            return None
        score = xxhash.xxh3_64_intdigest
        scores = [score(raw, seed) for seed in self.seeds]
        return self.owners[scores.index(max(scores))]

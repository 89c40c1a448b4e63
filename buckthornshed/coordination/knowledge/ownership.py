"""The owner of a key that a client brings: the one target that may run it.

The owner follows from the key and the configured targets alone, never from the
live view, so that both sides of a partition name the same one.
"""

from collections.abc import Iterable

import xxhash

__all__ = ["OwnerSet", "owner_id"]


def owner_id(name: str, address: str) -> str:
    """Return the identity of a target as an owner.

    The address belongs to it: an instance that took over a name at another
    address is another owner, for the former one may still run.
    """
    return f"{name}@{address}"


class OwnerSet:
    """The targets of one service that may own keys, by rendezvous hash.

    Parameters
    ----------
    owners : iterable of str
        Identities of all configured targets of the service that are not retired,
        of every provider.
    """

    def __init__(self, *, owners: Iterable[str]) -> None:
        self.owners = tuple(sorted(set(owners)))
        self.digest = xxhash.xxh3_64_intdigest("\0".join(self.owners).encode())
        self.seeds = [xxhash.xxh3_64_intdigest(name.encode()) for name in self.owners]

    def owner_of(self, raw: bytes) -> str | None:
        """Return the owner of the key with the bytes ``raw``; None without targets."""
        if not self.seeds:
            return None
        score = xxhash.xxh3_64_intdigest
        scores = [score(raw, seed) for seed in self.seeds]
        return self.owners[scores.index(max(scores))]

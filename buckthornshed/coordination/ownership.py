"""The owner of a key: the one target that may run it.

The owner follows from the key and the configured targets alone, never from the
live view, so that both sides of a partition name the same one.
"""

from collections.abc import Collection, Iterable

import xxhash

from .keys import RandomBits, derive_key, key_text, mint_raw, parse_key

__all__ = ["MINT_TRIES", "OwnerSet", "derive_owned", "mint_owned", "owner_id"]

MINT_TRIES = 64


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


def mint_owned(
    *, wall: float, rng: RandomBits, owners: OwnerSet, wanted: Collection[str]
) -> str:
    """Return a new key that one of ``wanted`` owns, where one is found.

    Whoever mints a key is free to choose it, and so its owner: a healthy target, a
    near one, one of the provider whose turn it is. After ``MINT_TRIES`` the last
    key is taken, whoever owns it.
    """
    for _ in range(MINT_TRIES):
        raw = mint_raw(wall=wall, rng=rng)
        if owners.owner_of(raw) in wanted:
            break
    return key_text(raw)


def derive_owned(
    parent: str,
    service: str,
    ordinal: int,
    *,
    owners: OwnerSet,
    wanted: Collection[str],
) -> str:
    """Return the key of a call below ``parent`` that one of ``wanted`` owns.

    Safe for work under a key only: such work runs at most once, so one node alone
    derives the keys of its calls, and it keeps the one that it sent first.
    """
    for roll in range(MINT_TRIES):
        key = derive_key(parent, service, ordinal, roll)
        if owners.owner_of(parse_key(key).raw) in wanted:
            break
    return key

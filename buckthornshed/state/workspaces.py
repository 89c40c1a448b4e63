"""Workspaces: who sends requests, with which priority and quota."""

from hashlib import blake2b
from typing import NamedTuple

__all__ = [
    "KEY_DIGEST_BYTES",
    "UNUSABLE_WORKSPACE",
    "Quota",
    "Workspace",
    "combined_rank",
    "key_digest",
    "route_part",
]

RANKS_PER_PRIORITY = 16
"""Ranks of routes that are told apart within one priority of workspaces."""

KEY_DIGEST_BYTES = 16
UNUSABLE_WORKSPACE = ""
"""Stands for the workspace of a key that is known, but may not be used."""


class Quota(NamedTuple):
    """Bound on the requests of a workspace over all relays together.

    In any span of time, at most `rate` requests per second and `burst` more.
    """

    rate: float
    burst: float


class Workspace(NamedTuple):
    """A workspace of a configuration.

    Parameters
    ----------
    name : str
        Name of the workspace.
    rank : int or None
        Priority of its requests; None if that of the route holds.
    quota : Quota or None
        Bound on its requests; None if there is none.
    """

    name: str
    rank: int | None = None
    quota: Quota | None = None


def combined_rank(priority: int, route_rank: int) -> int:
    """Return a rank that orders by the priority of workspaces, then by that of routes.

    0 is the highest of each.
    """
    return priority * RANKS_PER_PRIORITY + min(route_rank, RANKS_PER_PRIORITY - 1)


def route_part(rank: int) -> int:
    """Return the rank of the route in a combined rank."""
    return rank % RANKS_PER_PRIORITY


def key_digest(key: bytes) -> bytes:
    """Return the digest by which a key is known; the key itself is not kept."""
    return blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()

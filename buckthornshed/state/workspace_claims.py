"""Workspaces and keys from the entries of a configuration, which may contradict.

A key identifies a workspace only if no other one claims it and the workspace's name can
be told to targets. Other keys stay known, so that their requests are refused as ones
that cannot be served rather than as ones of a stranger.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .workspaces import UNUSABLE_WORKSPACE, Quota, Workspace, key_digest

__all__ = ["Claim", "Conflict", "ResolvedClaims", "resolve_claims"]


class Claim(NamedTuple):
    """An entry: a workspace, its keys, and whether its name can be sent to targets."""

    workspace: Workspace
    keys: tuple[str, ...]
    usable: bool = True


class Conflict(NamedTuple):
    """What one entry claims beside another; `subject` is ``workspace`` or ``key``."""

    subject: str
    name: str


class ResolvedClaims(NamedTuple):
    """Workspaces by name, the workspace's name by digests of keys, and conflicts.

    The name is `UNUSABLE_WORKSPACE` for keys that may not be used.
    """

    workspaces: dict[str, Workspace]
    keys: dict[bytes, str]
    conflicts: tuple[Conflict, ...]


def resolve_claims(claims: Iterable[Claim]) -> ResolvedClaims:
    """Return what holds if all entries are true.

    Entries of one name are one workspace with the keys of all and the stricter quota.
    """
    workspaces: dict[str, Workspace] = {}
    keys: dict[bytes, str] = {}
    conflicts: list[Conflict] = []
    for claim in claims:
        workspace = claim.workspace
        name = workspace.name
        known = workspaces.get(name)
        if known is not None:
            conflicts.append(Conflict("workspace", name))
            workspace = known._replace(quota=_stricter(known.quota, workspace.quota))
        workspaces[name] = workspace
        holder = name if claim.usable else UNUSABLE_WORKSPACE
        for key in claim.keys:
            digest = key_digest(key.encode())
            if keys.setdefault(digest, holder) != holder:
                keys[digest] = UNUSABLE_WORKSPACE
                conflicts.append(Conflict("key", name))
    return ResolvedClaims(workspaces, keys, tuple(conflicts))


def _stricter(first: Quota | None, second: Quota | None) -> Quota | None:
    if first is None or second is None:
        return first or second
    return Quota(min(first.rate, second.rate), min(first.burst, second.burst))

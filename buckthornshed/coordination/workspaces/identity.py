"""Which workspace a request belongs to."""

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

from ...state.catalog import Catalog, Route
from ...state.workspaces import UNUSABLE_WORKSPACE, Workspace, key_digest

__all__ = ["UNIDENTIFIED", "Access", "Identity", "identify"]


class Access(Enum):
    """What may happen to a request."""

    ALLOWED = "may be sent"
    UNAUTHORIZED = "has no key of a workspace"
    UNUSABLE = "has a key that the configuration does not let anybody use"


class Identity(NamedTuple):
    """The workspace of a request, None if it needs none; whether it may be sent."""

    workspace: Workspace | None
    access: Access

    @property
    def authorized(self) -> bool:
        """Whether the request may be sent."""
        return self.access is Access.ALLOWED


UNIDENTIFIED = Identity(None, Access.ALLOWED)


def identify(catalog: Catalog, route: Route, keys: Sequence[bytes]) -> Identity:
    """Return the workspace that holds the key of a client's request.

    Parameters
    ----------
    catalog : Catalog
        Configuration in force.
    route : Route
        Route of the request; a public one needs no key.
    keys : sequence of bytes
        Values of all headers with a key. Exactly one identifies a client, as it is not
        certain which of several another reader of the request would use.
    """
    if not catalog.workspaces:
        return UNIDENTIFIED
    name = catalog.keys.get(key_digest(keys[0])) if len(keys) == 1 else None
    if name == UNUSABLE_WORKSPACE:
        return UNIDENTIFIED if route.public else Identity(None, Access.UNUSABLE)
    if name is not None:
        return Identity(catalog.workspaces[name], Access.ALLOWED)
    return UNIDENTIFIED if route.public else Identity(None, Access.UNAUTHORIZED)

"""Which workspace a request belongs to."""

from collections.abc import Sequence
from typing import NamedTuple

from ...state.catalog import Catalog, Route
from ...state.workspaces import Workspace, key_digest

__all__ = ["UNIDENTIFIED", "Identity", "identify"]


class Identity(NamedTuple):
    """The workspace of a request, None if it needs none; whether it may be sent."""

    workspace: Workspace | None
    authorized: bool


UNIDENTIFIED = Identity(None, authorized=True)
UNAUTHORIZED = Identity(None, authorized=False)


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
    if name is not None:
        return Identity(catalog.workspaces[name], authorized=True)
    return UNIDENTIFIED if route.public else UNAUTHORIZED

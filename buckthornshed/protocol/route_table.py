"""Lookup of the route that a call comes under."""

import re
from collections import defaultdict
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

from ..state.objects import ConfigurationSet, Route

__all__ = ["RouteMatch", "RouteTable", "match_route"]

AMBIGUOUS = re.compile(rb"[\0\\]|//|/\.\.?(?:/|\Z)")
"""Parts that targets may resolve to another path than the one matched here."""

ENCODED_SLASH = re.compile(rb"%2f|%5c", re.IGNORECASE)


class RouteMatch(NamedTuple):
    """The name of a route, and the route."""

    name: str
    route: Route


class _Entry(NamedTuple):
    """A route by its path without the final slash."""

    stem: bytes
    match: RouteMatch


class RouteTable:
    """Routes of a set, prepared for lookup.

    Parameters
    ----------
    objects : ConfigurationSet
        A set without faults.
    """

    def __init__(self, *, objects: ConfigurationSet) -> None:
        entries: dict[tuple[str, bytes], list[_Entry]] = defaultdict(list)
        for name, route in objects["route"].items():
            stem = route["path"].rstrip("/").encode()
            for method in route["methods"]:
                entry = _Entry(stem, RouteMatch(name, route))
                entries[route["service"], method.encode()].append(entry)
        self.entries = {
            place: sorted(found, key=lambda each: (-len(each.stem), each.match.name))
            for place, found in entries.items()
        }

    def match(self, service: str, method: bytes, path: bytes) -> RouteMatch | None:
        """Return the route with the longest path that `path` is at or below.

        A route of ``/stalls`` takes ``/stalls``, ``/stalls/3`` and ``/stalls?day=1``
        but not ``/stallsale``. A path that targets may read in more than one way,
        such as ``/stalls/../deposits``, has no route.

        Parameters
        ----------
        service : str
            Name of the service.
        method : bytes
            HTTP method.
        path : bytes
            Path of the request target, with or without its query.
        """
        entries = self.entries.get((service, method))
        if entries is None:
            return None
        plain = _plain_path(path)
        if plain is None:
            return None
        for stem, match in entries:
            if plain.startswith(stem) and plain[len(stem) : len(stem) + 1] in ENDS:
                return match
        return None


ENDS = (b"", b"/")
"""What may follow the path of a route."""


def _plain_path(path: bytes) -> bytes | None:
    """Return the decoded path without its query, or None if it is ambiguous."""
    plain = path.partition(b"?")[0]
    if not plain.startswith(b"/"):
        return None
    if b"%" in plain:
        if ENCODED_SLASH.search(plain):
            return None
        plain = unquote_to_bytes(plain)
    return None if AMBIGUOUS.search(plain) else plain


def match_route(
    objects: ConfigurationSet, service: str, method: bytes, path: bytes
) -> RouteMatch | None:
    """Return the route of one call; see `RouteTable` for many."""
    return RouteTable(objects=objects).match(service, method, path)

"""Lookup of the route of a call."""

import re
from collections import defaultdict
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

from ..state.objects import ConfigurationSet, Route

__all__ = ["RouteMatch", "RouteTable", "match_route"]

AMBIGUOUS_PATH = re.compile(rb"[\0\\]|//|/\.\.?(?:/|\Z)")
"""Path parts that a target may resolve to another path than the one matched here.

Such a path could otherwise get the policies of another route than the one it reaches.
"""

ENCODED_SLASH = re.compile(rb"%2f|%5c", re.IGNORECASE)


class RouteMatch(NamedTuple):
    """The name of a matching route, and the route."""

    name: str
    route: Route


class _RouteEntry(NamedTuple):
    """A route with its path, without trailing slashes, as the prefix to match."""

    prefix: bytes
    match: RouteMatch


class RouteTable:
    """The routes of a set, indexed for lookup.

    Parameters
    ----------
    objects : ConfigurationSet
        A set without faults.
    """

    def __init__(self, *, objects: ConfigurationSet) -> None:
        entries: dict[tuple[str, bytes], list[_RouteEntry]] = defaultdict(list)
        for name, route in objects["route"].items():
            prefix = route["path"].rstrip("/").encode()
            for method in route["methods"]:
                entry = _RouteEntry(prefix, RouteMatch(name, route))
                entries[route["service"], method.encode()].append(entry)
        self.entries = {
            service_and_method: sorted(
                candidates, key=lambda each: (-len(each.prefix), each.match.name)
            )
            for service_and_method, candidates in entries.items()
        }

    def match(self, service: str, method: bytes, path: bytes) -> RouteMatch | None:
        """Return the route with the longest path that is a prefix of `path`.

        Prefixes match whole segments: a route with path ``/stalls`` matches
        ``/stalls``, ``/stalls/3`` and ``/stalls?day=1``, but not ``/stallsale``. A path
        that targets may interpret in more than one way, such as
        ``/stalls/../deposits``, has no route.

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
        decoded = _decode_path(path)
        if decoded is None:
            return None
        for prefix, match in entries:
            if (
                decoded.startswith(prefix)
                and decoded[len(prefix) : len(prefix) + 1] in PREFIX_ENDS
            ):
                return match
        return None


PREFIX_ENDS = (b"", b"/")
"""What may follow a matching prefix: nothing or the next segment."""


def _decode_path(path: bytes) -> bytes | None:
    """Return the percent-decoded path without query, or None if it is ambiguous."""
    decoded = path.partition(b"?")[0]
    if not decoded.startswith(b"/"):
        return None
    if b"%" in decoded:
        if ENCODED_SLASH.search(decoded):
            return None
        decoded = unquote_to_bytes(decoded)
    return None if AMBIGUOUS_PATH.search(decoded) else decoded


def match_route(
    objects: ConfigurationSet, service: str, method: bytes, path: bytes
) -> RouteMatch | None:
    """Return the route of a single call; use `RouteTable` for many calls."""
    return RouteTable(objects=objects).match(service, method, path)

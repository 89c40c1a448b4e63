"""Classes of client requests that are admitted alike.

Where workspaces are configured, requests of one route differ in priority by workspace,
so each priority of a route has a share of its own.
"""

from collections.abc import Container
from typing import NamedTuple

__all__ = ["DemandClass", "class_name", "parse_class"]

SEPARATOR = "@"


class DemandClass(NamedTuple):
    """A route, and the priority of the workspaces; None if there are none."""

    route: str
    priority: int | None


def class_name(route: str, priority: int | None) -> str:
    """Return the name by which relays tell each other of a class."""
    return route if priority is None else f"{route}{SEPARATOR}{priority}"


def parse_class(name: str, routes: Container[str]) -> DemandClass:
    """Return the class with a name; `routes` contains the names of all routes."""
    route, separator, priority = name.rpartition(SEPARATOR)
    if name in routes or not separator or not priority.isdecimal():
        return DemandClass(name, None)
    return DemandClass(route, int(priority))

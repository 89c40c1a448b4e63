"""What a node does with each value of the platform."""

from collections.abc import Callable

from .fleet_actions import Action, Report
from .holder import ConfigurationHolder
from .platform_watch import HEAD, SET

__all__ = ["value_handler"]

Handler = Callable[[ConfigurationHolder, float, bytes], list[Action]]
VALUE_HANDLERS: dict[str, Handler] = {}


def handles(key: str) -> Callable[[Handler], Handler]:
    """Register the handler of a value."""

    def register(function: Handler) -> Handler:
        VALUE_HANDLERS[key] = function
        return function

    return register


def value_handler(key: str) -> Handler:
    """Return the handler of a value; keys of deltas have numbers."""
    return VALUE_HANDLERS.get(key, take_delta)


@handles(HEAD)
def take_head(node: ConfigurationHolder, now: float, body: bytes) -> list[Action]:
    """Compare the head of the platform with what is in force.

    Raises
    ------
    BuckthornshedError
        If the value cannot be read.
    """
    head = node.formats.decode_head(body)
    actions: list[Action] = [*node.acceptance.compare(head)]
    if head.generation > node.version.generation:
        primary = node.topology.primary(head.generation) == node.name
        node.watch.learned(now, head, node.version, primary=primary)
    elif head.generation < node.version.generation:
        detail = f"the platform has generation {head.generation}"
        actions.append(Report("platform_behind", node.version, detail))
    return actions


@handles(SET)
def take_whole_value(
    node: ConfigurationHolder, now: float, body: bytes
) -> list[Action]:
    """Take the whole set of the platform; see `take_set`."""
    return node.take_set(now, body)


def take_delta(node: ConfigurationHolder, now: float, body: bytes) -> list[Action]:
    """Keep a delta of the platform until it can be applied.

    Raises
    ------
    BuckthornshedError
        If the value cannot be read.
    """
    return [*node.acceptance.keep([node.formats.decode_delta(body)], "")]

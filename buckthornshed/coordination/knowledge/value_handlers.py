"""Handlers of the values that a node reads from the platform."""

from collections.abc import Callable

from .fleet_actions import Action, Report
from .handler_context import HandlerContext
from .platform_watch import HEAD, SET

__all__ = ["value_handler"]

Handler = Callable[[HandlerContext, float, bytes], list[Action]]
VALUE_HANDLERS: dict[str, Handler] = {}


def register_handler(key: str) -> Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of a value."""

    def register(function: Handler) -> Handler:
        VALUE_HANDLERS[key] = function
        return function

    return register


def value_handler(key: str) -> Handler:
    """Return the handler of a value; any unregistered key is the key of a delta."""
    return VALUE_HANDLERS.get(key, handle_delta)


@register_handler(HEAD)
def handle_head(node: HandlerContext, now: float, body: bytes) -> list[Action]:
    """Compare the platform's head with the version in force.

    Raises
    ------
    BuckthornshedError
        If the value cannot be decoded.
    """
    head = node.formats.decode_head(body)
    actions: list[Action] = [*node.acceptance.check_conflict(head)]
    if head.generation > node.version.generation:
        primary = node.topology.primary(head.generation) == node.name
        node.watch.handle_new_head(now, head, node.version, primary=primary)
    elif head.generation < node.version.generation:
        detail = f"the platform has generation {head.generation}"
        actions.append(Report("platform_behind", node.version, detail))
    return actions


@register_handler(SET)
def handle_whole_set(node: HandlerContext, now: float, body: bytes) -> list[Action]:
    """Put the platform's whole set in force; see `HandlerContext.accept_set`."""
    return node.accept_set(now, body)


def handle_delta(node: HandlerContext, now: float, body: bytes) -> list[Action]:
    """Hold a delta of the platform until it can be applied.

    Raises
    ------
    BuckthornshedError
        If the value cannot be decoded.
    """
    return [*node.acceptance.add_pending([node.formats.decode_delta(body)], "")]

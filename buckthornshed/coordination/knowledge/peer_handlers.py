"""Handlers of messages about configuration from other nodes."""

from collections.abc import Callable
from typing import Any

from ...errors import BuckthornshedError
from ...protocol.peer_messages import (
    NO_VERSION,
    Busy,
    Changes,
    Digest,
    Pull,
    Version,
    WholeSet,
)
from .fleet_actions import Action, Priority, Report, Send
from .handler_context import HandlerContext
from .repair import MAX_PUSH_BYTES, chain_size

__all__ = ["MESSAGE_HANDLERS"]

Handler = Callable[[HandlerContext, float, str, Any], list[Action]]
MESSAGE_HANDLERS: dict[type, Handler] = {}


def register_handler(message_type: type) -> Callable[[Handler], Handler]:
    """Return a decorator that registers the handler of a message type."""

    def register(function: Handler) -> Handler:
        MESSAGE_HANDLERS[message_type] = function
        return function

    return register


@register_handler(Digest)
def handle_digest(
    node: HandlerContext, now: float, address: str, message: Digest
) -> list[Action]:
    """Compare the version of another node with this one; pull or send deltas."""
    theirs = message.version
    node.push.record_generation(address, theirs.generation)
    node.joining.survey.record_answer(address, theirs)
    node.survey.record_answer(address, theirs)
    actions: list[Action] = []
    if message.reply:
        actions.append(Send(address, node.digest(now), Priority.DIGEST))
    if not node.has_set:
        return actions
    if node.topology.in_own_domain(address):
        node.watch.record_contact(now, message.source_age)
    for version in (theirs, message.rival):
        actions += node.acceptance.check_conflict(version or NO_VERSION)
    if theirs.generation > node.version.generation:
        actions += node.repair.pull(now, address, node.version)
    elif 0 < theirs.generation < node.version.generation:
        actions += offer_deltas(node, now, address, theirs)
    return actions


def offer_deltas(
    node: HandlerContext, now: float, address: str, version: Version
) -> list[Action]:
    """Send the missing deltas to an older node, or a digest if the chain is long."""
    chain = node.acceptance.log.deltas_since(version)
    if chain is None or chain_size(chain) > MAX_PUSH_BYTES:
        return [Send(address, node.digest(now), Priority.DIGEST)]
    node.push.record_generation(address, node.version.generation)
    return [Send(address, Changes(chain), Priority.CONFIGURATION)]


@register_handler(Pull)
def handle_pull(
    node: HandlerContext, now: float, address: str, message: Pull
) -> list[Action]:
    """Answer a pull with a chain of deltas or the whole set."""
    node.push.record_generation(address, message.version.generation)
    if message.version.generation >= node.version.generation:
        return [Send(address, node.digest(now), Priority.DIGEST)]
    return node.repair.reply(now, address, message.version)


@register_handler(Busy)
def handle_busy(
    node: HandlerContext, now: float, address: str, message: Busy
) -> list[Action]:
    """Schedule the refused pull again after the requested delay."""
    node.joining.handle_busy(now, address, message.retry_after)
    node.repair.handle_busy(now, address, message.retry_after)
    return []


@register_handler(Changes)
def handle_changes(
    node: HandlerContext, now: float, address: str, message: Changes
) -> list[Action]:
    """Hold the deltas of another node until they can be applied."""
    if not node.has_set or not message.deltas:
        return []
    newest = message.deltas[-1].generation
    node.push.record_generation(address, newest)
    node.repair.record_answer(now, address)
    actions: list[Action] = [*node.acceptance.add_pending(message.deltas, address)]
    if not node.acceptance.can_reach(newest):
        actions += node.repair.pull(now, address, node.version)
    return actions


@register_handler(WholeSet)
def handle_whole_set(
    node: HandlerContext, now: float, address: str, message: WholeSet
) -> list[Action]:
    """Put the whole set of another node in force if its generation is higher."""
    node.repair.record_answer(now, address)
    actions: list[Action] = [*node.acceptance.check_conflict(message.version)]
    if message.version.generation <= node.version.generation:
        return actions
    try:
        return actions + node.accept_set(now, message.body, address)
    except BuckthornshedError as error:
        detail = f"from {address}: {error}"
        actions.append(Report("unreadable_value", message.version, detail))
        return actions

"""Requests that a relay dispatches, and the actions that follow from its decisions."""

from typing import NamedTuple

from ...protocol.relay_messages import AnswerMessage, CallMessage, RefusalReason
from ...state.catalog import Route, Target

__all__ = [
    "Attempt",
    "CancelCall",
    "DeliverAnswer",
    "DispatchAction",
    "FailRequest",
    "RetriedCalls",
    "RoutedRequest",
    "SendCall",
]


class RoutedRequest(NamedTuple):
    """A client's request with the route that it matched.

    `head` is the request's head as sent to the target, without its final empty line;
    `arrived` and `deadline` are in seconds of the monotonic clock. `rank` is the rank
    of the client request that started the call chain. `nested` is true if a target made
    the request while it ran another one, whose identifier is `parent`, empty if it is
    not known which one; `is_retry` is true if an upstream run is a retry.
    `calls_left` is the number of calls to the same route, with this one, that the
    upstream run still has to make. `workspace` is the name of the workspace that the
    chain belongs to, empty if it has none; `priority` is that of its workspace for a
    client's request where workspaces are configured, else None.
    """

    route: Route
    request_id: bytes
    head: bytes
    body: bytes
    arrived: float
    deadline: float
    rank: int
    nested: bool = False
    is_retry: bool = False
    calls_left: float = 1.0
    workspace: str = ""
    priority: int | None = None
    parent: bytes = b""


class SendCall(NamedTuple):
    """Send a call to the relay beside a target."""

    target: Target
    message: CallMessage


class CancelCall(NamedTuple):
    """Tell the relay beside a target that an answer is no longer needed."""

    target: Target
    exchange: int


class Attempt(NamedTuple):
    """One attempt of a request and the load that its target was chosen by.

    `sent_at` is the time of the attempt and `load_age` the age of the target's `load`
    report, in seconds. `reason` is the reason of a refusal; None if an answer came or
    is awaited.
    """

    target: Target
    sent_at: float
    load: float
    load_age: float
    reason: RefusalReason | None = None


class DeliverAnswer(NamedTuple):
    """Deliver a target's answer to the client."""

    token: int
    request: RoutedRequest
    answer: AnswerMessage
    attempts: tuple[Attempt, ...]


class FailRequest(NamedTuple):
    """End a request with an answer of the relay itself.

    `reason` is the reason of the last refusal. `may_have_run` covers all attempts.
    `retry_after` is in seconds.
    """

    token: int
    request: RoutedRequest
    reason: RefusalReason
    may_have_run: bool
    retry_after: float
    attempts: tuple[Attempt, ...]


DispatchAction = SendCall | CancelCall | DeliverAnswer | FailRequest


class RetriedCalls(NamedTuple):
    """What follows from the loss of a connection, and the calls that wait for news."""

    actions: list[DispatchAction]
    waiting: list[int]

"""Keys and outcomes of calls to the target beside a relay."""

from typing import NamedTuple

from ....protocol.relay_messages import (
    AnswerMessage,
    CallMessage,
    HeaderNames,
    RefusalMessage,
    RefusalReason,
)
from ...logs import log_event
from ..clients.responses import response_head
from .answer_checks import refusal_reason
from .target_connection import FaultKind, TargetAnswer, TargetFault

__all__ = ["CallKey", "CallOutcome", "create_outcome"]

CallOutcome = AnswerMessage | RefusalMessage


class CallKey(NamedTuple):
    """Identifies a call.

    `session` is the number of the connection that the call arrived on, 0 for calls of
    this relay.
    """

    session: int
    exchange: int


def create_outcome(
    message: CallMessage,
    result: TargetAnswer | TargetFault,
    names: HeaderNames,
    retry_after: float,
) -> CallOutcome:
    """Return the outcome of a call; its load and call time are filled in later.

    `retry_after` is the time after which a refused call may be sent again, in seconds.
    """
    exchange = message.exchange
    if isinstance(result, TargetFault):
        not_sent = result.kind is FaultKind.UNREACHABLE
        reason = RefusalReason.UNREACHABLE if not_sent else RefusalReason.LOST
        log_event(
            "target_fault",
            request=message.request_id.decode("latin-1"),
            kind=result.kind.name.lower(),
            detail=result.detail,
        )
        return RefusalMessage(exchange, reason, retry_after, 0.0)
    refusal = refusal_reason(result, names)
    if refusal is not None:
        return RefusalMessage(exchange, refusal, retry_after, 0.0)
    head_only = message.head.startswith(b"HEAD ")
    head = response_head(
        result.status, result.headers, result.body, head_only=head_only
    )
    return AnswerMessage(exchange, result.status, head, result.body, 0.0, 0.0)

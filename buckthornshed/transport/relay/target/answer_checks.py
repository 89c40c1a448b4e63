"""What may be concluded from an answer of the target beside a relay."""

from ....protocol.http import get_header
from ....protocol.relay_messages import HeaderNames, RefusalReason
from .target_connection import TargetAnswer

__all__ = ["is_genuine", "refusal_reason"]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a client that its request has not run.

The relay does not pass on a target's answer with one of them, because the target may
have run the request.
"""

WRONG_TARGET_STATUS = 421
"""Status by which a target rejects a request that is meant for another one."""


def is_genuine(answer: TargetAnswer, names: HeaderNames) -> bool:
    """Return whether an answer is certainly one of the target that was meant."""
    if answer.status == WRONG_TARGET_STATUS:
        return False
    marks = (names.signature, names.not_run)
    return any(get_header(answer.headers, mark) is not None for mark in marks)


def refusal_reason(answer: TargetAnswer, names: HeaderNames) -> RefusalReason | None:
    """Return why a target's answer cannot be passed on; None if it can."""
    if answer.status == WRONG_TARGET_STATUS:
        return RefusalReason.WRONG_TARGET
    if get_header(answer.headers, names.not_run) is not None:
        return RefusalReason.TARGET_FULL
    if get_header(answer.headers, b"content-encoding") is not None:
        return RefusalReason.LOST
    is_signed = get_header(answer.headers, names.signature) is not None
    if answer.status < 400 and not is_signed:
        return RefusalReason.LOST
    if answer.status in NOT_RUN_STATUSES:
        return RefusalReason.LOST
    return None

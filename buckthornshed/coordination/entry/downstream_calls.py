"""Downstream calls of a target: context, key and retry accounting."""

from typing import NamedTuple

import xxhash

from ...protocol.http import Request, forwardable_headers
from ...protocol.messages import Call
from ...protocol.outcome import Outcome, Reason
from ..knowledge.view import RoutePolicies
from ..outcomes.idempotency import Refused
from ..outcomes.invocation_outcomes import KeySource
from ..outcomes.keys import (
    derive_key,
    fingerprint,
    format_key,
    has_single_sender,
    parse_key,
)
from .deadlines import downstream_deadline
from .ingress import DownstreamRequest, InboundCall

__all__ = [
    "KeyChoice",
    "choose_key",
    "make_downstream_call",
    "register_downstream_call",
]

ORDINAL_BYTES = 8


class KeyChoice(NamedTuple):
    """Idempotency key of a call, and its source, which tells who may have sent it."""

    key: str | None
    source: KeySource


def make_downstream_call(
    now: float,
    parent: InboundCall,
    *,
    caller: str,
    service: str,
    request: Request,
    policies: RoutePolicies,
) -> Call:
    """Return a downstream call of ``parent``, with its context but without a key."""
    parent_context = parent.call.context
    route_deadline = now + policies.route["deadline_ms"] / 1e3
    return Call(
        context=parent_context._replace(
            deadline=min(
                downstream_deadline(now, parent_context.deadline), route_deadline
            ),
            depth=parent_context.depth + 1,
            caller=caller,
            key=None,
        ),
        service=service,
        method=request.method,
        path=request.path,
        headers=forwardable_headers(request.headers),
        body=request.body,
    )


def choose_key(
    parent: InboundCall, call: Call, supplied_key: str | None, *, repeatable: bool
) -> KeyChoice | Refused:
    """Return the key of a downstream call of ``parent``, or why its key is refused.

    Without a supplied key, the key is derived from the content of the call. A target
    that retries the call thus sends the same key, and two intended calls of the same
    content need keys of their own. If the parent call has a key, this node alone
    sends the derived key, which therefore carries a single-sender tag. Otherwise
    any node may derive the same key, so the owner of the key decides.
    """
    if repeatable:
        return KeyChoice(None, KeySource.NONE)
    parent_key = parent.call.context.key if parent.keyed else None
    if supplied_key is None:
        base = parent_key or format_key(parent.call.context.request_id)
        ordinal = int.from_bytes(fingerprint(call)[:ORDINAL_BYTES], "big")
        single_sender = parent_key is not None
        supplied_key = derive_key(
            base, call.service, ordinal, single_sender=single_sender
        )
    elif has_single_sender(parse_key(supplied_key).raw) and parent_key is None:
        return Refused(Reason.KEY_INVALID, Outcome.UNKNOWN)
    sent_before = (call.service, supplied_key) in parent.key_owners
    sole_sender = has_single_sender(parse_key(supplied_key).raw) and not sent_before
    return KeyChoice(
        supplied_key, KeySource.GENERATED if sole_sender else KeySource.SUPPLIED
    )


def register_downstream_call(
    parent: InboundCall, token: int, service: str, request: Request, key: str | None
) -> bool:
    """Record a downstream call and return whether the target may make it.

    A call that is equal to one without a complete answer is a retry and spends one
    unit of the allowance of ``parent``; it is refused if none is left.
    """
    downstream = DownstreamRequest(
        service=service,
        method=request.method,
        path=request.path,
        key=key,
        body_hash=xxhash.xxh3_64_intdigest(request.body),
    )
    is_retry = downstream in parent.unanswered.values()
    if is_retry and not parent.account.spend():
        return False
    parent.unanswered[token] = downstream
    return True

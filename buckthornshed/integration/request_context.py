"""Context of the request that an application is handling."""

import time
from collections.abc import Iterable
from contextvars import ContextVar
from typing import NamedTuple

from ..protocol.decoding import parse_decimal
from ..protocol.http import (
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    get_header,
)

__all__ = ["CURRENT_CONTEXT", "TRACE_HEADER", "RequestContext", "current_context"]

TRACE_HEADER = b"traceparent"


class RequestContext(NamedTuple):
    """Data of a request that is propagated to its downstream calls.

    Parameters
    ----------
    context : bytes or None
        Value of the context header, which only nodes interpret.
    traceparent : bytes or None
        W3C trace context.
    key : bytes or None
        Idempotency key of the request.
    deadline : float or None
        Time at which the caller stops waiting, in seconds of the monotonic clock.
    """

    context: bytes | None
    traceparent: bytes | None
    key: bytes | None
    deadline: float | None

    def remaining_s(self) -> float | None:
        """Return the seconds until the deadline, or None if there is no deadline.

        The value is negative after the deadline.
        """
        return None if self.deadline is None else self.deadline - time.monotonic()


CURRENT_CONTEXT: ContextVar[RequestContext | None] = ContextVar(
    "buckthornshed_request", default=None
)


def current_context() -> RequestContext | None:
    """Return the context of the current request, or None outside of a request."""
    return CURRENT_CONTEXT.get()


def read_context(headers: Iterable[tuple[bytes, bytes]]) -> RequestContext:
    """Return the context in the headers of a request that has just arrived."""
    pairs = tuple((name.lower(), value) for name, value in headers)
    remaining_ms = parse_decimal(get_header(pairs, DEADLINE_HEADER) or b"")
    deadline = None
    if remaining_ms is not None:
        deadline = time.monotonic() + remaining_ms / 1e3
    return RequestContext(
        context=get_header(pairs, CONTEXT_HEADER),
        traceparent=get_header(pairs, TRACE_HEADER),
        key=get_header(pairs, IDEMPOTENCY_KEY_HEADER),
        deadline=deadline,
    )

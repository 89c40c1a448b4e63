"""Integration for Python applications that run as targets.

Propagates the request context to downstream calls, so that applications need not copy
headers.
"""

from .errors import (
    CallError,
    CallFailedError,
    CallNotRunError,
    CallUnknownError,
    read_outcome,
)
from .keys import create_key
from .middleware import ContextMiddleware
from .request_context import RequestContext, current_context
from .transport import EgressTransport

__all__ = [
    "CallError",
    "CallFailedError",
    "CallNotRunError",
    "CallUnknownError",
    "ContextMiddleware",
    "EgressTransport",
    "RequestContext",
    "create_key",
    "current_context",
    "read_outcome",
]

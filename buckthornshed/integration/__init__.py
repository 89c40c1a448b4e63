"""For Python applications that are targets: request context without headers."""

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

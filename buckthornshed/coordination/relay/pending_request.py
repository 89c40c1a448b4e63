"""State of a request that a relay has dispatched and not yet answered."""

from dataclasses import dataclass, field

from ...protocol.relay_messages import AnswerMessage
from .dispatch_messages import Attempt, RoutedRequest
from .placement.load_balancer import TargetRecord

__all__ = ["PendingRequest"]


@dataclass(slots=True, kw_only=True)
class PendingRequest:
    """A request without a final answer."""

    token: int
    request: RoutedRequest
    service: str
    record: TargetRecord | None = None
    exchange: int = 0
    fingerprint: bytes = b""
    """Computed while any request is quarantined; empty before."""
    attempts: list[Attempt] = field(default_factory=list)
    may_have_run: bool = False
    tried_targets: set[str] = field(default_factory=set)
    rejected_by: set[str] = field(default_factory=set)
    failed_answer: AnswerMessage | None = None
    """Answer of a target that failed the request, delivered if no retry succeeds."""

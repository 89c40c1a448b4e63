"""Typed messages between the decision logic and the transport.

Times are in seconds of a monotonic clock that the caller passes in. Only the wire
format converts a deadline to the remaining time.
"""

from typing import NamedTuple

from .outcome import REASONS, Outcome, Reason

__all__ = [
    "NO_SIGNAL",
    "Answer",
    "Call",
    "CallContext",
    "Fault",
    "Headers",
    "NodeSignal",
    "refusal_answer",
]

Headers = tuple[tuple[bytes, bytes], ...]
"""Pairs of a lower-case header name and a value."""


class CallContext(NamedTuple):
    """Metadata that is propagated along a chain of calls.

    Parameters
    ----------
    request_id : bytes
        Identifier of 16 bytes that all calls made for one client request share.
    exchange : int
        64-bit identifier of this send. The answer must carry the same one.
    priority : int
        Priority of the call; calls of priority 0 are refused last.
    deadline : float
        Time at which the caller stops waiting, in seconds of the local monotonic
        clock.
    allowance : int
        Number of retries that this call and its downstream calls may use in total.
    depth : int
        Number of upstream calls in the chain.
    key : str or None
        Idempotency key of a non-repeatable operation.
    caller : str
        Name of the target whose node sends the call; an empty string at the edge.
    issued : float
        Time at which the client's attempt reached its edge node, in seconds of that
        node's wall clock.
    """

    request_id: bytes
    exchange: int
    priority: int
    deadline: float
    allowance: int
    depth: int
    key: str | None
    caller: str
    issued: float = 0.0


class Call(NamedTuple):
    """A call to a service: its context and its HTTP request."""

    context: CallContext
    service: str
    method: bytes
    path: bytes
    headers: Headers
    body: bytes


class NodeSignal(NamedTuple):
    """Load and state of a node, reported with each answer.

    Parameters
    ----------
    threshold : int
        Admission threshold, see ``coordination.entry.admission``.
    queue_delay : float
        Queueing delay of the call that was started last, in seconds.
    in_flight : int
        Number of calls that are running at the target.
    draining : bool
        Whether the instance is draining before a stop.
    incarnation : int
        Start time of the node in nanoseconds of the wall clock.
    """

    threshold: int
    queue_delay: float
    in_flight: int
    draining: bool
    incarnation: int


NO_SIGNAL = NodeSignal(
    threshold=0, queue_delay=0.0, in_flight=0, draining=False, incarnation=0
)
"""Signal of an answer that carries no report of a node."""


class Answer(NamedTuple):
    """Answer to one exchange.

    Parameters
    ----------
    exchange : int
        Identifier of the answered exchange.
    outcome : Outcome
        Outcome of the call.
    status : int
        HTTP status code.
    headers : Headers
        Headers of the target's answer.
    body : bytes
        Complete body.
    unspent : int
        Part of the retry allowance that is returned to the caller unused.
    reason : Reason or None
        Why a node answered in place of the target; None for an answer of the target.
    retry_after : float or None
        Seconds that the caller should wait before a retry.
    signal : NodeSignal
        Load and state of the answering node.
    """

    exchange: int
    outcome: Outcome
    status: int
    headers: Headers = ()
    body: bytes = b""
    unspent: int = 0
    reason: Reason | None = None
    retry_after: float | None = None
    signal: NodeSignal = NO_SIGNAL


class Fault(NamedTuple):
    """Failure of an exchange that ended without a usable answer.

    Parameters
    ----------
    exchange : int
        Identifier of the failed exchange.
    maybe_sent : bool
        Whether any byte of the request may have reached the remote side.
    detail : str
        Description of the failure for log lines.
    closed : bool
        Whether the failure is that the connection ended before the answer did.
    too_large : bool
        Whether the failure is that the answer exceeds the size limit.
    """

    exchange: int
    maybe_sent: bool
    detail: str
    closed: bool = False
    too_large: bool = False


def refusal_answer(
    *,
    exchange: int,
    outcome: Outcome,
    reason: Reason,
    unspent: int = 0,
    retry_after: float | None = None,
    signal: NodeSignal = NO_SIGNAL,
) -> Answer:
    """Return the answer that a node gives in place of a target."""
    return Answer(
        exchange=exchange,
        outcome=outcome,
        status=REASONS[reason].status,
        unspent=unspent,
        reason=reason,
        retry_after=retry_after,
        signal=signal,
    )

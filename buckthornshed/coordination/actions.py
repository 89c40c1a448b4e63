"""Actions that the decision logic requests from its driver.

The driver is the transport of a node process or a test scenario in virtual time.
"""

from typing import NamedTuple

from ..protocol.messages import Answer, Call

__all__ = [
    "Action",
    "CancelLocalCall",
    "CancelPeerCall",
    "Reply",
    "SendPeerCall",
    "StartLocalCall",
]


class StartLocalCall(NamedTuple):
    """Send a call to the local target."""

    exchange: int
    call: Call


class CancelLocalCall(NamedTuple):
    """Cancel a call that runs at the local target."""

    exchange: int


class SendPeerCall(NamedTuple):
    """Send a call to the node of another target."""

    exchange: int
    target: str
    call: Call


class CancelPeerCall(NamedTuple):
    """Cancel a call that was sent to another node."""

    exchange: int


class Reply(NamedTuple):
    """Answer the request that the driver submitted with ``token``.

    ``priority`` is the priority of the call for metrics, or -1 if it has none yet.
    """

    token: int
    answer: Answer
    priority: int = -1


Action = StartLocalCall | CancelLocalCall | SendPeerCall | CancelPeerCall | Reply

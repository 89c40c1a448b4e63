"""Outgoing calls that have not been answered to the caller."""

from dataclasses import dataclass, field

from ...protocol.messages import Call
from ..entry.allowance import AllowanceAccount
from ..knowledge.view import RoutePolicies
from ..outcomes.invocation_outcomes import SendHistory

__all__ = ["PendingCall"]


@dataclass(slots=True, kw_only=True)
class PendingCall:
    """An outgoing call that has not been answered to the caller.

    ``exchange`` is None while the call waits for a retry, which is due at
    ``retry_at``. ``key_owners`` maps a service and key to the owner to which the key
    is bound. ``tried`` lists the targets to which the call was sent.
    """

    token: int
    call: Call
    policies: RoutePolicies
    account: AllowanceAccount
    sends: SendHistory
    provider: str | None
    key_owners: dict[tuple[str, str], str]
    tried: list[str] = field(default_factory=list)
    target: str = ""
    exchange: int | None = None
    sent_at: float = 0.0
    retry_at: float = 0.0

"""Calls to services: where each one goes, and the one answer that comes back."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..protocol.messages import Answer, Call, Fault, refusal
from ..protocol.outcome import Outcome, Reason
from .actions import CancelPeer, Reply, SendPeer
from .view import View

if TYPE_CHECKING:
    from random import Random

__all__ = ["Egress", "EgressAction", "PendingCall"]

EXCHANGE_BITS = 63

EgressAction = SendPeer | CancelPeer | Reply


@dataclass(slots=True, kw_only=True)
class PendingCall:
    """A call that has not been answered yet."""

    token: int
    call: Call
    target: str


class Egress:
    """Sends calls to targets and answers each one once.

    Parameters
    ----------
    rng : random.Random
        Source of exchange numbers.
    """

    def __init__(self, *, rng: "Random") -> None:
        self.rng = rng
        self.pending: dict[int, PendingCall] = {}
        self.exchanges: dict[int, int] = {}

    def send(
        self, now: float, token: int, call: Call, view: View
    ) -> list[EgressAction]:
        """Send a call under the driver's token."""
        targets = sorted(view.targets_of(call.service))
        if not targets:
            return [Reply(token, _refuse(call, Reason.NO_TARGET))]
        target = self.rng.choice(targets)
        exchange = self.rng.getrandbits(EXCHANGE_BITS)
        sent = call._replace(context=call.context._replace(exchange=exchange))
        self.pending[exchange] = PendingCall(token=token, call=sent, target=target)
        self.exchanges[token] = exchange
        return [SendPeer(exchange, target, sent)]

    def answered(self, now: float, answer: Answer) -> list[EgressAction]:
        """Take the answer of an exchange."""
        pending = self.pending.pop(answer.exchange, None)
        if pending is None:
            return []
        self.exchanges.pop(pending.token, None)
        return [Reply(pending.token, answer)]

    def failed(self, now: float, fault: Fault) -> list[EgressAction]:
        """Take the fault of an exchange."""
        pending = self.pending.pop(fault.exchange, None)
        if pending is None:
            return []
        self.exchanges.pop(pending.token, None)
        outcome = Outcome.UNKNOWN if fault.started else Outcome.NOT_RUN
        reason = Reason.ANSWER_LOST if fault.started else Reason.NO_TARGET
        return [Reply(pending.token, _refuse(pending.call, reason, outcome))]

    def abandoned(self, now: float, token: int) -> list[EgressAction]:
        """Take the news that the caller behind a token went away."""
        exchange = self.exchanges.pop(token, None)
        if exchange is None:
            return []
        self.pending.pop(exchange, None)
        return [CancelPeer(exchange)]


def _refuse(call: Call, reason: Reason, outcome: Outcome = Outcome.NOT_RUN) -> Answer:
    return refusal(exchange=call.context.exchange, outcome=outcome, reason=reason)

"""Calls for the target beside the node: whether and when each one starts."""

from collections import deque
from dataclasses import dataclass

from ..protocol.messages import Answer, Call, Fault, NodeSignal, Pairs, refusal
from ..protocol.outcome import Outcome, Reason
from .actions import CancelTarget, StartTarget

__all__ = ["Ingress", "IngressAction", "RunningCall"]

IngressAction = StartTarget | CancelTarget | Answer
"""What the ingress asks for; an answer goes to whoever sent its exchange."""


@dataclass(slots=True, kw_only=True)
class RunningCall:
    """A call that the target runs."""

    call: Call
    started_at: float


class Ingress:
    """Admits calls and starts them at the target.

    Parameters
    ----------
    slots : int
        Number of calls that the target runs at once.
    queue : int
        Greatest number of waiting calls.
    incarnation : int
        Start time of this node, nanoseconds of the wall clock.
    """

    def __init__(self, *, slots: int, queue: int, incarnation: int) -> None:
        self.slots = slots
        self.queue = queue
        self.incarnation = incarnation
        self.waiting: deque[Call] = deque()
        self.running: dict[int, RunningCall] = {}

    def signal(self) -> NodeSignal:
        """Return what the node reports of itself."""
        return NodeSignal(
            threshold=0,
            queue_delay=0.0,
            in_flight=len(self.running),
            draining=False,
            incarnation=self.incarnation,
        )

    def arrive(self, now: float, call: Call) -> list[IngressAction]:
        """Take a call: start it, queue it or refuse it."""
        if call.context.deadline <= now:
            return [self._refuse(call, Reason.DEADLINE)]
        if len(self.running) < self.slots:
            return [self._start(now, call)]
        if len(self.waiting) >= self.queue:
            return [self._refuse(call, Reason.QUEUE_FULL)]
        self.waiting.append(call)
        return []

    def answered(
        self, now: float, exchange: int, status: int, headers: Pairs, body: bytes
    ) -> list[IngressAction]:
        """Take the answer of the target."""
        running = self.running.pop(exchange, None)
        if running is None:
            return []
        outcome = Outcome.FAILED if status >= 500 else Outcome.COMPLETE
        answer = Answer(
            exchange=exchange,
            outcome=outcome,
            status=status,
            headers=headers,
            body=body,
            unspent=running.call.context.allowance,
            signal=self.signal(),
        )
        return [answer, *self._start_waiting(now)]

    def failed(self, now: float, fault: Fault) -> list[IngressAction]:
        """Take the fault of a call to the target."""
        running = self.running.pop(fault.exchange, None)
        if running is None:
            return []
        outcome = Outcome.UNKNOWN if fault.started else Outcome.NOT_RUN
        reason = Reason.ANSWER_LOST if fault.started else Reason.NO_TARGET
        answer = self._refuse(running.call, reason, outcome)
        return [answer, *self._start_waiting(now)]

    def abandoned(self, now: float, exchange: int) -> list[IngressAction]:
        """Take the news that the caller of an exchange went away."""
        if self.running.pop(exchange, None) is not None:
            return [CancelTarget(exchange), *self._start_waiting(now)]
        self.waiting = deque(
            call for call in self.waiting if call.context.exchange != exchange
        )
        return []

    def _start(self, now: float, call: Call) -> StartTarget:
        self.running[call.context.exchange] = RunningCall(call=call, started_at=now)
        return StartTarget(call.context.exchange, call)

    def _start_waiting(self, now: float) -> list[IngressAction]:
        actions: list[IngressAction] = []
        while self.waiting and len(self.running) < self.slots:
            call = self.waiting.popleft()
            if call.context.deadline <= now:
                actions.append(self._refuse(call, Reason.DEADLINE))
            else:
                actions.append(self._start(now, call))
        return actions

    def _refuse(
        self, call: Call, reason: Reason, outcome: Outcome = Outcome.NOT_RUN
    ) -> Answer:
        return refusal(
            exchange=call.context.exchange,
            outcome=outcome,
            reason=reason,
            unspent=call.context.allowance,
            signal=self.signal(),
        )

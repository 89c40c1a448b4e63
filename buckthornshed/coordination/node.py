"""The decisions of one node: edge, egress and ingress put together."""

from collections import deque
from typing import TYPE_CHECKING

from ..protocol.http import KEY_HEADER, Request, first, forwardable
from ..protocol.messages import Answer, Call, CallContext, Fault, Pairs, refusal
from ..protocol.outcome import Outcome, Reason
from .actions import Action, Reply, SendPeer
from .egress import Egress
from .ingress import Ingress
from .view import RouteMatch, View

if TYPE_CHECKING:
    from random import Random

__all__ = ["NodeCore"]

REQUEST_ID_BYTES = 16
DEPTH_MAX = 32


class NodeCore:
    """Takes requests, answers and faults; returns actions.

    Parameters
    ----------
    name : str
        Name of the target beside the node.
    rng : random.Random
        Source of identifiers and choices.
    incarnation : int
        Start time of the node, nanoseconds of the wall clock.
    """

    def __init__(self, *, name: str, rng: "Random", incarnation: int) -> None:
        self.name = name
        self.rng = rng
        self.incarnation = incarnation
        self.view: View | None = None
        self.egress = Egress(rng=rng)
        self.ingress = Ingress(slots=1, queue=0, incarnation=incarnation)
        self.peers: dict[int, int] = {}
        self.peer_exchanges: dict[int, int] = {}

    def configure(self, now: float, view: View) -> None:
        """Bring a view into force."""
        self.view = view
        if view.own is None:
            return
        self.ingress.slots = view.own["slots"]
        self.ingress.queue = view.admission_of(view.own["service"])["queue"]

    def client_request(self, now: float, token: int, request: Request) -> list[Action]:
        """Take a request of an outside client for the service of this node."""
        if self.view is None or self.view.own is None:
            return [Reply(token, _refuse(Reason.NO_CONFIGURATION))]
        service = self.view.own["service"]
        match = self.view.match(service, request.method, request.path)
        if match is None:
            return [Reply(token, _refuse(Reason.NO_ROUTE))]
        context = self._mint(now, request, match)
        return self._send(now, token, _call(context, service, request))

    def local_call(
        self, now: float, token: int, parent: int, service: str, request: Request
    ) -> list[Action]:
        """Take a call of the own target, made on behalf of exchange `parent`."""
        running = self.ingress.running.get(parent)
        if self.view is None or running is None:
            return [Reply(token, _refuse(Reason.BAD_REQUEST))]
        match = self.view.match(service, request.method, request.path)
        if match is None:
            return [Reply(token, _refuse(Reason.NO_ROUTE))]
        above = running.call.context
        context = above._replace(
            deadline=min(above.deadline, now + match.route["deadline_ms"] / 1e3),
            depth=above.depth + 1,
            key=_key(request),
            caller=self.name,
            allowance=0,
        )
        return self._send(now, token, _call(context, service, request))

    def peer_call(self, now: float, token: int, call: Call) -> list[Action]:
        """Take a call of another node for the own target."""
        exchange = call.context.exchange
        self.peers[exchange] = token
        self.peer_exchanges[token] = exchange
        return self._run(now, deque(self.ingress.arrive(now, call)))

    def target_answered(
        self, now: float, exchange: int, status: int, headers: Pairs, body: bytes
    ) -> list[Action]:
        """Take the answer of the own target."""
        answered = self.ingress.answered(now, exchange, status, headers, body)
        return self._run(now, deque(answered))

    def target_failed(self, now: float, fault: Fault) -> list[Action]:
        """Take the fault of a call to the own target."""
        return self._run(now, deque(self.ingress.failed(now, fault)))

    def peer_answered(self, now: float, answer: Answer) -> list[Action]:
        """Take the answer of another node."""
        return self._run(now, deque(self.egress.answered(now, answer)))

    def peer_failed(self, now: float, fault: Fault) -> list[Action]:
        """Take the fault of a call to another node."""
        return self._run(now, deque(self.egress.failed(now, fault)))

    def abandoned(self, now: float, token: int) -> list[Action]:
        """Take the news that the caller behind a token went away."""
        exchange = self.peer_exchanges.pop(token, None)
        if exchange is None:
            return self._run(now, deque(self.egress.abandoned(now, token)))
        self.peers.pop(exchange, None)
        return self._run(now, deque(self.ingress.abandoned(now, exchange)))

    def _mint(self, now: float, request: Request, match: RouteMatch) -> CallContext:
        return CallContext(
            request_id=self.rng.randbytes(REQUEST_ID_BYTES),
            exchange=0,
            priority=match.rank,
            deadline=now + match.route["deadline_ms"] / 1e3,
            allowance=match.retry["allowance"],
            depth=0,
            key=_key(request),
            caller="",
        )

    def _send(self, now: float, token: int, call: Call) -> list[Action]:
        assert self.view is not None
        if call.context.depth > DEPTH_MAX:
            return [Reply(token, _refuse(Reason.BAD_REQUEST))]
        return self._run(now, deque(self.egress.send(now, token, call, self.view)))

    def _run(self, now: float, work: deque[Action | Answer]) -> list[Action]:
        """Carry out what stays inside the node; return what is left."""
        actions: list[Action] = []
        while work:
            step = work.popleft()
            if isinstance(step, Answer):
                work.extend(self._ingress_answer(now, step))
            elif isinstance(step, SendPeer) and step.target == self.name:
                work.extend(self.ingress.arrive(now, step.call))
            else:
                actions.append(step)
        return actions

    def _ingress_answer(self, now: float, answer: Answer) -> list[Action]:
        token = self.peers.pop(answer.exchange, None)
        if token is None:
            return list(self.egress.answered(now, answer))
        self.peer_exchanges.pop(token, None)
        return [Reply(token, answer)]


def _call(context: CallContext, service: str, request: Request) -> Call:
    return Call(
        context=context,
        service=service,
        method=request.method,
        path=request.path,
        headers=forwardable(request.headers),
        body=request.body,
    )


def _key(request: Request) -> str | None:
    value = first(request.headers, KEY_HEADER)
    return None if value is None else value.decode("latin-1")


def _refuse(reason: Reason) -> Answer:
    return refusal(exchange=0, outcome=Outcome.NOT_RUN, reason=reason)

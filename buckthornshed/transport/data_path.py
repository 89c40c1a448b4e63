"""Data path of a node: connects listeners and connection pool to the decision logic."""

from collections.abc import Callable
from typing import NamedTuple

from ..coordination.actions import (
    Action,
    CancelLocalCall,
    CancelPeerCall,
    Reply,
    SendPeerCall,
    StartLocalCall,
)
from ..coordination.node import NodeCore
from ..errors import ContextError
from ..protocol.http import (
    ANSWER_HEADER,
    CONTEXT_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    Request,
    forwardable_headers,
    get_header,
    render_request,
)
from ..protocol.messages import Answer, Call, Fault, Headers
from ..protocol.outcome import Outcome, Reason
from ..protocol.wire_context import ContextCodec
from .http_client import ConnectionPool, ExchangeHandlers, RawAnswer
from .http_server import Listener, ServerConnection, ServerHandlers
from .logs import log_event
from .metrics import NodeMetrics
from .responses import client_response, peer_response

__all__ = ["DataPath"]

MAX_CONNECTIONS = 4_096
MAX_IDLE_CONNECTIONS = 64
STEPS_PER_LATENCY_SAMPLE = 16

KEY_REASONS = frozenset(reason for reason in Reason if reason.name.startswith("KEY_"))


class PendingResponse(NamedTuple):
    """Connection whose request has not been answered yet.

    `from_node` is true if another node sent the request; `priority` is the priority
    in its context, or -1 without one.
    """

    connection: ServerConnection
    from_node: bool
    priority: int


class DataPath:
    """Pass requests to the decision logic and carry out the actions that it returns.

    Parameters
    ----------
    core : NodeCore
        Decision logic of the node.
    codec : ContextCodec
        Codec of the context and answer headers that nodes exchange.
    target_address : str
        Address of the local target, ``ip:port``.
    max_body_bytes : int
        Maximum size of a body.
    metrics : NodeMetrics
        Metrics that count the calls and their answers.
    clock, wall : callable
        Return seconds of the monotonic clock and of the wall clock.
    """

    def __init__(
        self,
        *,
        core: NodeCore,
        codec: ContextCodec,
        target_address: str,
        max_body_bytes: int,
        metrics: NodeMetrics,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.core = core
        self.codec = codec
        self.target_address = target_address
        self.metrics = metrics
        self.clock = clock
        self.wall = wall
        self.pending_responses: dict[int, PendingResponse] = {}
        self.next_token = 1
        self.processing_steps = 0
        self.pool = ConnectionPool(
            max_body_bytes=max_body_bytes, max_idle=MAX_IDLE_CONNECTIONS, clock=clock
        )
        self.ingress = self._create_listener(
            self._handle_ingress_request, max_body_bytes
        )
        self.egress = self._create_listener(self._handle_egress_request, max_body_bytes)
        self.peer_handlers = ExchangeHandlers(
            self._handle_peer_answer, self._handle_peer_fault
        )
        self.target_handlers = ExchangeHandlers(
            self._handle_target_answer, self._handle_target_fault
        )
        self.action_handlers: dict[type, Callable[..., None]] = {
            StartLocalCall: self._start_local_call,
            CancelLocalCall: self._cancel,
            SendPeerCall: self._send_peer_call,
            CancelPeerCall: self._cancel,
            Reply: self._reply,
        }

    def stop_accepting(self) -> None:
        """Close the listening sockets, and each connection once it is idle."""
        for listener in (self.ingress, self.egress):
            listener.stop_accepting()
            listener.close_idle()

    @property
    def open_connections(self) -> int:
        """Number of open server connections, which may have responses to write."""
        return len(self.ingress.connections) + len(self.egress.connections)

    def close_expired(self) -> None:
        """Close connections that were idle, or receiving a request, for too long."""
        self.pool.close_expired()
        self.ingress.close_expired()
        self.egress.close_expired()

    def tick(self) -> None:
        """Perform the actions of the decision logic that are due."""
        self.execute(self.core.tick(self.clock(), self.wall()))
        self.metrics.retries = self.core.egress.retries

    def execute(self, actions: list[Action]) -> None:
        """Carry out actions of the decision logic."""
        for action in actions:
            self.action_handlers[type(action)](action)

    def _create_listener(
        self,
        on_request: Callable[[ServerConnection, Request], None],
        max_body_bytes: int,
    ) -> Listener:
        return Listener(
            handlers=ServerHandlers(
                on_request, self._handle_disconnect, self._handle_rejection
            ),
            max_body_bytes=max_body_bytes,
            max_connections=MAX_CONNECTIONS,
            clock=self.clock,
        )

    def _handle_ingress_request(
        self, connection: ServerConnection, request: Request
    ) -> None:
        value = get_header(request.headers, CONTEXT_HEADER)
        now = self.clock()
        if value is not None:
            try:
                context = self.codec.decode_context(
                    value, now=now, receiver=self.core.name
                )
            except ContextError as error:
                log_event("context_rejected", error=str(error))
            else:
                token = self._register(
                    connection, from_node=True, priority=context.priority
                )
                call = Call(
                    context=context,
                    service="",
                    method=request.method,
                    path=request.path,
                    headers=forwardable_headers(request.headers),
                    body=request.body,
                )
                self.execute(self.core.peer_call(now, self.wall(), token, call))
                return
        token = self._register(connection, from_node=False)
        self.execute(self.core.client_request(now, self.wall(), token, request))
        self._sample_added_latency(now)

    def _handle_egress_request(
        self, connection: ServerConnection, request: Request
    ) -> None:
        token = self._register(connection, from_node=False)
        parent = _parse_parent_exchange(get_header(request.headers, CONTEXT_HEADER))
        service = (get_header(request.headers, b"host") or b"").decode("latin-1")
        service = service.partition(":")[0]
        self.execute(
            self.core.local_call(
                self.clock(), self.wall(), token, parent, service, request
            )
        )

    def _register(
        self, connection: ServerConnection, *, from_node: bool, priority: int = -1
    ) -> int:
        token = self.next_token
        self.next_token += 1
        connection.token = token
        self.pending_responses[token] = PendingResponse(connection, from_node, priority)
        return token

    def _handle_disconnect(self, connection: ServerConnection) -> None:
        if self.pending_responses.pop(connection.token, None) is not None:
            self.execute(
                self.core.caller_disconnected(
                    self.clock(), self.wall(), connection.token
                )
            )

    def _handle_rejection(self, detail: str) -> None:
        log_event("request_rejected", detail=detail)

    def _start_local_call(self, action: StartLocalCall) -> None:
        context = action.call.context
        self.metrics.count_admitted(context.priority)
        remaining_ms = max(1, int((context.deadline - self.clock()) * 1e3))
        mark = b"%x" % action.exchange
        extra_headers: Headers = (
            (CONTEXT_HEADER, mark),
            (DEADLINE_HEADER, b"%d" % remaining_ms),
        )
        self._send(
            action.exchange,
            self.target_address,
            action.call,
            extra_headers,
            self.target_handlers,
            mark,
        )

    def _send_peer_call(self, action: SendPeerCall) -> None:
        view = self.core.view
        assert view is not None
        address = view.objects["target"][action.target]["address"]
        value = self.codec.encode_context(
            action.call.context, now=self.clock(), receiver=action.target
        )
        self._send(
            action.exchange,
            address,
            action.call,
            ((CONTEXT_HEADER, value),),
            self.peer_handlers,
        )

    def _send(
        self,
        exchange: int,
        address: str,
        call: Call,
        extra_headers: Headers,
        handlers: ExchangeHandlers,
        mark: bytes = b"",
    ) -> None:
        headers = call.headers
        key = call.context.key
        if key is not None and get_header(headers, IDEMPOTENCY_KEY_HEADER) is None:
            extra_headers = (*extra_headers, (IDEMPOTENCY_KEY_HEADER, key.encode()))
        request = Request(call.method, call.path, headers, call.body)
        self.pool.send(
            exchange=exchange,
            address=address,
            data=render_request(request, extra_headers),
            head_only=call.method == b"HEAD",
            handlers=handlers,
            mark=mark,
        )

    def _cancel(self, action: CancelLocalCall | CancelPeerCall) -> None:
        self.pool.cancel(action.exchange)

    def _reply(self, action: Reply) -> None:
        pending = self.pending_responses.pop(action.token, None)
        if pending is None:
            return
        connection, from_node, priority = pending
        self._count_answer(action.answer, max(priority, action.priority))
        head_only = connection.method == b"HEAD"
        # A draining node closes ingress connections after the response, so that callers
        # send their next request to another node. The local target keeps its egress
        # connections until no call runs there.
        close = self.core.drain.draining and connection.listener is self.ingress
        if from_node:
            data = peer_response(
                action.answer, self.codec, head_only=head_only, close=close
            )
        else:
            data = client_response(action.answer, head_only=head_only, close=close)
        connection.respond(data, close=close)

    def _count_answer(self, answer: Answer, priority: int) -> None:
        reason = answer.reason
        self.metrics.count_call(answer.outcome, reason, priority)
        if reason is None:
            return
        if answer.outcome is Outcome.NOT_RUN:
            self.metrics.count_refused(reason, priority)
        if reason in KEY_REASONS:
            self.metrics.count_key(reason.value)

    def _sample_added_latency(self, started: float) -> None:
        """Record the duration of one processing step, for a sample of the steps."""
        self.processing_steps += 1
        if self.processing_steps % STEPS_PER_LATENCY_SAMPLE == 0:
            self.metrics.record_added_latency(self.clock() - started)

    def _handle_target_answer(self, exchange: int, raw: RawAnswer) -> None:
        headers = forwardable_headers(raw.headers)
        self.execute(
            self.core.target_answered(
                self.clock(), self.wall(), exchange, raw.status, headers, raw.body
            )
        )

    def _handle_target_fault(self, fault: Fault) -> None:
        log_event("target_fault", exchange=fault.exchange, detail=fault.detail)
        self.execute(self.core.target_failed(self.clock(), self.wall(), fault))

    def _handle_peer_answer(self, exchange: int, raw: RawAnswer) -> None:
        answer = self._decode_answer(exchange, raw)
        if answer is None:
            fault = Fault(
                exchange=exchange,
                maybe_sent=True,
                detail="response has no valid answer header",
            )
            self._handle_peer_fault(fault)
            return
        now = self.clock()
        self.execute(self.core.peer_answered(now, self.wall(), answer))
        self._sample_added_latency(now)

    def _decode_answer(self, exchange: int, raw: RawAnswer) -> Answer | None:
        value = get_header(raw.headers, ANSWER_HEADER)
        if value is None:
            return None
        try:
            answer = self.codec.decode_answer(value, status=raw.status)
        except ContextError as error:
            log_event("answer_rejected", error=str(error))
            return None
        if answer.exchange != exchange:
            log_event("answer_misdelivered", exchange=exchange, got=answer.exchange)
            return None
        return answer._replace(headers=forwardable_headers(raw.headers), body=raw.body)

    def _handle_peer_fault(self, fault: Fault) -> None:
        log_event("peer_fault", exchange=fault.exchange, detail=fault.detail)
        self.execute(self.core.peer_failed(self.clock(), self.wall(), fault))


def _parse_parent_exchange(value: bytes | None) -> int:
    """Return the exchange of the parent call, whose header the target passes on."""
    try:
        return int(value or b"", 16)
    except ValueError:
        return -1

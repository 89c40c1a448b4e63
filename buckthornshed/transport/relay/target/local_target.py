"""Calls from all relays to the target beside this one (the local target)."""

import asyncio
from collections.abc import Callable, Hashable

from ....coordination.relay.admission.call_graph import CallGraph
from ....coordination.relay.admission.request_memory import RequestMemory
from ....coordination.relay.crashes.suspect_isolation import SuspectIsolation
from ....coordination.relay.limiter.concurrency_limiter import (
    ConcurrencyLimiter,
    LimiterAction,
    LimiterCall,
    StartCall,
)
from ....coordination.relay.runs.parent_runs import ParentRuns, Run, RunEnd
from ....protocol.relay_messages import (
    AnswerMessage,
    CallMessage,
    HeaderNames,
    RefusalMessage,
    RefusalReason,
)
from ....state.catalog import Target
from ...buffer_budget import BufferBudget
from ...logs import log_event
from ..crashes.crash_detector import CrashDetector
from ..crashes.crash_reports import CrashReports
from ..logs.access_log import AccessLog
from .answer_checks import is_genuine
from .call_outcomes import CallKey, CallOutcome, create_outcome
from .target_connection import FaultKind, TargetAnswer, TargetFault
from .target_pool import TargetPool
from .target_statement import TargetStatement, read_statement

__all__ = ["LocalTarget"]

MAX_OVERRUN_S = 5.0
"""Time after its deadline at which a running call is given up.

A target stops work at the deadline, but one in trouble may send an answer without end.
"""


class LocalTarget:
    """Runs calls at the target and delivers one outcome for each.

    Parameters
    ----------
    address : str
        Address of the target, ``ip:port``.
    names : HeaderNames
        Header names of the deployment.
    deliver : callable
        Called with the key and the outcome of a call.
    on_leaving : callable
        Called with the name of the target when it has stated that it is leaving.
    covers_retried_run : callable
        Returns whether the retry limit allows the calls of a retried run of a route.
    crash_reports : CrashReports
        Tells other relays of crashes of the target, and knows of others.
    access_log : AccessLog
        Logs the ends of calls.
    clock : callable
        Returns seconds of the monotonic clock.
    buffers : BufferBudget
        Bounds the bytes of incomplete answers.
    unsent_bytes : callable
        Returns the bytes that the relay which a call came from has not taken yet.
    memory : RequestMemory
        Bounds the bytes of calls that are queued or running.
    """

    def __init__(
        self,
        *,
        address: str,
        names: HeaderNames,
        deliver: Callable[[CallKey, CallOutcome], None],
        on_leaving: Callable[[str], None],
        covers_retried_run: Callable[[str], bool],
        crash_reports: CrashReports,
        access_log: AccessLog,
        clock: Callable[[], float],
        buffers: BufferBudget,
        unsent_bytes: Callable[[CallKey], int],
        memory: RequestMemory,
    ) -> None:
        self.memory = memory
        self.address = address
        self.names = names
        self.deliver = deliver
        self.on_leaving = on_leaving
        self.covers_retried_run = covers_retried_run
        self.access_log = access_log
        self.clock = clock
        self.limiter = ConcurrencyLimiter()
        self.pool = TargetPool(
            address=address,
            names=names,
            on_end=self._handle_end,
            clock=clock,
            buffers=buffers,
            unsent_bytes=lambda run_id: unsent_bytes(self._key_of(run_id)),
        )
        self.crash_reports = crash_reports
        self.isolation = SuspectIsolation(suspects=crash_reports.suspects)
        self.crash_detector = CrashDetector(
            pool=self.pool,
            clock=clock,
            is_end_planned=lambda: self.draining,
            on_crash=lambda calls: crash_reports.report(self.registration, calls),
            deliver=self._deliver,
        )
        self.registration: Target | None = None
        self.runs: dict[int, LimiterCall] = {}
        self.run_ids: dict[Hashable, int] = {}
        self.next_run_id = 1
        self.refusing = False
        self.logged_statement = TargetStatement()
        self.graph = CallGraph()
        self.parent_runs = ParentRuns()

    @property
    def busy(self) -> bool:
        """Whether a call is running or queued."""
        return bool(self.limiter.calls or self.crash_detector.lost)

    @property
    def draining(self) -> bool:
        """Whether the target itself leaves or is no longer registered."""
        return self.registration is not None and self.registration.draining

    def update_registration(self, target: Target | None) -> None:
        """Apply the current registration of the target, None if it has none."""
        previous = self.registration
        if target is not None:
            if previous is not None and incarnation(previous) != incarnation(target):
                self.limiter.rate_limiter.reset()
            if previous is not None and target.has_warmed_up_since(previous):
                self.limiter.call_times.by_route.clear()
            self.registration = target
            self.limiter.set_slots(target.slots)
        if previous is not None and target is None:
            # The registration has ended: no new calls until the target registers again.
            self.registration = previous._replace(draining=True)
        self._update_draining()

    def adopt_limit(self, rate: float | None) -> None:
        """Keep the rate limit that other relays know, until the target answers."""
        if rate is not None:
            self.limiter.rate_limiter.adopt(self.clock(), rate)

    def refuse_new_calls(self) -> None:
        """Refuse new and queued calls; running calls continue."""
        self.refusing = True
        self._update_draining()

    def submit(self, key: CallKey, message: CallMessage) -> None:
        """Start, queue or refuse a call."""
        now = self.clock()
        call = LimiterCall(
            key=key, message=message, deadline=now + message.time_left, arrived=now
        )
        if not self.memory.begin(key, len(message.body)):
            self._refuse(call, RefusalReason.OVERLOAD, self.limiter.retry_after())
            return
        refusal = self._suspect_refusal(call)
        if refusal is not None:
            self._refuse_suspect(call, refusal)
            return
        if message.is_retry and not self.covers_retried_run(message.route):
            retry_after = self.limiter.retry_after()
            self._refuse(call, RefusalReason.RETRY_LIMITED, retry_after)
            return
        self._execute(self.limiter.submit(now, call))

    def cancel(self, key: CallKey) -> None:
        """Cancel a call whose answer is no longer needed.

        A running call is cancelled only if it is idempotent.
        """
        call = self.limiter.calls.get(key)
        if call is None:
            return
        if call.started is not None and not call.message.idempotent:
            # Only idempotent calls may be interrupted.
            return
        self._stop(call)

    def cancel_session(self, session: int) -> None:
        """Cancel all calls of a connection that has ended."""
        for key in [key for key in self.limiter.calls if _session(key) == session]:
            self.cancel(key)  # type: ignore[arg-type]

    def tick(self, now: float) -> None:
        """End calls that are late and start those that may run."""
        overdue = [
            call for call in self.runs.values() if now - call.deadline > MAX_OVERRUN_S
        ]
        for call in overdue:
            log_event(
                "target_overdue",
                request=call.message.request_id.decode("latin-1"),
                target=call.message.target,
            )
            self._stop(call)
            self._refuse(call, RefusalReason.TIMED_OUT, 0.0)
        self.pool.reading.resume()
        self._execute(self.limiter.tick(now))

    def _key_of(self, run_id: int) -> CallKey:
        """Return the key of a running call; that of no connection if it has ended."""
        call = self.runs.get(run_id)
        key = CallKey(0, 0) if call is None else call.key
        assert isinstance(key, CallKey)
        return key

    def _suspect_refusal(self, call: LimiterCall) -> RefusalReason | None:
        """Return why a call may not run if it is suspected of crashes."""
        suspects = self.crash_reports.suspects
        if not suspects.active:
            return None
        release = self.crash_reports.release(self.registration)
        return self.isolation.refusal(
            self.clock(), call.key, self._fingerprint(call), release
        )

    def _fingerprint(self, call: LimiterCall) -> bytes:
        message = call.message
        return self.crash_reports.fingerprint(
            message.head, message.body, message.workspace
        )

    def _refuse_suspect(self, call: LimiterCall, reason: RefusalReason) -> None:
        retry_after = self.limiter.retry_after()
        if reason is RefusalReason.QUARANTINED:
            retry_after = self.crash_reports.suspects.retry_after(
                self.clock(),
                self._fingerprint(call),
                self.crash_reports.release(self.registration),
            )
        self._refuse(call, reason, retry_after)

    def _stop(self, call: LimiterCall) -> None:
        """Remove a call; close its connection if it is running."""
        self.isolation.end(call.key)
        self.memory.end(call.key)
        was_running, actions = self.limiter.cancel(self.clock(), call.key)
        if was_running:
            run_id = self.run_ids.pop(call.key)
            del self.runs[run_id]
            self._end_run(run_id, call, RunEnd.UNKNOWN)
            self.pool.cancel(run_id)
            self.crash_detector.record_cancelled(call.message)
        self._execute(actions)

    def _update_draining(self) -> None:
        draining = self.refusing or self.draining
        if draining and not self.limiter.draining:
            self.limiter.draining = True
            self._execute(self.limiter.refuse_queued())
        self.limiter.draining = draining

    def _execute(self, actions: list[LimiterAction]) -> None:
        for action in actions:
            if isinstance(action, StartCall):
                self._start(action.call)
            else:
                self._refuse(action.call, action.reason, action.retry_after)

    def _start(self, call: LimiterCall) -> None:
        refusal = self._suspect_refusal(call)
        if refusal is not None:
            _, actions = self.limiter.cancel(self.clock(), call.key)
            self._refuse_suspect(call, refusal)
            self._execute(actions)
            return
        message = call.message
        if self.isolation.isolated == call.key:
            self.crash_reports.begin_trial(self._fingerprint(call))
        if self.registration is not None and message.target != self.registration.name:
            # The caller's view may be older or newer than this relay's. The target
            # rejects the call itself if its name differs.
            log_event("expected_target_differs", expected=message.target)
        run_id = self.next_run_id
        self.next_run_id += 1
        self.runs[run_id] = call
        self.run_ids[call.key] = run_id
        self.parent_runs.begin(run_id, Run(message, call.deadline))
        time_left_ms = max(1, int((call.deadline - self.clock()) * 1e3))
        head = b"%s%s: %d\r\n%s: %s\r\n\r\n" % (
            message.head,
            self.names.deadline,
            time_left_ms,
            self.names.expected_target,
            message.target.encode(),
        )
        head_only = message.head.startswith(b"HEAD ")
        self.pool.send(
            run_id, message.request_id, head, message.body, head_only=head_only
        )

    def _handle_end(self, run_id: int, result: TargetAnswer | TargetFault) -> None:
        call = self.runs.pop(run_id, None)
        if call is None:
            return
        del self.run_ids[call.key]
        statement = self._read_statement(call, result)
        outcome = create_outcome(
            call.message, result, self.names, self.limiter.retry_after()
        )
        # A failed run may end early, so its time and calls are not representative.
        succeeded = isinstance(outcome, AnswerMessage) and not outcome.failed
        target_full = getattr(outcome, "reason", None) is RefusalReason.TARGET_FULL
        self.limiter.capacity.record_result(rejected=target_full)
        self._end_run(run_id, call, _run_end(outcome))
        fault = result.kind if isinstance(result, TargetFault) else None
        actions = self.limiter.finish(
            self.clock(),
            call.key,
            succeeded=succeeded,
            answered=fault is None,
            connection_failed=fault in (FaultKind.BROKEN, FaultKind.UNREACHABLE),
        )
        if isinstance(outcome, AnswerMessage):
            if statement is not None:
                self.crash_reports.record_answer(self.registration, call.message)
            outcome.load = self.limiter.load
            outcome.call_time = self.limiter.call_times.of(call.message.route)
            outcome.rate_limit = self.limiter.rate_limiter.effective_rate
            outcome.leaving = statement is not None and statement.leaving
        else:
            outcome.load = self.limiter.load
        if isinstance(outcome, RefusalMessage) and fault is FaultKind.BROKEN:
            self.crash_detector.record_broken(call, outcome)
        else:
            self._deliver(call, outcome)
        self._execute(actions)

    def _read_statement(
        self, call: LimiterCall, result: TargetAnswer | TargetFault
    ) -> TargetStatement | None:
        """Return and record what the target states about itself in an answer.

        Returns None for what is not certainly an answer of this target: the headers of
        spoiled answers may be missing, which must not end a limit.
        """
        if isinstance(result, TargetFault) or not is_genuine(result, self.names):
            return None
        statement = read_statement(result.headers, self.names)
        self._record_statement(call, statement)
        return statement

    def _record_statement(self, call: LimiterCall, statement: TargetStatement) -> None:
        assert call.started is not None
        if statement.rate_limit is None:
            known_limit = self.logged_statement.rate_limit
            statement = statement._replace(rate_limit=known_limit)
        else:
            self.limiter.rate_limiter.record_statement(
                self.clock(), statement.rate_limit, sent_at=call.started
            )
        if statement.differs_clearly(self.logged_statement):
            self.logged_statement = statement
            log_event(
                "target_statement",
                target=call.message.target,
                limit=statement.rate_limit,
                leaving=statement.leaving,
                sent=self.pool.requests_sent,
            )
        if statement.leaving:
            self.on_leaving(call.message.target)

    def _end_run(self, run_id: int, call: LimiterCall, end: RunEnd) -> None:
        message = call.message
        self.parent_runs.end(self.clock(), run_id, end)
        self.graph.record_run_end(
            message.request_id, message.route, succeeded=end is RunEnd.ANSWERED
        )

    def _refuse(
        self, call: LimiterCall, reason: RefusalReason, retry_after: float
    ) -> None:
        load = self.limiter.load
        self._deliver(
            call, RefusalMessage(call.message.exchange, reason, retry_after, load)
        )

    def _deliver(self, call: LimiterCall, outcome: CallOutcome) -> None:
        key = call.key
        assert isinstance(key, CallKey)
        self.isolation.end(key)
        self.memory.end(key)
        self.access_log.log_call(
            self.clock(),
            call.message,
            outcome,
            arrived=call.arrived,
            started=call.started,
        )
        if key.session == 0:
            # The dispatcher may still be sending this call, so it is not re-entered.
            asyncio.get_running_loop().call_soon(self.deliver, key, outcome)
        else:
            self.deliver(key, outcome)


def incarnation(target: Target) -> tuple[str, int]:
    """Return what distinguishes the incarnations of targets: name and start."""
    return target.name, target.started


def _session(key: Hashable) -> int:
    assert isinstance(key, CallKey)
    return key.session


def _run_end(outcome: CallOutcome) -> RunEnd:
    """Return how a run ended that has this outcome."""
    if isinstance(outcome, AnswerMessage):
        return RunEnd.FAILED if outcome.failed else RunEnd.ANSWERED
    return RunEnd.UNKNOWN if outcome.reason.may_have_run else RunEnd.NOT_RUN

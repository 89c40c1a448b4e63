"""Handling of the messages of other relays, and of changes of their connections."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ....coordination.relay.retries.unresolved_calls import Resolution
from ....protocol.crash_messages import CrashNotice
from ....protocol.http import is_final_status
from ....protocol.quota_messages import QuotaGrant, QuotaLow, QuotaQuestion, QuotaUse
from ....protocol.relay_messages import (
    AnswerMessage,
    CallMessage,
    CancelMessage,
    DrainNotice,
    FleetUpdate,
    Ping,
    Pong,
    RefusalMessage,
    RefusalReason,
    RelayMessage,
    Status,
    ViewRequest,
)
from ...logs import log_event
from ..target.call_outcomes import CallKey, CallOutcome
from .peer_connections import PeerSession

if TYPE_CHECKING:
    from ..relay import Relay

__all__ = ["PeerMessages"]


class PeerMessages:
    """Passes each message to the part of the relay that it concerns.

    Parameters
    ----------
    relay : Relay
        The relay; its parts are used once there are connections.

    Attributes
    ----------
    sessions : dict
        Connections that calls have arrived on, by number.
    session_handlers : dict
        By type, what handles a message on a connection that another relay opened.
    link_handlers : dict
        The same for connections that this relay opened, named by the instance.
    """

    def __init__(self, *, relay: "Relay") -> None:
        self.relay = relay
        self.sessions: dict[int, PeerSession] = {}
        self.session_handlers: dict[type, Callable[[PeerSession, Any], None]] = {
            CallMessage: self._submit_call,
            CancelMessage: self._cancel_call,
            Ping: self._answer_ping,
            Status: self._record_status,
            FleetUpdate: self._apply_update,
            CrashNotice: lambda _, notice: relay.crash_reports.apply(notice),
            QuotaUse: lambda session, use: relay.quotas.record_use(session, use),
            QuotaQuestion: lambda session, each: relay.quotas.answer(session, each),
            QuotaLow: lambda _, notice: relay.quotas.record_low(notice),
        }
        self.link_handlers: dict[type, Callable[[str, Any], None]] = {
            AnswerMessage: self._end_answered_call,
            RefusalMessage: lambda _, refusal: self._end_call(refusal),
            QuotaGrant: lambda _, grant: relay.quotas.record_grant(grant),
            QuotaLow: lambda _, notice: relay.quotas.record_low(notice),
            DrainNotice: self._mark_draining,
            Pong: self._record_load,
            ViewRequest: lambda instance, _: relay.fleet_exchange.send_view(instance),
        }

    def handle_session_message(
        self, session: PeerSession, message: RelayMessage
    ) -> None:
        """Handle a message on a connection that another relay opened."""
        handle = self.session_handlers.get(type(message))
        if handle is not None:
            handle(session, message)

    def handle_session_loss(self, session: PeerSession) -> None:
        """Cancel the calls that arrived on a closed connection."""
        self.sessions.pop(session.number, None)
        self.relay.local_target.cancel_session(session.number)

    def handle_new_session(self, instance: str) -> None:
        """Look whether something that the other relay told can have been lost."""
        relay = self.relay
        relay.fleet_exchange.store_readers.record_session(relay.clock(), instance)

    def handle_link_message(self, instance: str, message: RelayMessage) -> None:
        """Handle a message on a connection that this relay opened."""
        handle = self.link_handlers.get(type(message))
        if handle is not None:
            handle(instance, message)

    def handle_new_link(self, instance: str) -> None:
        """Tell a newly connected relay of the fleet, calls of routes and crashes."""
        log_event("peer_found", peer=instance)
        relay = self.relay
        beside = relay.target_reports.names_by_instance.get(instance, ())
        relay.fleet_exchange.greet(instance, beside)
        first_messages = (
            relay.statuses.status_for_new_peer(),
            relay.crash_reports.notice(),
        )
        for message in first_messages:
            if message is not None:
                relay.links.send(instance, message)

    def handle_link_loss(self, instance: str, exchanges: list[int]) -> None:
        """Handle the loss of a connection with calls in progress."""
        log_event("peer_lost", peer=instance, calls=len(exchanges))

    def retry_lost_calls(self, exchanges: list[int]) -> list[int]:
        """Send calls on a connection that has ended again; return those that wait."""
        relay = self.relay
        actions, waiting = relay.dispatcher.retry_lost(relay.clock(), exchanges)
        relay.execute(actions)
        return waiting

    def handle_lost_calls(self, instance: str, resolution: Resolution) -> None:
        """End calls on a connection that has ended, or send them again."""
        lost, unreceived = resolution
        log_event("calls_lost", peer=instance, lost=len(lost), again=len(unreceived))
        now, dispatcher = self.relay.clock(), self.relay.dispatcher
        self.relay.execute(dispatcher.handle_connection_loss(now, lost))
        self.relay.execute(dispatcher.handle_unreceived(now, unreceived))

    def handle_silent_link(self, instance: str) -> None:
        """Tell others of a relay that does not answer."""
        self.relay.fleet_exchange.report_silent(instance)

    def deliver(self, key: CallKey, outcome: CallOutcome) -> None:
        """Send the outcome of a call to the relay that it came from, or use it here."""
        if not key.session:
            self._end_call(outcome)
            return
        session = self.sessions.get(key.session)
        if session is not None:
            session.send(outcome)

    def unsent_bytes(self, key: CallKey) -> int:
        """Return the bytes that the relay which a call came from has not taken yet."""
        session = self.sessions.get(key.session)
        return 0 if session is None else session.unsent_bytes

    def _submit_call(self, session: PeerSession, message: CallMessage) -> None:
        self.sessions[session.number] = session
        key = CallKey(session.number, message.exchange)
        self.relay.local_target.submit(key, message)

    def _cancel_call(self, session: PeerSession, message: CancelMessage) -> None:
        self.relay.local_target.cancel(CallKey(session.number, message.exchange))

    def _answer_ping(self, session: PeerSession, _: Ping) -> None:
        session.send(Pong(self.relay.local_target.limiter.load))

    def _record_status(self, session: PeerSession, status: Status) -> None:
        now = self.relay.clock()
        self.relay.target_reports.record_status(now, status)
        self.relay.statuses.receive(now, session.name, status)

    def _apply_update(self, session: PeerSession, update: FleetUpdate) -> None:
        self.relay.fleet_exchange.apply(update, session.instance)
        self.relay.target_reports.learn_limits(update.limits)

    def _end_answered_call(self, instance: str, answer: AnswerMessage) -> None:
        """Handle an answer that another relay passes on; it may be an earlier version.

        One whose status is no answer's is not passed on to the client. It may have run.
        """
        if is_final_status(answer.status):
            self._end_call(answer)
            return
        log_event("peer_answer_unusable", peer=instance, status=answer.status)
        self._end_call(
            RefusalMessage(answer.exchange, RefusalReason.LOST, 0.0, answer.load)
        )

    def _end_call(self, outcome: CallOutcome) -> None:
        now, dispatcher = self.relay.clock(), self.relay.dispatcher
        if isinstance(outcome, AnswerMessage):
            self.relay.execute(dispatcher.handle_answer(now, outcome))
        else:
            self.relay.execute(dispatcher.handle_refusal(now, outcome))

    def _mark_draining(self, instance: str, _: DrainNotice) -> None:
        log_event("peer_leaving", peer=instance)
        self.relay.links.mark_draining(instance)

    def _record_load(self, instance: str, pong: Pong) -> None:
        now = self.relay.clock()
        self.relay.target_reports.record_load(now, instance, pong.load)

"""Input and output of a node's configuration and membership logic.

One task owns the decision logic. The peer server, the links and the platform reads pass
events to it through a bounded stream; the task sends messages and starts reads.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from ..coordination.knowledge.control_budget import ControlBudget
from ..coordination.knowledge.dissemination import PAUSE_THRESHOLD_S, Dissemination
from ..coordination.knowledge.fleet_actions import (
    Action,
    Activate,
    Formats,
    Priority,
    ReadValue,
    Report,
    Rng,
    Send,
)
from ..coordination.knowledge.membership import Evidence, Membership
from ..errors import PlatformError
from ..protocol.authentication import Authenticator
from ..protocol.peer_codec import PeerCodec, encode_body
from ..protocol.peer_messages import (
    Changes,
    Digest,
    Envelope,
    Leaving,
    OwnerMessage,
    OwnerReply,
    PeerMessage,
    PeerState,
    WholeSet,
    estimate_size,
)
from ..protocol.wire.peer_pb2 import Signed
from .fleet_events import (
    AnnounceDrain,
    Event,
    EvidenceObserved,
    FleetDump,
    FleetSettings,
    InstancesListed,
    ReadCompleted,
    Refresh,
    SendOwnerMessage,
)
from .peers import DeliveryFailed, MessageReceived, PeerLinks, PeerServer
from .platform_reader import PlatformReader, Unchanged, Value

__all__ = ["Fleet"]

MAX_QUEUED_EVENTS = 1_024
"""Maximum number of events queued for the task that owns the decision logic."""

LIST_INTERVAL_S = (8.0, 12.0)
"""Range of the interval between two reads of the instance list by a reader."""

FRAMING_BYTES = 60
"""Approximate size of the HTTP/2 frames and headers of one message and its receipt."""


ENVELOPE_BYTES = 160
"""Approximate size of the sender, recipient, MAC and versions of a message."""


class Fleet:
    """Keep the configuration up to date and track the state of other nodes.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the node.
    formats : Formats
        Functions that decode and validate published values.
    rng : Rng
        Source of jitter.
    on_active : callable
        Called with each configuration set that comes into force.
    on_report : callable
        Called with each event to report to operators.
    on_owner : callable, optional
        Called with the sender's target name and the message, for each message about
        key ownership.
    on_draining : callable, optional
        Called with the target name of each node that announces that it is draining.
    """

    def __init__(
        self,
        *,
        settings: FleetSettings,
        formats: Formats,
        rng: Rng,
        on_active: Callable[[Activate], None],
        on_report: Callable[[Report], None],
        on_owner: Callable[[str, OwnerMessage], None] | None = None,
        on_draining: Callable[[str], None] | None = None,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.on_active = on_active
        self.on_report = on_report
        self.on_owner = on_owner
        self.on_draining = on_draining
        self.membership = Membership(
            name=settings.name, incarnation=settings.incarnation, rng=rng
        )
        self.dissemination = Dissemination(
            name=settings.name,
            domain=settings.domain,
            address=settings.address,
            seeds=settings.seeds,
            formats=formats,
            is_live=self.is_reachable,
            rng=rng,
        )
        self.budget = ControlBudget()
        self.codec = PeerCodec(authenticator=Authenticator(keys=settings.keys))
        self.server = PeerServer(
            address=settings.address, codec=self.codec, sink=self.enqueue
        )
        self.links = PeerLinks(sink=self.enqueue)
        self.reader = PlatformReader(url=settings.platform)
        self.event_sender, self.event_receiver = anyio.create_memory_object_stream[
            Event
        ](MAX_QUEUED_EVENTS)
        self.started = anyio.Event()
        self.sequence = 0
        self.refreshes_requested = 0
        self.refreshes_started = 0
        self.next_list_at = 0.0
        self.messages: Counter[str] = Counter()
        self.reports: Counter[str] = Counter()

    @property
    def fresh(self) -> bool:
        """Whether a set is in force and was refreshed since the last pause.

        After a pause of the process it is false immediately, even before the next tick
        of the owning task.
        """
        paused = anyio.current_time() - self.dissemination.last_tick > PAUSE_THRESHOLD_S
        none_pending = self.refreshes_started == self.refreshes_requested
        return self.dissemination.fresh and none_pending and not paused

    def state(self, name: str) -> PeerState:
        """Return the membership state of a node."""
        return self.membership.state(name)

    def is_reachable(self, name: str) -> bool:
        """Return whether messages should be sent to a node."""
        return self.membership.should_contact(anyio.current_time(), name)

    def enqueue(self, event: Event) -> bool:
        """Queue an event for the owning task; return False if the queue is full."""
        try:
            self.event_sender.send_nowait(event)
        except anyio.WouldBlock:
            return False
        return True

    def observe(self, name: str, evidence: Evidence, incarnation: int = 0) -> None:
        """Queue evidence about the state of a node, obtained from calls to it."""
        self.enqueue(EvidenceObserved(name, evidence, incarnation))

    def refresh(self) -> None:
        """Query the neighbours again; `fresh` is false until they have answered."""
        if self.enqueue(Refresh()):
            self.refreshes_requested += 1

    def announce_drain(self, names: Iterable[str] = ()) -> None:
        """Announce to the neighbours and the named nodes that this node is draining."""
        self.enqueue(AnnounceDrain(tuple(names)))

    def send_owner_message(self, name: str, message: OwnerMessage) -> None:
        """Send a message to the node of a target, without notice if it is lost.

        Raises
        ------
        PeerError
            If the message exceeds its limits.
        """
        # Encoding the message here raises the error in the caller; in the owning task
        # it would end that task.
        encode_body(message)
        self.enqueue(SendOwnerMessage(name, message))

    async def run(self) -> None:
        """Exchange messages with other nodes and the platform until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.server.serve, self.started.set)
                await self.started.wait()
                now = anyio.current_time()
                self.execute(tasks, self.dissemination.start(now))
                while True:
                    await self.process_next(tasks)
        finally:
            with anyio.CancelScope(shield=True):
                await self.reader.close()

    async def process_next(self, tasks: TaskGroup) -> None:
        """Wait for an event or the next due time and process it."""
        now = anyio.current_time()
        due = min(self.dissemination.due, self.budget.due(now), self.list_due())
        event: Event | None = None
        with anyio.move_on_after(max(0.0, due - now)):
            event = await self.event_receiver.receive()
        now = anyio.current_time()
        # A late tick reveals a pause of the process, so the tick precedes the event.
        actions = self.dissemination.tick(now)
        if any(isinstance(a, Report) and a.notice == "woken" for a in actions):
            self.membership.clear_suspicions(now)
        if event is not None:
            actions += EVENT_HANDLERS[type(event)](self, now, event)
        self.membership.tick(now)
        self.start_list_read(tasks, now)
        self.execute(tasks, actions)

    # Event handlers.

    def handle_message(self, now: float, event: MessageReceived) -> list[Action]:
        """Handle a message of another node."""
        sender = event.envelope.sender
        message = event.envelope.message
        draining = isinstance(message, Leaving)
        evidence = Evidence.DRAINING if draining else Evidence.MESSAGE_RECEIVED
        self.membership.observe(now, sender, evidence, event.envelope.incarnation)
        if isinstance(message, Digest):
            self.membership.apply_gossip(now, message.nodes)
        if draining and self.on_draining is not None:
            self.on_draining(sender)
        if isinstance(message, OwnerMessage) and self.on_owner is not None:
            self.on_owner(sender, message)
        return self.dissemination.receive(now, event.envelope.address, message)

    def handle_delivery_failure(
        self, now: float, event: DeliveryFailed
    ) -> list[Action]:
        """Handle a message that could not be delivered."""
        name = self.dissemination.topology.names_by_address.get(event.address)
        if name is not None:
            self.membership.observe(now, name, Evidence.CONTACT_FAILED)
        return self.dissemination.handle_unreachable(now, event.address)

    def handle_read(self, now: float, event: ReadCompleted) -> list[Action]:
        """Handle the result of a platform read."""
        if isinstance(event.result, Value):
            version, body = event.result
            return self.dissemination.handle_value(now, event.key, version, body)
        if isinstance(event.result, Unchanged):
            return self.dissemination.handle_unchanged(now)
        return self.dissemination.handle_read_failure(now, event.key, str(event.result))

    def handle_instances(self, now: float, event: InstancesListed) -> list[Action]:
        """Apply the platform's instance list to the membership."""
        self.membership.apply_instance_list(now, event.nodes)
        return []

    def handle_evidence(self, now: float, event: EvidenceObserved) -> list[Action]:
        """Handle evidence from calls."""
        self.membership.observe(now, event.name, event.evidence, event.incarnation)
        return []

    def handle_refresh(self, now: float, event: Refresh) -> list[Action]:
        """Query the neighbours for the versions that they have in force."""
        self.refreshes_started += 1
        self.membership.clear_suspicions(now)
        return self.dissemination.begin_refresh(now)

    def handle_announce_drain(self, now: float, event: AnnounceDrain) -> list[Action]:
        """Announce to other nodes that this node is draining."""
        self.membership.draining = True
        named = self.dissemination.topology.addresses(event.names)
        addresses = {*named, *self.dissemination.neighbours}
        message = Leaving(self.settings.incarnation)
        return [Send(each, message, Priority.DRAIN) for each in sorted(addresses)]

    def handle_send_owner_message(
        self, now: float, event: SendOwnerMessage
    ) -> list[Action]:
        """Send a message about key ownership if the set in force has the target."""
        addresses = self.dissemination.topology.addresses([event.name])
        return [Send(each, event.message, Priority.DRAIN) for each in addresses]

    # Execution of actions.

    def execute(self, tasks: TaskGroup, actions: Iterable[Action]) -> None:
        """Carry out actions, then send the messages that the control budget allows."""
        for action in actions:
            ACTION_HANDLERS[type(action)](self, tasks, action)
        now = anyio.current_time()
        for send in self.budget.release(now):
            self.send(tasks, now, send)

    def enqueue_message(self, tasks: TaskGroup, action: Send) -> None:
        """Queue a message in the control budget."""
        self.budget.enqueue(
            action, FRAMING_BYTES + estimate_message_size(action.message)
        )

    def send(self, tasks: TaskGroup, now: float, action: Send) -> None:
        """Pass a message to its link; a digest carries pending membership updates."""
        if isinstance(action.message, Digest):
            updates = self.membership.pending_updates(now)
            action = action._replace(message=action.message._replace(nodes=updates))
        self.messages[type(action.message).__name__] += 1
        self.links.send(tasks, action.address, self.sign(action))

    def sign(self, action: Send) -> Signed:
        """Assign a sequence number to a message and sign it."""
        self.sequence += 1
        return self.codec.encode_signed(self.make_envelope(action))

    def make_envelope(self, action: Send) -> Envelope:
        """Return a message in an envelope with its sender and recipient."""
        return Envelope(
            sender=self.settings.name,
            address=self.settings.address,
            incarnation=self.settings.incarnation,
            recipient=action.address,
            sequence=self.sequence,
            message=action.message,
        )

    def start_read(self, tasks: TaskGroup, action: ReadValue) -> None:
        """Start a task that reads a value from the platform."""
        tasks.start_soon(self.read_value, action, name=f"read {action.key}")

    async def read_value(self, action: ReadValue) -> None:
        """Read a value and pass the result to the owning task."""
        result: Value | Unchanged | PlatformError
        try:
            result = await self.reader.read(
                action.key, after=action.after, wait=action.wait
            )
        except PlatformError as error:
            result = error
        await self.event_sender.send(ReadCompleted(action.key, result))

    def activate(self, tasks: TaskGroup, action: Activate) -> None:
        """Report a configuration set that has come into force."""
        self.on_active(action)

    def report(self, tasks: TaskGroup, action: Report) -> None:
        """Count and forward an event for operators."""
        self.reports[action.notice] += 1
        self.on_report(action)

    # Instance list.

    def list_due(self) -> float:
        """Return when this node reads the instance list next; only readers do."""
        reader = self.dissemination.topology.is_reader()
        return self.next_list_at if reader else float("inf")

    def start_list_read(self, tasks: TaskGroup, now: float) -> None:
        """Start a read of the instance list if it is due."""
        if now >= self.list_due():
            self.next_list_at = now + self.rng.uniform(*LIST_INTERVAL_S)
            tasks.start_soon(self.read_instances, name="read instances")

    async def read_instances(self) -> None:
        """Read the instance list and pass it to the owning task."""
        try:
            nodes = await self.reader.read_instances()
        except PlatformError:
            # The watch of the head already reports an unreachable platform.
            return
        await self.event_sender.send(InstancesListed(nodes))

    def dump(self) -> FleetDump:
        """Return the state of configuration and membership for operators."""
        dissemination = self.dissemination
        conflicting = dissemination.acceptance.conflicting_version
        rejected = dissemination.acceptance.rejected_versions.items()
        members = self.membership.members.items()
        now = anyio.current_time()
        return FleetDump(
            name=self.settings.name,
            generation=dissemination.version.generation,
            digest=dissemination.version.digest.hex(),
            phase=dissemination.phase.name.lower(),
            reader=dissemination.topology.is_reader(),
            neighbours=list(dissemination.neighbours),
            source_age_s=now - dissemination.watch.last_contact_at,
            rival=conflicting.digest.hex() if conflicting else None,
            refused={str(version.generation): text for version, text in rejected},
            members={name: member.state.name.lower() for name, member in members},
            reports=dict(self.reports),
            platform_reads=self.reader.reads,
            sent_bytes=sum(self.budget.sent_bytes.values()),
            messages=dict(self.messages),
        )


def estimate_message_size(message: PeerMessage) -> int:
    """Return the approximate encoded size of a message without encoding it."""
    if isinstance(message, WholeSet):
        return ENVELOPE_BYTES + len(message.body)
    if isinstance(message, Changes):
        return ENVELOPE_BYTES + sum(map(estimate_size, message.deltas))
    if isinstance(message, OwnerReply):
        return ENVELOPE_BYTES + sum(map(len, message.members))
    return ENVELOPE_BYTES


EVENT_HANDLERS: dict[type, Callable[[Fleet, float, Any], list[Action]]] = {
    MessageReceived: Fleet.handle_message,
    DeliveryFailed: Fleet.handle_delivery_failure,
    ReadCompleted: Fleet.handle_read,
    InstancesListed: Fleet.handle_instances,
    EvidenceObserved: Fleet.handle_evidence,
    AnnounceDrain: Fleet.handle_announce_drain,
    Refresh: Fleet.handle_refresh,
    SendOwnerMessage: Fleet.handle_send_owner_message,
}

ACTION_HANDLERS: dict[type, Callable[[Fleet, TaskGroup, Any], None]] = {
    Send: Fleet.enqueue_message,
    ReadValue: Fleet.start_read,
    Activate: Fleet.activate,
    Report: Fleet.report,
}

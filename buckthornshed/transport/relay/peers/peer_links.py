"""All connections of a relay to and from other relays.

Relays ping each other, because a connection can fail without being reset.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable
from functools import partial

from ....coordination.relay.placement.load_balancer import Availability
from ....coordination.relay.retries.unresolved_calls import (
    ReceivedCalls,
    Resolution,
    UnresolvedCalls,
)
from ....protocol.relay_messages import Hello, RelayMessage, Welcome
from ..counts import RelayCounts
from ..supervision import keep_running
from .peer_connections import PING_AFTER_S, PeerHandler, PeerLink, PeerSession

__all__ = ["PeerLinks"]

CONNECT_TIMEOUT_S = 0.8
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
MAX_IDLE_PINGS_PER_S = 40.0
"""Pings per second that a relay sends on all its links without a pending call.

With many links each of them is checked less often, so that the work does not grow with
the fleet. A link with a pending call is always checked after `PING_AFTER_S`.
"""
PAUSE_THRESHOLD_S = 0.25
"""Time between ticks from which this process counts as paused.

It could not read data during the pause, so the pause does not count against peers.
"""


class PeerLinks:
    """All connections to and from other relays.

    Parameters
    ----------
    hello : Hello
        First message on each connection that this relay opens.
    port : int
        Port on which all relays listen.
    handler : PeerHandler
        Handles messages and changes of connections.
    clock : callable
        Returns seconds of the monotonic clock.
    counts : RelayCounts
        Counts the messages and their bytes.

    Attributes
    ----------
    unresolved : UnresolvedCalls
        Calls on links that have ended, which may or may not have arrived.
    received : ReceivedCalls
        The last call of each other relay.
    """

    def __init__(
        self,
        *,
        hello: Hello,
        port: int,
        handler: PeerHandler,
        clock: Callable[[], float],
        counts: RelayCounts,
    ) -> None:
        self.hello = hello
        self.port = port
        self.handler = handler
        self.clock = clock
        self.counts = counts
        self.sessions: set[PeerSession] = set()
        self.sessions_by_instance: Counter[str] = Counter()
        self.links: dict[str, PeerLink] = {}
        self.link_tasks: dict[str, asyncio.Task[None]] = {}
        self.closed_events: dict[str, asyncio.Event] = {}
        self.retry_events: dict[str, asyncio.Event] = {}
        self.unresolved = UnresolvedCalls()
        self.received = ReceivedCalls()
        self.last_session_number = 0
        self.last_tick_at = clock()
        self.next_recipient = 0
        self.server: asyncio.Server | None = None

    async def open(self, host: str) -> None:
        """Listen for connections of other relays on an address of this host."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self._accept, host, self.port, backlog=1_024, reuse_address=True
        )

    def set_instances(self, instances: set[str]) -> None:
        """Keep links to exactly these instances.

        A link to an instance that is no longer listed stays open while calls are
        pending on it; a later call of this method closes it.
        """
        for instance in instances - self.link_tasks.keys():
            task = asyncio.get_running_loop().create_task(
                keep_running(f"link {instance}", partial(self._maintain_link, instance))
            )
            self.link_tasks[instance] = task
        for instance in self.link_tasks.keys() - instances:
            link = self.links.get(instance)
            if link is not None and link.exchanges:
                continue
            self.link_tasks.pop(instance).cancel()
            if link is not None:
                link.close()

    def availability(self, instance: str) -> Availability:
        """Return whether an instance can receive calls."""
        link = self.links.get(instance)
        if link is None:
            return Availability.DOWN
        if link.draining:
            return Availability.DRAINING
        silent = link.is_silent(self.clock())
        return Availability.SILENT if silent else Availability.UP

    def has_link(self, instance: str) -> bool:
        """Return whether there is a link to an instance that is not draining."""
        link = self.links.get(instance)
        return link is not None and not link.draining

    def count_session(self, instance: str, change: int) -> None:
        """Count the begin or the end of a session of an instance."""
        if instance:
            self.sessions_by_instance[instance] += change

    def record_call(self, session: PeerSession, exchange: int) -> None:
        """Record that a call has arrived on a session."""
        self.received.record(session.instance, session.started, exchange)

    def replace_sessions(self, session: PeerSession) -> int:
        """End the earlier sessions of the same relay; return its last call on them.

        If its first message has come late, the session itself is the earlier one.
        """
        sender = session.instance, session.started
        same = [s for s in self.sessions if (s.instance, s.started) == sender]
        latest = max(each.number for each in (session, *same))
        for each in same:
            if each.number < latest:
                each.replace()
        return self.received.greet(*sender)

    def resolve_calls(self, link: PeerLink, welcome: Welcome) -> None:
        """Decide on the calls of an earlier link to the same instance."""
        resolution = self.unresolved.resolve(
            link.instance, welcome.started, welcome.last_exchange
        )
        self._end_calls(link.instance, resolution)

    def is_connected(self, instance: str) -> bool:
        """Return whether an instance has a session here and answers this relay."""
        return self.sessions_by_instance[instance] > 0 and self.has_link(instance)

    def retry_now(self, instance: str) -> None:
        """Retry the link to an instance at once, because its relay is known to run."""
        retry = self.retry_events.get(instance)
        if retry is not None:
            retry.set()

    def send(self, instance: str, message: RelayMessage) -> bool:
        """Send a message to an instance; return whether there was a link to it."""
        link = self.links.get(instance)
        if link is None:
            return False
        link.send(message)
        return True

    def discard_exchange(self, instance: str, exchange: int) -> None:
        """Remove a call from the pending ones of a link."""
        link = self.links.get(instance)
        if link is not None:
            link.exchanges.discard(exchange)

    def broadcast(self, message: RelayMessage) -> None:
        """Send a message on all links."""
        for link in list(self.links.values()):
            link.send(message)

    def broadcast_in_turn(self, message: RelayMessage, recipients: int) -> None:
        """Send a message on a number of links, on the next ones each time."""
        links = list(self.links.values())
        count = min(recipients, len(links))
        for offset in range(count):
            links[(self.next_recipient + offset) % len(links)].send(message)
        if links:
            self.next_recipient = (self.next_recipient + count) % len(links)

    def broadcast_to_sessions(self, message: RelayMessage) -> None:
        """Send a message on all sessions."""
        for session in list(self.sessions):
            session.send(message)

    def mark_draining(self, instance: str) -> None:
        """Mark an instance as draining until a new link to it is made."""
        link = self.links.get(instance)
        if link is not None:
            link.draining = True

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that other relays have not taken yet."""
        return sum(session.unsent_bytes for session in self.sessions)

    def close(self) -> None:
        """Close all connections at once."""
        if self.server is not None:
            self.server.close()
        for task in self.link_tasks.values():
            task.cancel()
        self.link_tasks.clear()
        for link in list(self.links.values()):
            link.abort()
        for session in list(self.sessions):
            if session.transport is not None:
                session.transport.abort()

    def tick(self, now: float) -> None:
        """Check all links for a failed connection."""
        for instance, late in self.unresolved.late(now).items():
            self.unresolved.keep(instance, self.handler.retry_lost_calls(late))
        for instance, lost in self.unresolved.take_expired(now).items():
            self._end_calls(instance, Resolution(lost, []))
        paused = now - self.last_tick_at > PAUSE_THRESHOLD_S
        self.last_tick_at = now
        idle_interval = max(PING_AFTER_S, len(self.links) / MAX_IDLE_PINGS_PER_S)
        for link in list(self.links.values()):
            link.tick(now, paused=paused, idle_interval=idle_interval)

    def check(self, instance: str, now: float) -> None:
        """Ping an instance that another relay has found to be silent."""
        link = self.links.get(instance)
        if link is not None and now - link.last_received_at > PING_AFTER_S:
            link.reported_silent = True
            link.ping(now)

    def check_all(self, now: float) -> None:
        """Ping all links that were idle, as one has failed and others may have."""
        for link in list(self.links.values()):
            if now - link.last_received_at > PING_AFTER_S:
                link.ping(now)

    def link_closed(self, link: PeerLink) -> None:
        """Remove a link that has ended and report its pending calls."""
        if self.links.get(link.instance) is link:
            del self.links[link.instance]
        closed = self.closed_events.get(link.instance)
        if closed is not None:
            closed.set()
        exchanges = sorted(link.exchanges)
        link.exchanges.clear()
        self.handler.handle_link_loss(link.instance, exchanges)
        self._hold_calls(link, exchanges)

    def _hold_calls(self, link: PeerLink, exchanges: list[int]) -> None:
        """Ask the other relay on a new link which calls it has received, if it can."""
        instance = link.instance
        if link.peer_started is None or instance not in self.link_tasks:
            self._end_calls(instance, Resolution(exchanges, []))
            return
        self.unresolved.hold(self.clock(), instance, link.peer_started, exchanges)

    def _end_calls(self, instance: str, resolution: Resolution) -> None:
        if resolution.lost or resolution.unreceived:
            self.handler.handle_lost_calls(instance, resolution)

    def _accept(self) -> asyncio.Protocol:
        self.last_session_number += 1
        return PeerSession(links=self, number=self.last_session_number)

    async def _maintain_link(self, instance: str) -> None:
        loop = asyncio.get_running_loop()
        delay = INITIAL_BACKOFF_S
        while True:
            closed = asyncio.Event()
            self.closed_events[instance] = closed
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, link = await loop.create_connection(
                        lambda: PeerLink(links=self, instance=instance),
                        instance,
                        self.port,
                    )
            except (OSError, TimeoutError):
                lost = self.unresolved.give_up(instance)
                self._end_calls(instance, Resolution(lost, []))
                await self._wait_before_retry(instance, delay)
                delay = min(delay * 2, MAX_BACKOFF_S)
                continue
            delay = INITIAL_BACKOFF_S
            self.links[instance] = link
            self.handler.handle_new_link(instance)
            await closed.wait()
            if instance not in self.unresolved.by_instance:
                await self._wait_before_retry(instance, delay)

    async def _wait_before_retry(self, instance: str, seconds: float) -> None:
        retry = asyncio.Event()
        self.retry_events[instance] = retry
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await retry.wait()
        del self.retry_events[instance]

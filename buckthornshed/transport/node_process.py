"""Node process, which runs the components of a node and drains it on SIGTERM."""

import logging
import signal
import time
from collections.abc import Callable
from random import Random, SystemRandom

import anyio
from anyio.abc import TaskGroup

from ..coordination.knowledge.fleet_actions import Activate, Report
from ..coordination.knowledge.node_formats import ActiveSet, node_formats
from ..coordination.knowledge.view import View
from ..coordination.node import NodeCore
from ..coordination.outcomes.handover import OwnerQuery, OwnerReply
from ..protocol.authentication import Authenticator
from ..protocol.wire_context import ContextCodec
from .admin import AdminServer
from .data_path import DataPath
from .fleet import Fleet
from .fleet_events import FleetSettings
from .logs import log_event
from .metrics import Gauges, NodeMetrics
from .node_dump import NodeDump, dump_node
from .settings import DEFAULTS, NodeSettings, split_address

__all__ = ["NodeProcess"]

TICK_INTERVAL_S = 0.02
IDLE_TICK_INTERVAL_S = 0.1
EXPIRY_INTERVAL_S = 1.0
OWNER_QUERY_INTERVAL_S = 0.5
OWNER_QUERIES_PER_ROUND = 4
ROUNDS_PER_ANNOUNCEMENT = 10
"""Rounds of half a second between two ownership announcements by a settled owner."""
DRAIN_POLL_S = 0.05
CLOSE_TIMEOUT_S = 2.0
SEED_BITS = 256

NOTICE_LEVELS = {"in_force": logging.DEBUG}
"""Log levels of notices that are not warnings.

`in_force` is at debug level because `configuration_in_force` reports the same.
"""


class NodeProcess:
    """Components of one node and the tasks that run them.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the process.
    """

    def __init__(self, *, settings: NodeSettings) -> None:
        self.settings = settings
        self.clock = time.monotonic
        self.wall = time.time
        incarnation = time.time_ns()
        rng = Random(SystemRandom().getrandbits(SEED_BITS))
        keys = tuple(bytes.fromhex(key) for key in settings["keys"])
        self.core = NodeCore(
            name=settings["name"],
            domain=settings["failure_domain"],
            rng=rng,
            now=self.clock(),
            incarnation=incarnation,
            drain_s=settings.get("drain_s", DEFAULTS["drain_s"]),
        )
        self.metrics = NodeMetrics(
            name=settings["name"], gauges=self.gauges, otlp=settings.get("otlp")
        )
        self.data_path = DataPath(
            core=self.core,
            codec=ContextCodec(authenticator=Authenticator(keys=keys)),
            target_address=settings["target"],
            max_body_bytes=settings.get("body_bytes_max", DEFAULTS["body_bytes_max"]),
            metrics=self.metrics,
            clock=self.clock,
            wall=self.wall,
        )
        self.active_set = ActiveSet()
        self.rotation = 0
        self.refresh_requested_at: float | None = None
        self.fleet = Fleet(
            settings=make_fleet_settings(settings, keys, incarnation),
            formats=node_formats(),
            rng=rng,
            on_active=self._activate,
            on_report=self._report,
            on_owner=self._handle_owner_message,
            on_draining=lambda name: self.core.mark_draining(self.clock(), name),
        )
        self.admin = AdminServer(
            address=settings["admin"],
            dump=self.dump,
            ready=lambda: self.core.view is not None,
            metrics=self.metrics.render,
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and return."""
        await self.data_path.ingress.open(*split_address(self.settings["ingress"]))
        await self.data_path.egress.open(*split_address(self.settings["egress"]))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.admin.serve, anyio.Event())
            tasks.start_soon(self.fleet.run)
            tasks.start_soon(self._tick)
            tasks.start_soon(
                run_periodically, EXPIRY_INTERVAL_S, self.data_path.close_expired
            )
            tasks.start_soon(
                run_periodically, OWNER_QUERY_INTERVAL_S, self._query_owners
            )
            log_event("node_started", node=self.settings["name"])
            await self._drain_on_signal(tasks)
        self.metrics.close()
        log_event("node_stopped", node=self.settings["name"])

    def gauges(self) -> Gauges:
        """Return the current values of the gauges."""
        ingress = self.core.ingress
        view = self.core.view
        return Gauges(
            in_flight=ingress.running,
            queue_length=len(ingress.queue),
            threshold=ingress.threshold,
            generation=0 if view is None else view.generation,
            drain_phase=self.core.drain.phase.value,
            control_bytes=sum(self.fleet.budget.sent_bytes.values()),
        )

    def dump(self) -> NodeDump:
        """Return the state of the process for operators."""
        return dump_node(self.core, self.data_path, self.fleet, self.clock())

    async def _drain_on_signal(self, tasks: TaskGroup) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for number in signals:
                log_event("drain_started", signal=signal.Signals(number).name)
                break
        await self._drain()
        tasks.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Announce the drain, finish the calls in flight, then close connections."""
        callers = self.core.stop(self.clock())
        self.fleet.announce_drain(callers)
        while not self._is_drained():
            await anyio.sleep(DRAIN_POLL_S)
        self.data_path.stop_accepting()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            while self.data_path.open_connections:
                await anyio.sleep(DRAIN_POLL_S)

    def _is_drained(self) -> bool:
        drain = self.core.drain
        if not drain.may_exit:
            return False
        elapsed = self.clock() - (drain.stop_requested_at or 0.0)
        return not self.data_path.pending_responses or elapsed >= drain.deadline_s

    async def _tick(self) -> None:
        while True:
            await anyio.sleep(
                TICK_INTERVAL_S if self.core.busy else IDLE_TICK_INTERVAL_S
            )
            self.data_path.tick()
            self._refresh()

    def _refresh(self) -> None:
        """After a pause, confirm the view before the decision logic uses it again."""
        if self.core.pause.fresh:
            return
        if self.refresh_requested_at is None:
            self.refresh_requested_at = self.clock()
            self.fleet.refresh()
        elif self.fleet.fresh:
            self.core.refreshed(self.refresh_requested_at)
            self.refresh_requested_at = None

    def _query_owners(self) -> None:
        """Query a few other owners in each round until this node is a settled owner."""
        query = self.core.owner.query()
        peers = self.core.owner.peers()
        if query is None:
            self._announce_ownership(peers)
            return
        for _ in range(min(OWNER_QUERIES_PER_ROUND, len(peers))):
            self.rotation += 1
            self.fleet.send_owner_message(peers[self.rotation % len(peers)], query)

    def _announce_ownership(self, peers: list[str]) -> None:
        """Periodically announce to one of the other owners that this node is one."""
        self.rotation += 1
        if peers and self.rotation % ROUNDS_PER_ANNOUNCEMENT == 0:
            announcement_round = self.rotation // ROUNDS_PER_ANNOUNCEMENT
            self._send_announcement(peers[announcement_round % len(peers)])

    def _send_announcement(self, peer: str) -> None:
        announcement = self.core.owner.announcement()
        if announcement is not None:
            self.fleet.send_owner_message(peer, announcement)

    def _handle_owner_message(
        self, sender: str, message: OwnerQuery | OwnerReply
    ) -> None:
        if isinstance(message, OwnerQuery):
            reply = self.core.owner.answer_query(message)
            if reply is not None:
                self.fleet.send_owner_message(sender, reply)
            return
        if not self.core.owner.receive_reply(self.wall(), message):
            return
        log_event("owner_settled", node=self.settings["name"])
        for peer in self.core.owner.peers():
            self._send_announcement(peer)

    def _activate(self, action: Activate) -> None:
        active = self.active_set.decode(action)
        view = View(
            name=self.settings["name"],
            generation=active.generation,
            objects=active.objects,
        )
        self.core.configure(self.clock(), self.wall(), view)
        log_event(
            "configuration_in_force",
            generation=active.generation,
            changed=len(action.changed),
        )

    def _report(self, report: Report) -> None:
        log_event(
            report.notice,
            level=NOTICE_LEVELS.get(report.notice, logging.WARNING),
            generation=report.version.generation,
            detail=report.detail,
        )


async def run_periodically(interval: float, action: Callable[[], None]) -> None:
    """Call an action every `interval` seconds until cancelled."""
    while True:
        await anyio.sleep(interval)
        action()


def make_fleet_settings(
    settings: NodeSettings, keys: tuple[bytes, ...], incarnation: int
) -> FleetSettings:
    """Return the settings that `Fleet` needs."""
    return FleetSettings(
        name=settings["name"],
        domain=settings["failure_domain"],
        address=settings["control"],
        seeds=tuple(settings.get("peers", ())),
        platform=settings["platform"],
        keys=keys,
        incarnation=incarnation,
    )

"""One incarnation of a simulated node."""

import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING

from ...coordination.actions import Action
from ...coordination.node import NodeCore
from ...protocol.messages import Answer
from .deployment import deployment

if TYPE_CHECKING:
    from .driver import World

CLOCK_BOUND_S = 1.0
WALL_EPOCH_S = 1.7e9
DRAIN_S = 10.0


class NodeIncarnation:
    """One incarnation of a node, with its own monotonic and wall clocks."""

    def __init__(self, world: "World", name: str) -> None:
        target = deployment()["target"][name]
        rng = world.rng
        self.world = world
        self.name = name
        self.domain = target["failure_domain"]
        self.service = target["service"]
        self.monotonic_offset = rng.uniform(100.0, 10_000.0)
        half = CLOCK_BOUND_S / 2
        self.wall_offset = world.wall_offsets.setdefault(name, rng.uniform(-half, half))
        self.core = NodeCore(
            name=name,
            domain=self.domain,
            rng=rng,
            now=self.now,
            incarnation=int(self.wall * 1e9),
            drain_s=DRAIN_S,
        )
        self.alive = True
        self.frozen = False
        self.queued_events: list[Callable[[], list[Action]]] = []
        self.tokens = itertools.count(1)
        self.reply_handlers: dict[int, Callable[[Answer], None]] = {}
        self.disconnect_handlers: dict[int, Callable[[], None]] = {}
        self.outgoing: dict[int, NodeIncarnation] = {}
        self.peer_tokens: dict[int, int] = {}
        self.owners_queried_at = 0.0

    @property
    def now(self) -> float:
        return self.world.now + self.monotonic_offset

    @property
    def wall(self) -> float:
        return WALL_EPOCH_S + self.world.now + self.wall_offset

    def handle(self, event: Callable[[], list[Action]]) -> None:
        """Handle an event now, on resume if frozen, or not at all if stopped."""
        if not self.alive:
            return
        if self.frozen:
            self.queued_events.append(event)
            return
        for action in event():
            self.world.execute(self, action)

    def register_request(
        self, on_reply: Callable[[Answer], None], on_disconnect=None
    ) -> int:
        token = next(self.tokens)
        self.reply_handlers[token] = on_reply
        if on_disconnect is not None:
            self.disconnect_handlers[token] = on_disconnect
        return token

    def discard_request(self, token: int) -> None:
        self.reply_handlers.pop(token, None)
        self.disconnect_handlers.pop(token, None)

    def resume(self) -> None:
        self.frozen = False
        events, self.queued_events = self.queued_events, []
        for event in events:
            self.handle(event)

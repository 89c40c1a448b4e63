"""Which nodes of a neighbourhood are live, suspect, leaving or gone.

A node follows only those that it talks to or calls, so the cost grows with its
neighbourhood and not with the fleet. Evidence comes from its own messages and calls
and from other nodes; the platform's list, which lags, corrects it.
"""

from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

from ...protocol.peer_messages import MAX_NODE_STATES, NodeState, PeerState
from .fleet_actions import Rng

__all__ = ["Evidence", "Membership"]

RETRY_S = (5.0, 15.0)
"""When a suspect node is tried again; the spread keeps healing from being a storm."""

GONE_AFTER_S = 60.0
"""How long a node stays suspect without any sign of life."""

NEWS_S = 30.0
"""How long a change of state is passed on."""

NEWS_TIMES = 6
"""How often a change of state is passed on."""

MAX_NODES = 10_000
"""Nodes that are followed; the least recent ones are forgotten."""


class Evidence(Enum):
    """Signs that a node is in one state or another."""

    HEARD = auto()
    FAILED = auto()
    DRAINING = auto()
    SILENT = auto()
    LISTED_LIVE = auto()
    LISTED_LEAVING = auto()


S = PeerState
TRANSITIONS: dict[tuple[PeerState, Evidence], PeerState] = {
    (S.LIVE, Evidence.FAILED): S.SUSPECT,
    (S.LIVE, Evidence.DRAINING): S.LEAVING,
    (S.LIVE, Evidence.LISTED_LEAVING): S.LEAVING,
    (S.SUSPECT, Evidence.HEARD): S.LIVE,
    (S.SUSPECT, Evidence.DRAINING): S.LEAVING,
    (S.SUSPECT, Evidence.LISTED_LEAVING): S.LEAVING,
    (S.SUSPECT, Evidence.SILENT): S.GONE,
    (S.LEAVING, Evidence.FAILED): S.GONE,
    (S.LEAVING, Evidence.SILENT): S.GONE,
    (S.GONE, Evidence.HEARD): S.LIVE,
    (S.GONE, Evidence.LISTED_LIVE): S.SUSPECT,
}
"""Next state of one incarnation; what is not listed changes nothing.

An incarnation that leaves never returns to live. One that is gone does when it is
heard itself: it was paused or cut off.
"""


class Member(NamedTuple):
    """What is known of one node.

    Parameters
    ----------
    incarnation : int
        Start of the node, 0 while unknown.
    state : PeerState
        State of that incarnation.
    since : float
        When the state began.
    retry_at : float
        When a suspect node is next tried.
    told : int
        How often the state was passed on.
    """

    incarnation: int = 0
    state: PeerState = PeerState.LIVE
    since: float = 0.0
    retry_at: float = 0.0
    told: int = NEWS_TIMES


class Membership:
    """Follow the states of the nodes of a neighbourhood.

    Parameters
    ----------
    name : str
        This node, of which others may have a wrong picture.
    incarnation : int
        Start of this node.
    rng : Rng
        Source of jitter.
    """

    def __init__(self, *, name: str, incarnation: int, rng: Rng) -> None:
        self.name = name
        self.incarnation = incarnation
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.leaving = False
        self.refute = 0

    def state(self, name: str) -> PeerState:
        """Return the state of a node; one that is not followed counts as live."""
        member = self.members.get(name)
        return member.state if member else PeerState.LIVE

    def reachable(self, now: float, name: str) -> bool:
        """Return whether to send to a node: it is live, or due to be tried again."""
        member = self.members.get(name)
        if member is None or member.state in (PeerState.LIVE, PeerState.LEAVING):
            return True
        return member.state is PeerState.SUSPECT and now >= member.retry_at

    def observe(
        self, now: float, name: str, evidence: Evidence, incarnation: int = 0
    ) -> bool:
        """Take own evidence of a node.

        Parameters
        ----------
        incarnation : int
            The incarnation it is about, 0 if not known. A later one replaces what is
            known; an earlier one is ignored.

        Returns
        -------
        bool
            Whether the state changed.
        """
        if name == self.name:
            return False
        member = self.members.get(name, Member())
        if 0 < incarnation < member.incarnation:
            return False
        if incarnation > member.incarnation:
            newer = member.incarnation > 0
            fresh = Member(incarnation=incarnation, since=now)
            member = fresh if newer else member._replace(incarnation=incarnation)
            self.keep(name, member)
        state = TRANSITIONS.get((member.state, evidence))
        if evidence is Evidence.FAILED and member.state is PeerState.SUSPECT:
            retry_at = now + self.rng.uniform(*RETRY_S)
            self.keep(name, member._replace(retry_at=retry_at))
        if state is None:
            return False
        self.enter(now, name, member, state)
        return True

    def enter(self, now: float, name: str, member: Member, state: PeerState) -> None:
        """Begin a state."""
        retry_at = now + self.rng.uniform(*RETRY_S)
        changed = member._replace(state=state, since=now, retry_at=retry_at, told=0)
        self.keep(name, changed)

    def keep(self, name: str, member: Member) -> None:
        """Store what is known of a node within the bound."""
        self.members[name] = member
        if len(self.members) > MAX_NODES:
            del self.members[next(iter(self.members))]

    def tick(self, now: float) -> None:
        """Give up nodes that stayed without a sign of life."""
        for name, member in list(self.members.items()):
            waiting = member.state in (PeerState.SUSPECT, PeerState.LEAVING)
            if waiting and now - member.since >= GONE_AFTER_S:
                self.observe(now, name, Evidence.SILENT)

    def woken(self, now: float) -> None:
        """Forget suspicions after a pause: the silence was this node's own."""
        for name, member in self.members.items():
            if member.state is PeerState.SUSPECT:
                fresh = member._replace(state=PeerState.LIVE, since=now)
                self.members[name] = fresh

    def listed(self, now: float, entries: Iterable[NodeState]) -> None:
        """Correct the picture by the platform's list, which lags.

        The list moves a node to leaving, and one that is gone to suspect, so that it is
        tried again. A node that is not on it stays as it is: it may be new.
        """
        for entry in entries:
            evidence = LISTED.get(entry.state)
            known = entry.name in self.members
            if evidence and (known or entry.state is not PeerState.LIVE):
                self.observe(now, entry.name, evidence, entry.incarnation)

    def news(self, now: float) -> tuple[NodeState, ...]:
        """Return recent changes of state to pass on, those told least first."""
        recent = [
            (member.told, name)
            for name, member in self.members.items()
            if member.told < NEWS_TIMES and now - member.since < NEWS_S
        ]
        chosen = [name for _, name in sorted(recent)[: MAX_NODE_STATES - 1]]
        states = [self.tell(name) for name in chosen]
        if self.leaving or self.refute:
            state = PeerState.LEAVING if self.leaving else PeerState.LIVE
            states.append(NodeState(self.name, self.incarnation, state))
            self.refute = max(0, self.refute - 1)
        return tuple(states)

    def tell(self, name: str) -> NodeState:
        """Return the state of a node and count that it was passed on."""
        member = self.members[name]
        self.members[name] = member._replace(told=member.told + 1)
        return NodeState(name, member.incarnation, member.state)

    def heard_of(self, now: float, states: Iterable[NodeState]) -> list[str]:
        """Take what another node says of others.

        Hearsay makes a node leave or suspect, never live or gone: only the node itself
        shows that it is live, and only own silence that it is gone.

        Returns
        -------
        list of str
            Nodes whose state changed.
        """
        changed = []
        for entry in states:
            if entry.name == self.name:
                wrong = entry.state is not PeerState.LIVE and not self.leaving
                if wrong and entry.incarnation in (0, self.incarnation):
                    self.refute = NEWS_TIMES
                continue
            evidence = HEARSAY.get(entry.state)
            known = entry.name in self.members
            if evidence is None or not known:
                continue
            if self.observe(now, entry.name, evidence, entry.incarnation):
                changed.append(entry.name)
        return changed


HEARSAY: dict[PeerState, Evidence] = {PeerState.LEAVING: Evidence.DRAINING}
"""What is believed of others' reports. A suspicion may be due to their own links."""

LISTED: dict[PeerState, Evidence] = {
    PeerState.LIVE: Evidence.LISTED_LIVE,
    PeerState.LEAVING: Evidence.LISTED_LEAVING,
}

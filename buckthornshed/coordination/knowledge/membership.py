"""Membership and failure detection: live, suspect, leaving and gone nodes.

A node tracks only the nodes that it exchanges messages with or calls, so the cost grows
with its neighbourhood and not with the fleet. Evidence comes from its own messages and
calls and from gossip; the platform's instance list, which lags, corrects the result.
"""

from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

from ...protocol.peer_messages import MAX_NODE_STATES, NodeState, PeerState
from .fleet_actions import Rng

__all__ = ["Evidence", "Membership"]

RETRY_INTERVAL_S = (5.0, 15.0)
"""Range of the delay before a suspect node is contacted again.

The spread prevents a retry storm when a partition heals.
"""

SUSPICION_TIMEOUT_S = 60.0
"""Time after which a suspect or leaving node counts as gone."""

GOSSIP_PERIOD_S = 30.0
"""Time during which a state change is gossiped."""

MAX_TRANSMISSIONS = 6
"""Maximum number of times that a state change is gossiped."""

MAX_NODES = 10_000
"""Maximum number of tracked nodes; the nodes that were added first are evicted."""


class Evidence(Enum):
    """Evidence of the state of a node."""

    MESSAGE_RECEIVED = auto()
    CONTACT_FAILED = auto()
    DRAINING = auto()
    TIMED_OUT = auto()
    LISTED_LIVE = auto()
    LISTED_LEAVING = auto()


S = PeerState
TRANSITIONS: dict[tuple[PeerState, Evidence], PeerState] = {
    (S.LIVE, Evidence.CONTACT_FAILED): S.SUSPECT,
    (S.LIVE, Evidence.DRAINING): S.LEAVING,
    (S.LIVE, Evidence.LISTED_LEAVING): S.LEAVING,
    (S.SUSPECT, Evidence.MESSAGE_RECEIVED): S.LIVE,
    (S.SUSPECT, Evidence.DRAINING): S.LEAVING,
    (S.SUSPECT, Evidence.LISTED_LEAVING): S.LEAVING,
    (S.SUSPECT, Evidence.TIMED_OUT): S.GONE,
    (S.LEAVING, Evidence.CONTACT_FAILED): S.GONE,
    (S.LEAVING, Evidence.TIMED_OUT): S.GONE,
    (S.GONE, Evidence.MESSAGE_RECEIVED): S.LIVE,
    (S.GONE, Evidence.LISTED_LIVE): S.SUSPECT,
}
"""State transitions of one incarnation; other evidence does not change the state.

A leaving incarnation becomes gone, not live. A gone one becomes live when a message
from it arrives: it was paused or partitioned.
"""


class Member(NamedTuple):
    """State of one tracked node.

    Parameters
    ----------
    incarnation : int
        Number of the incarnation, 0 while unknown.
    state : PeerState
        State of this incarnation.
    since : float
        Time at which the state began.
    retry_at : float
        Time at which a suspect node is contacted again.
    transmissions : int
        Number of times that the state was gossiped.
    """

    incarnation: int = 0
    state: PeerState = PeerState.LIVE
    since: float = 0.0
    retry_at: float = 0.0
    transmissions: int = MAX_TRANSMISSIONS


class Membership:
    """Track the states of the nodes in the neighbourhood.

    Parameters
    ----------
    name : str
        Name of this node, which refutes wrong reports about itself.
    incarnation : int
        Incarnation of this node.
    rng : Rng
        Source of jitter.
    """

    def __init__(self, *, name: str, incarnation: int, rng: Rng) -> None:
        self.name = name
        self.incarnation = incarnation
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.draining = False
        self.refutations_left = 0

    def state(self, name: str) -> PeerState:
        """Return the state of a node; an untracked node counts as live."""
        member = self.members.get(name)
        return member.state if member else PeerState.LIVE

    def should_contact(self, now: float, name: str) -> bool:
        """Return whether to send to a node.

        This holds for live and leaving nodes, and for suspect nodes whose retry is due.
        """
        member = self.members.get(name)
        if member is None or member.state in (PeerState.LIVE, PeerState.LEAVING):
            return True
        return member.state is PeerState.SUSPECT and now >= member.retry_at

    def observe(
        self, now: float, name: str, evidence: Evidence, incarnation: int = 0
    ) -> bool:
        """Update the state of a node from evidence.

        Parameters
        ----------
        incarnation : int
            Incarnation that the evidence concerns, 0 if unknown. A later incarnation
            replaces the tracked one; evidence of an earlier one is ignored.

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
            has_incarnation = member.incarnation > 0
            fresh = Member(incarnation=incarnation, since=now)
            member = (
                fresh if has_incarnation else member._replace(incarnation=incarnation)
            )
            self.store(name, member)
        state = TRANSITIONS.get((member.state, evidence))
        if evidence is Evidence.CONTACT_FAILED and member.state is PeerState.SUSPECT:
            retry_at = now + self.rng.uniform(*RETRY_INTERVAL_S)
            self.store(name, member._replace(retry_at=retry_at))
        if state is None:
            return False
        self.change_state(now, name, member, state)
        return True

    def change_state(
        self, now: float, name: str, member: Member, state: PeerState
    ) -> None:
        """Change the state of a node and gossip the change."""
        retry_at = now + self.rng.uniform(*RETRY_INTERVAL_S)
        changed = member._replace(
            state=state, since=now, retry_at=retry_at, transmissions=0
        )
        self.store(name, changed)

    def store(self, name: str, member: Member) -> None:
        """Store the entry of a node and, beyond the limit, evict the oldest entry."""
        self.members[name] = member
        if len(self.members) > MAX_NODES:
            del self.members[next(iter(self.members))]

    def tick(self, now: float) -> None:
        """Mark suspect and leaving nodes as gone after the timeout."""
        for name, member in list(self.members.items()):
            waiting = member.state in (PeerState.SUSPECT, PeerState.LEAVING)
            if waiting and now - member.since >= SUSPICION_TIMEOUT_S:
                self.observe(now, name, Evidence.TIMED_OUT)

    def clear_suspicions(self, now: float) -> None:
        """Clear all suspicions after a pause of this process, which caused them."""
        for name, member in self.members.items():
            if member.state is PeerState.SUSPECT:
                fresh = member._replace(state=PeerState.LIVE, since=now)
                self.members[name] = fresh

    def apply_instance_list(self, now: float, entries: Iterable[NodeState]) -> None:
        """Apply the platform's instance list, which lags.

        The list moves a node to leaving, and a gone node that it lists as live to
        suspect, so that the node is contacted again. A node that is not on the list
        keeps its state, because it may be new.
        """
        for entry in entries:
            evidence = INSTANCE_LIST_EVIDENCE.get(entry.state)
            is_tracked = entry.name in self.members
            if evidence and (is_tracked or entry.state is not PeerState.LIVE):
                self.observe(now, entry.name, evidence, entry.incarnation)

    def pending_updates(self, now: float) -> tuple[NodeState, ...]:
        """Return recent state changes to gossip, the least transmitted first."""
        recent = [
            (member.transmissions, name)
            for name, member in self.members.items()
            if member.transmissions < MAX_TRANSMISSIONS
            and now - member.since < GOSSIP_PERIOD_S
        ]
        chosen = [name for _, name in sorted(recent)[: MAX_NODE_STATES - 1]]
        states = [self.take_update(name) for name in chosen]
        if self.draining or self.refutations_left:
            state = PeerState.LEAVING if self.draining else PeerState.LIVE
            states.append(NodeState(self.name, self.incarnation, state))
            self.refutations_left = max(0, self.refutations_left - 1)
        return tuple(states)

    def take_update(self, name: str) -> NodeState:
        """Return the state of a node and count one transmission of it."""
        member = self.members[name]
        self.members[name] = member._replace(transmissions=member.transmissions + 1)
        return NodeState(name, member.incarnation, member.state)

    def apply_gossip(self, now: float, states: Iterable[NodeState]) -> list[str]:
        """Apply state changes that another node gossips.

        Gossip can only move a tracked node to leaving. Only a message from the node
        itself shows that it is live, and only this node's own evidence that it is gone.
        A wrong report about this node is refuted.

        Returns
        -------
        list of str
            Names of the nodes whose state changed.
        """
        changed = []
        for entry in states:
            if entry.name == self.name:
                is_wrong = entry.state is not PeerState.LIVE and not self.draining
                if is_wrong and entry.incarnation in (0, self.incarnation):
                    self.refutations_left = MAX_TRANSMISSIONS
                continue
            evidence = GOSSIP_EVIDENCE.get(entry.state)
            is_tracked = entry.name in self.members
            if evidence is None or not is_tracked:
                continue
            if self.observe(now, entry.name, evidence, entry.incarnation):
                changed.append(entry.name)
        return changed


GOSSIP_EVIDENCE: dict[PeerState, Evidence] = {PeerState.LEAVING: Evidence.DRAINING}
"""Evidence taken from gossip.

Suspicions of other nodes are ignored, because their own links may be the cause.
"""

INSTANCE_LIST_EVIDENCE: dict[PeerState, Evidence] = {
    PeerState.LIVE: Evidence.LISTED_LIVE,
    PeerState.LEAVING: Evidence.LISTED_LEAVING,
}

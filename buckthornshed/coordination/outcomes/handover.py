"""Handover of key ownership across restarts and changes of the owner set.

The owner set changes when the operator adds a target or marks one as retired. A node
with an older view may still act as the owner of keys that a newer view assigns to
another node. The new owner therefore waits until every owner holds its owner set.
There is no coordinator: each node queries the other owners itself.
See docs/design/idempotency.md for the argument.
"""

from typing import NamedTuple

from ...protocol.outcome import Outcome, Reason
from ...protocol.peer_messages import OwnerQuery, OwnerReply
from ..knowledge.ownership import OwnerSet
from .idempotency import Refused, barrier_after
from .keys import ParsedKey

__all__ = [
    "MAX_PAST_OWNER_SETS",
    "KeyOwnership",
    "OwnerQuery",
    "OwnerReply",
    "PastOwnerSet",
]

MAX_PAST_OWNER_SETS = 32
ANNOUNCEMENT_ROUND = 0

NOT_SETTLED = Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)
NOT_OWNER = Refused(Reason.STALE_VIEW, Outcome.UNKNOWN)
BEFORE_BARRIER = Refused(Reason.KEY_UNPROVEN, Outcome.UNKNOWN)


class PastOwnerSet(NamedTuple):
    """A replaced owner set and the newest timestamp of a key begun under it.

    Parameters
    ----------
    owners : OwnerSet
        The owner set that was in force.
    barrier : float
        Newest timestamp of a key that this set may have begun, wall clock seconds.
    """

    owners: OwnerSet
    barrier: float


class KeyOwnership:
    """Decides whether this incarnation of a node may begin keys as their owner.

    Parameters
    ----------
    own_id : str
        Identity of the target that this node serves, see ``ownership.owner_id``.
    incarnation : int
        Start time of the node, wall clock nanoseconds.
    clock_bound : float
        Maximum offset in seconds between the clocks of any two nodes.
    """

    def __init__(self, *, own_id: str, incarnation: int, clock_bound: float) -> None:
        self.own_id = own_id
        self.incarnation = incarnation
        self.clock_bound = clock_bound
        self.owners = OwnerSet(owners=())
        self.generation = 0
        self.set_generation = 0
        self.settled = False
        self.members: set[str] = set()
        self.past_sets: list[PastOwnerSet] = []
        self.barrier = float("-inf")
        self.wall = float("-inf")
        self.round = ANNOUNCEMENT_ROUND
        self.first_round: dict[str, int] = {}
        self.second_round: dict[str, int] | None = None

    @property
    def peers(self) -> tuple[str, ...]:
        """The other owners in the current owner set."""
        return tuple(owner for owner in self.owners.owners if owner != self.own_id)

    def update(self, wall: float, generation: int, owners: OwnerSet) -> None:
        """Apply the owner set of a configuration; ignore an older generation."""
        self.wall = max(self.wall, wall)
        if generation < self.generation:
            return
        self.generation = generation
        if owners.digest == self.owners.digest:
            return
        if self.settled:
            self._record_past_set()
        self.owners = owners
        self.set_generation = generation
        self.members.intersection_update(owners.owners)
        self.settled = self.settled and self.own_id in owners.owners
        self._restart_rounds()
        self._settle_if_confirmed()

    def raise_clock_bound(self, clock_bound: float) -> None:
        """Apply a greater clock bound; a smaller one takes effect after a restart."""
        extra = 2 * max(0.0, clock_bound - self.clock_bound)
        self.clock_bound = max(self.clock_bound, clock_bound)
        self.barrier += extra
        self.past_sets = [
            PastOwnerSet(each.owners, each.barrier + extra) for each in self.past_sets
        ]

    def query(self) -> OwnerQuery | None:
        """Return the query for ``peers``; None if settled or not an owner.

        The caller repeats the query until the node has settled.
        """
        if self.settled or self.own_id not in self.owners.owners:
            return None
        return OwnerQuery(self.own_id, self.round)

    def answer_query(self, query: OwnerQuery) -> OwnerReply:
        """Return the reply to the query of another owner."""
        return self._make_reply(query.round)

    def announcement(self) -> OwnerReply:
        """Return the message that a node sends to ``peers`` once it has settled."""
        return self._make_reply(ANNOUNCEMENT_ROUND)

    def receive_reply(self, wall: float, reply: OwnerReply) -> bool:
        """Process a reply or an announcement; return whether it settled this node."""
        self.wall = max(self.wall, wall)
        if reply.owner not in self.peers:
            return False
        if reply.settled:
            self.members.add(reply.owner)
        if self.settled or reply.round != self.round:
            return False
        if self._is_behind(reply):
            return False
        if reply.settled and self.own_id in reply.members:
            self._settle(reply.members)
            return True
        if not self._confirms_set(reply):
            return False
        self.members.update(reply.members)
        self._record_reply(reply)
        return self._settle_if_confirmed()

    def check(self, key: ParsedKey) -> Refused | None:
        """Return the refusal of a key that this node must not begin, or None."""
        if not self.settled:
            return NOT_SETTLED
        if self.owners.owner_of(key.raw) != self.own_id:
            return NOT_OWNER
        if key.timestamp <= self.barrier:
            return BEFORE_BARRIER
        for past_set in self.past_sets:
            before_barrier = key.timestamp <= past_set.barrier
            if before_barrier and past_set.owners.owner_of(key.raw) != self.own_id:
                return BEFORE_BARRIER
        return None

    def _make_reply(self, round_number: int) -> OwnerReply:
        return OwnerReply(
            round=round_number,
            owner=self.own_id,
            incarnation=self.incarnation,
            generation=self.generation,
            digest=self.owners.digest,
            settled=self.settled,
            members=tuple(sorted(self.members)),
        )

    def _is_behind(self, reply: OwnerReply) -> bool:
        """Return whether the other owner holds a newer set than this node."""
        return reply.generation > self.generation and not self._has_same_set(reply)

    def _confirms_set(self, reply: OwnerReply) -> bool:
        return self._has_same_set(reply) or reply.generation >= self.set_generation

    def _has_same_set(self, reply: OwnerReply) -> bool:
        return reply.digest == self.owners.digest

    def _restart_rounds(self) -> None:
        self.round += 1
        self.first_round = {}
        self.second_round = None

    def _record_reply(self, reply: OwnerReply) -> None:
        """Record a reply in the first round or, once that is complete, in the second.

        The second round starts only after every peer has answered the first, and
        the same incarnations have to answer both. At one moment between the rounds,
        all peers therefore held the set at the same time. A reply of another
        incarnation restarts both rounds.
        """
        known_incarnation = self.first_round.get(reply.owner, reply.incarnation)
        if known_incarnation != reply.incarnation:
            self._restart_rounds()
            return
        replies = self.first_round if self.second_round is None else self.second_round
        replies[reply.owner] = reply.incarnation
        if self.second_round is None and len(self.first_round) == len(self.peers):
            self.round += 1
            self.second_round = {}

    def _settle_if_confirmed(self) -> bool:
        if self.settled or self.own_id not in self.owners.owners:
            return False
        second = self.second_round if self.peers else {}
        if second is None or len(second) != len(self.peers):
            return False
        self._settle(self.members or self.owners.owners)
        return True

    def _settle(self, members: tuple[str, ...] | set[str]) -> None:
        self.members = {self.own_id, *members}.intersection(self.owners.owners)
        self.barrier = max(self.barrier, barrier_after(self.wall, self.clock_bound))
        self.settled = True

    def _record_past_set(self) -> None:
        barrier = barrier_after(self.wall, self.clock_bound)
        self.past_sets.append(PastOwnerSet(self.owners, barrier))
        if len(self.past_sets) > MAX_PAST_OWNER_SETS:
            self.barrier = max(self.barrier, self.past_sets.pop(0).barrier)

"""The key owner of a node: its key table and its ownership of keys."""

from ...state.objects import Target
from ..knowledge.ownership import owner_id
from ..knowledge.view import View
from .handover import KeyOwnership, OwnerQuery, OwnerReply
from .idempotency import KeyTable

__all__ = ["KeyOwner"]

NANOSECONDS = 1e9


class KeyOwner:
    """Holds one key table for the lifetime of a node, across configurations.

    Parameters
    ----------
    name : str
        Name of the target that the node serves.
    incarnation : int
        Start time of the node, wall clock nanoseconds.
    """

    def __init__(self, *, name: str, incarnation: int) -> None:
        self.name = name
        self.incarnation = incarnation
        self.ownership: KeyOwnership | None = None
        self.keys: KeyTable | None = None

    def configure(self, wall: float, view: View) -> None:
        """Apply the key policies and the owner set of the node's own service."""
        if view.own_target is None:
            return
        service = view.own_target["service"]
        policies = view.non_repeatable_policies(service)
        if not policies:
            return
        clock_bound = max(policy["clock_bound_ms"] for policy in policies) / 1e3
        lifetime = float(max(policy["lifetime_s"] for policy in policies))
        entries = max(policy["entries"] for policy in policies)
        ownership, keys = self._get_or_create_parts(
            view.own_target, entries, lifetime, clock_bound
        )
        keys.configure(
            wall, entries=entries, lifetime=lifetime, clock_bound=clock_bound
        )
        ownership.raise_clock_bound(clock_bound)
        ownership.update(wall, view.generation, view.owners_of(service))

    @property
    def settled(self) -> bool:
        """Whether this node acts as an owner of keys that clients supply."""
        return self.ownership is not None and self.ownership.settled

    def query(self) -> OwnerQuery | None:
        """Return the query for the other owners, or None if none is needed."""
        return None if self.ownership is None else self.ownership.query()

    def answer_query(self, query: OwnerQuery) -> OwnerReply | None:
        """Return the reply to the query of another owner."""
        return None if self.ownership is None else self.ownership.answer_query(query)

    def receive_reply(self, wall: float, reply: OwnerReply) -> bool:
        """Process a reply or an announcement; return whether it settled this node."""
        return self.ownership is not None and self.ownership.receive_reply(wall, reply)

    def announcement(self) -> OwnerReply | None:
        """Return the message for the other owners once this node has settled."""
        return None if self.ownership is None else self.ownership.announcement()

    def peers(self) -> list[str]:
        """Return the names of the other owners."""
        peers = () if self.ownership is None else self.ownership.peers
        return [peer.partition("@")[0] for peer in peers]

    def advance_clock(self, wall: float) -> None:
        """Advance the wall clock of the key table; it never goes back."""
        if self.keys is not None:
            self.keys.wall = max(self.keys.wall, wall)

    def resume_after_pause(self, wall: float) -> None:
        """Refuse new keys that may have begun elsewhere during a pause."""
        if self.keys is not None:
            self.keys.resume_after_pause(wall)

    def _get_or_create_parts(
        self, own: Target, entries: int, lifetime: float, clock_bound: float
    ) -> tuple[KeyOwnership, KeyTable]:
        if self.ownership is None or self.keys is None:
            self.ownership = KeyOwnership(
                own_id=owner_id(self.name, own["address"]),
                incarnation=self.incarnation,
                clock_bound=clock_bound,
            )
            self.keys = KeyTable(
                entries=entries,
                lifetime=lifetime,
                clock_bound=clock_bound,
                started_wall=self.incarnation / NANOSECONDS,
                ownership=self.ownership,
            )
        return self.ownership, self.keys

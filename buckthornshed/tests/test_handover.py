"""Tests of when a target acts as owner; see also the machine of at most once."""

import random

from buckthornshed.coordination.knowledge.ownership import OwnerSet
from buckthornshed.coordination.outcomes.handover import MOVES, OwnershipGate
from buckthornshed.coordination.outcomes.keys import parse_key, random_key
from buckthornshed.protocol.outcome import Reason

BOUND = 1.0
PAIR = OwnerSet(owners=("a", "b"))
THREE = OwnerSet(owners=("a", "b", "c"))


def make_gate(name, owners, generation=1, incarnation=1):
    gate = OwnershipGate(own=name, incarnation=incarnation, clock_bound=BOUND)
    gate.update(10.0, generation, owners)
    return gate


def settle(*gates):
    for _ in range(2):
        for gate in gates:
            for other in gates:
                query = gate.query()
                if query is not None:
                    gate.heard(10.0, other.asked(query))


def key_of(owner, owners, minted):
    rng = random.Random(1)
    while True:
        key = parse_key(random_key(wall=minted, rng=rng))
        if owners.owner_of(key.raw) == owner:
            return key


def test_sole_owner_settles_at_once_and_begins_keys_after_the_barrier():
    owners = OwnerSet(owners=("a",))
    gate = make_gate("a", owners)
    assert gate.settled and gate.query() is None
    refused = gate.check(key_of("a", owners, 12.0))
    assert refused is not None and refused.reason is Reason.KEY_UNPROVEN
    assert gate.check(key_of("a", owners, 12.1)) is None


def test_greater_clock_bound_raises_the_barrier():
    gate = make_gate("a", OwnerSet(owners=("a",)))
    gate.widen(3 * BOUND)
    gate.widen(BOUND)
    assert (gate.barrier, gate.clock_bound) == (16.0, 3.0)


def test_all_new_owners_settle_together_and_keep_to_their_keys():
    a, b = make_gate("a", PAIR), make_gate("b", PAIR)
    settle(a, b)
    assert a.settled and b.settled
    foreign = a.check(key_of("b", PAIR, 20.0))
    assert foreign is not None and foreign.reason is Reason.STALE_VIEW


def test_added_owner_waits_for_each_other_one():
    a, b = make_gate("a", PAIR), make_gate("b", PAIR)
    settle(a, b)
    c = make_gate("c", THREE, generation=2)
    a.update(10.0, 2, THREE)
    settle(a, b, c)
    assert not c.settled
    b.update(10.0, 2, THREE)
    settle(a, b, c)
    assert c.settled


def test_restarted_owner_settles_by_one_member_but_not_behind_it():
    a, b = make_gate("a", PAIR), make_gate("b", PAIR)
    settle(a, b)
    b.update(10.0, 2, THREE)
    again = make_gate("a", PAIR, incarnation=2)
    again.heard(11.0, b.asked(again.query()))
    assert not again.settled
    again.update(11.0, 2, THREE)
    again.heard(11.0, b.asked(again.query()))
    assert again.settled


def test_heir_of_a_retired_owner_runs_only_younger_keys_of_it():
    a, b = make_gate("a", PAIR), make_gate("b", PAIR)
    settle(a, b)
    alone = OwnerSet(owners=("a",))
    a.update(20.0, 2, alone)
    assert a.check(key_of("b", PAIR, 21.0)) is not None
    assert a.check(key_of("b", PAIR, 22.1)) is None
    assert a.check(key_of("a", PAIR, 21.0)) is None
    b.update(20.0, 2, alone)
    assert not b.settled and b.query() is None


def test_forgotten_sets_raise_the_barrier():
    gate = make_gate("a", OwnerSet(owners=("a",)))
    for count in range(MOVES + 1):
        names = ["a", *(f"x{number}" for number in range(count + 1))]
        gate.update(100.0, 2 + count, OwnerSet(owners=names))
    assert len(gate.moves) == MOVES and gate.barrier == 102.0

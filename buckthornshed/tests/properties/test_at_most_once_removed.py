"""The machine of at most once with one mechanism removed runs a key twice.

Each script passes with the real parts and fails without the one that it is about.
"""

import pytest

from buckthornshed.coordination.knowledge.ownership import OwnerSet
from buckthornshed.coordination.outcomes.handover import OwnershipGate
from buckthornshed.coordination.outcomes.idempotency import barrier_after
from buckthornshed.coordination.outcomes.keys import parse_key
from buckthornshed.protocol.outcome import Outcome

from .at_most_once_parts import BOUND, ENTRIES, FIRST_OWNERS
from .test_at_most_once_machine import AtMostOnce


def book(machine, edge=0, ahead=0.0):
    machine.new_request(edge=edge, ahead=ahead)
    machine.run_all()
    return machine.requests[-1]


def repeat(machine, request, edge=0):
    machine.repeat_request(which=machine.keys.index(request.key), edge=edge)
    machine.run_all()
    return machine.requests[-1]


def replace_all(machine, offset=0.0):
    for node in list(machine.nodes.values()):
        node.alive = False
    for _ in FIRST_OWNERS:
        machine.replace(which=0, age=0, offset=offset)
    machine.heal()


def book_newest(machine, edge=0):
    machine.new_request(edge=edge, ahead=0.0, newest=True)
    return machine.requests[-1]


class NoBarrier(AtMostOnce):
    """A new incarnation begins keys that an earlier one may have begun."""

    def make_table(self, wall, gate):
        table = super().make_table(wall, gate)
        table.barrier = float("-inf")
        return table

    def make_gate(self, name, incarnation):
        gate = super().make_gate(name, incarnation)
        gate.clock_bound = float("-inf")
        return gate


def replace_after_a_run(machine):
    request = book(machine)
    replace_all(machine)
    repeat(machine, request, edge=1)


class ShortBarrier(AtMostOnce):
    """The barrier forgets that clocks differ."""

    def make_table(self, wall, gate):
        table = super().make_table(wall, gate)
        table.barrier = barrier_after(wall, 0.0)
        return table

    def make_gate(self, name, incarnation):
        gate = super().make_gate(name, incarnation)
        gate.clock_bound = 0.0
        return gate


def replace_by_a_clock_behind(machine):
    request = book(machine, edge=2)
    replace_all(machine, offset=-BOUND / 2)
    machine.wait(0.1)
    repeat(machine, request, edge=2)


class Evicting(AtMostOnce):
    """A full table drops its oldest key for a new one."""

    def make_table(self, wall, gate):
        table = super().make_table(wall, gate)
        begin = table.begin

        def evict(now, wall, key, content):
            if table.held.full and key not in table.held:
                table.held.pop(next(iter(table.held.live)))
            return begin(now, wall, key, content)

        table.begin = evict
        return table


def fill_the_table(machine):
    requests = [book(machine) for _ in range(2 * ENTRIES * len(FIRST_OWNERS) + 1)]
    for request in requests:
        repeat(machine, request, edge=1)


class LiveView(AtMostOnce):
    """The owner is chosen among the targets that seem alive."""

    def owner(self, key, edge):
        alive = {node.name for node in self.awake()}
        return OwnerSet(owners=alive).owner_of(parse_key(key).raw)

    def make_table(self, wall, gate):
        table = super().make_table(wall, gate)
        table.gate = None
        return table


def freeze_the_owner_after_a_run(machine):
    request = book_newest(machine)
    machine.run_all()
    machine.nodes["b"].frozen = True
    repeat(machine, request)


class HastyGate(OwnershipGate):
    """A gate that settles without asking."""

    def update(self, wall, generation, owners):
        super().update(wall, generation, owners)
        if not self.settled:
            self._settle(self.owners.owners)


class NoHandover(AtMostOnce):
    """An added target acts as owner before the others know of it."""

    def make_gate(self, name, incarnation):
        return HastyGate(own=name, incarnation=incarnation, clock_bound=BOUND)


def add_a_target_that_the_owners_do_not_know(machine):
    machine.add_target(offset=0.0)
    machine.ask_owners(which=2)
    machine.wait(4.0)
    request = book_newest(machine)
    machine.run_all()
    machine.edge_views[1] = 1
    repeat(machine, request, edge=1)


class OneRoundGate(OwnershipGate):
    """A gate that takes the first round of replies for the second."""

    def _count(self, reply):
        super()._count(reply)
        if self.heard_again is not None:
            self.heard_again = dict(self.heard_first)


class OneRound(AtMostOnce):
    """An added target trusts a reply of an incarnation that may be gone."""

    def make_gate(self, name, incarnation):
        return OneRoundGate(own=name, incarnation=incarnation, clock_bound=BOUND)


def replace_an_owner_between_its_reply_and_the_last(machine):
    machine.add_target(offset=0.0)
    old, other, new = (machine.nodes[name] for name in "abc")
    query = new.gate.query()
    old.gate.update(machine.now, 1, machine.sets[1])
    new.gate.heard(machine.now, old.gate.asked(query))
    old.alive = False
    machine.replace(which=0, age=0, offset=0.0)
    again = machine.nodes["a"].gate
    again.heard(machine.now, other.gate.asked(again.query()))
    assert again.settled and again.generation == 0
    other.gate.update(machine.now, 1, machine.sets[1])
    new.gate.heard(machine.now, other.gate.asked(query))
    machine.wait(4.0)
    while True:
        request = book_newest(machine)
        if machine.owner(request.key, 0) == "a":
            break
    machine.run_all()
    machine.edge_views[1] = 1
    repeat(machine, request, edge=1)


class TrustsMarks(AtMostOnce):
    """An edge takes a key that another node minted for itself."""

    def check_at_edge(self, key, wall):
        return None


def bring_a_key_that_a_node_minted(machine):
    while True:
        machine.new_request_without_key(edge=0, which=0, at_once=True)
        request = machine.requests[-1]
        if machine.owner(request.key, 0) != request.bound:
            break
    machine.keys.append(request.key)
    machine.repeat_request(which=0, edge=1, at_once=True)


class LastWordOnly(AtMostOnce):
    """The outcome of the last send is told, whatever earlier ones may have done."""

    def send(self, request):
        request.sends.outcome = Outcome.NOT_RUN
        super().send(request)


def send_again_while_the_first_is_delayed(machine):
    for _ in range(10):
        book(machine)
    for each in machine.nodes.values():
        # The refusals above fill the table of denials, without which none is told.
        each.table.denials.live.clear()
    machine.new_request(edge=0, ahead=0.0)
    late = machine.requests[-1]
    node, _, _ = machine.calls[0]
    late.sends.ended(Outcome.UNKNOWN)
    delayed = machine.calls.pop()
    machine.send(late)
    machine.run_all()
    machine.give_up(which=machine.requests.index(late))
    node.table.held.live.clear()
    machine.calls.append(delayed)
    machine.run_all()


VIOLATION = r"a key ran twice|not run was stated"


@pytest.mark.parametrize(
    ("script", "broken"),
    [
        (replace_after_a_run, NoBarrier),
        (replace_by_a_clock_behind, ShortBarrier),
        (fill_the_table, Evicting),
        (freeze_the_owner_after_a_run, LiveView),
        (add_a_target_that_the_owners_do_not_know, NoHandover),
        (replace_an_owner_between_its_reply_and_the_last, OneRound),
        (bring_a_key_that_a_node_minted, TrustsMarks),
        (send_again_while_the_first_is_delayed, LastWordOnly),
    ],
)
def test_mechanism_holds_and_its_absence_shows(script, broken):
    script(AtMostOnce())
    with pytest.raises(AssertionError, match=VIOLATION):
        script(broken())

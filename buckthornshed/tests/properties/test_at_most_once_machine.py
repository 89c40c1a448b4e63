"""A key never runs twice, and not run is never stated of work that ran.

The machine holds edges and owners with the real decisions, and a scheduler that
loses, delays, duplicates, reorders, freezes, cuts off, kills and replaces.
"""

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from buckthornshed.coordination.handover import OwnerQuery, OwnershipGate
from buckthornshed.coordination.idempotency import (
    KeyTable,
    Refused,
    Replay,
    Started,
    check_new_key,
)
from buckthornshed.coordination.integrity import KeySource, Resend, Sends
from buckthornshed.coordination.keys import parse_key
from buckthornshed.coordination.ownership import OwnerSet, mint_owned
from buckthornshed.protocol.messages import Answer
from buckthornshed.protocol.outcome import Outcome, Reason

BOUND = 1.0
LIFETIME = 60.0
ENTRIES = 2
EDGES = 3
FIRST_OWNERS = ("a", "b")
LATER_OWNERS = ("c", "d")
INDEX = st.integers(min_value=0, max_value=2**16)
AHEAD = st.sampled_from([0.0, 0.0, 0.0, 0.0, -3.0, 0.9, 1.9, 3.0])
MOSTLY = st.sampled_from([True, True, True, False])
SELDOM = st.sampled_from([False, False, False, True])
DISASTERS = st.sampled_from(
    ["freeze", "kill", "kill", "replace", "add", "retire", "lose", "duplicate"]
)
OFFSET = st.floats(min_value=-BOUND / 2, max_value=BOUND / 2)


class Node:
    """One incarnation of a target and its node."""

    def __init__(self, *, world, name, generation, offset):
        self.name = name
        self.offset = offset
        self.alive = True
        self.frozen = False
        self.handing: list[tuple[str, int]] = []
        self.running: list[str] = []
        wall = world.now + offset
        world.incarnations += 1
        self.gate = world.make_gate(name, world.incarnations)
        self.gate.update(wall, generation, world.sets[generation])
        self.table = world.make_table(wall, self.gate)


class Request:
    """One client request at one edge."""

    def __init__(self, *, key, edge):
        self.key = key
        self.edge = edge
        self.sends = Sends(repeatable=False, key=KeySource.BROUGHT)
        self.exchanges: set[int] = set()
        self.told: Outcome | None = None


class AtMostOnce(RuleBasedStateMachine):
    """Edges and owners of one service."""

    def __init__(self):
        super().__init__()
        self.now = 1_000.0
        self.incarnations = 0
        self.exchanges = 0
        self.sets = [OwnerSet(owners=FIRST_OWNERS)]
        self.retired: set[str] = set()
        self.nodes: dict[str, Node] = {}
        self.keys: list[str] = []
        self.requests: list[Request] = []
        self.calls: list[tuple[Node, Request, int]] = []
        self.control: list[tuple[Node, object]] = []
        self.runs: dict[str, int] = {}
        self.edge_views = [0] * EDGES
        self.edge_offsets = [-BOUND / 2, 0.0, BOUND / 2]
        for name in FIRST_OWNERS:
            self.nodes[name] = Node(world=self, name=name, generation=0, offset=0.0)
        for _ in range(3):
            self.settle_all()
        self.now += 3 * BOUND

    def make_gate(self, name, incarnation):
        return OwnershipGate(own=name, incarnation=incarnation, clock_bound=BOUND)

    def make_table(self, wall, gate):
        return KeyTable(
            entries=ENTRIES,
            lifetime=LIFETIME,
            clock_bound=BOUND,
            started_wall=wall,
            gate=gate,
        )

    def owner(self, key, edge):
        return self.sets[self.edge_views[edge]].owner_of(parse_key(key).raw)

    def pick(self, items, index):
        return items[index % len(items)] if items else None

    def awake(self):
        return [node for node in self.nodes.values() if node.alive and not node.frozen]

    def settle_all(self):
        for node in self.awake():
            self.ask(node)
        while self.control:
            self.deliver_control(0)

    def ask(self, node):
        query = node.gate.query()
        for peer in node.gate.peers if query else ():
            self.post(peer, query)

    def post(self, name, message):
        node = self.nodes.get(name)
        if node is not None and node.alive:
            self.control.append((node, message))

    @rule(seconds=st.floats(min_value=0.01, max_value=4.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(edge=INDEX, ahead=AHEAD, at_once=MOSTLY, newest=st.booleans())
    def new_request(self, edge, ahead, at_once=False, newest=False):
        """Send a new key, perhaps one of the target that was added last."""
        edge %= EDGES
        minted = self.now + self.edge_offsets[edge] + ahead
        owners = self.sets[-1]
        wanted = owners.owners[-1:] if newest else owners.owners
        rng = random.Random(len(self.keys))
        key = mint_owned(wall=minted, rng=rng, owners=owners, wanted=wanted)
        self.keys.append(key)
        self.enter(self.keys[-1], edge, at_once)

    @precondition(lambda self: self.keys)
    @rule(which=INDEX, edge=INDEX, at_once=MOSTLY)
    def repeat_request(self, which, edge, at_once=False):
        self.enter(self.pick(self.keys, which), edge % EDGES, at_once)

    def enter(self, key, edge, at_once):
        request = Request(key=key, edge=edge)
        self.requests.append(request)
        wall = self.now + self.edge_offsets[edge]
        refused = check_new_key(key, wall=wall, clock_bound=BOUND)
        if refused is not None:
            self.tell(request, refused.outcome)
        else:
            self.send(request)
        if at_once:
            self.run_all()

    def send(self, request):
        node = self.nodes.get(self.owner(request.key, request.edge))
        if node is None or not node.alive:
            request.sends.ended(Outcome.NOT_RUN)
            return
        self.exchanges += 1
        request.exchanges.add(self.exchanges)
        self.calls.append((node, request, self.exchanges))

    @precondition(lambda self: self.requests)
    @rule(which=INDEX)
    def send_again(self, which):
        request = self.pick(self.requests, which)
        if request and not request.told and request.sends.resend is not Resend.NOWHERE:
            self.send(request)

    @precondition(lambda self: self.requests)
    @rule(which=INDEX)
    def give_up(self, which):
        request = self.pick(self.requests, which)
        if request and not request.told:
            if any(call[1] is request for call in self.calls):
                request.sends.ended(Outcome.UNKNOWN)
            self.tell(request, request.sends.told)

    @precondition(lambda self: self.calls)
    @rule(which=INDEX, lost=SELDOM, refused=SELDOM)
    def deliver_call(self, which, lost, refused=False):
        call = self.pick([each for each in self.calls if not each[0].frozen], which)
        if call is None:
            return
        self.calls.remove(call)
        node, request, exchange = call
        if lost or not node.alive:
            request.sends.ended(Outcome.UNKNOWN)
            return
        wall = self.now + node.offset
        if refused:
            begun = node.table.deny(
                self.now, wall, request.key, b"content", Reason.OVERLOAD
            )
        else:
            begun = node.table.begin(self.now, wall, request.key, b"content")
        if isinstance(begun, Started):
            node.handing.append((request.key, exchange))
            request.sends.ended(Outcome.UNKNOWN)
        elif isinstance(begun, Replay):
            request.sends.ended(begun.answer.outcome)
        elif isinstance(begun, Refused):
            if begun.outcome is Outcome.NOT_RUN:
                assert request.key not in self.runs, "an owner denied a run"
            request.sends.ended(begun.outcome, begun.reason, by_owner=True)
        else:
            request.sends.ended(Outcome.UNKNOWN)

    def tell(self, request, outcome):
        request.told = outcome
        if outcome is Outcome.NOT_RUN:
            assert request.key not in self.runs, "not run was stated of work that ran"

    @precondition(lambda self: any(n.handing for n in self.awake()))
    @rule(which=INDEX, unsent=SELDOM)
    def hand_to_target(self, which, unsent):
        node = self.pick([node for node in self.awake() if node.handing], which)
        if node is None:
            return
        key, exchange = node.handing.pop(0)
        if unsent:
            node.table.fail(self.now, key, started=False)
            return
        assert key not in self.runs, "a key ran twice"
        self.runs[key] = exchange
        asking = next(each for each in self.requests if exchange in each.exchanges)
        assert asking.told is not Outcome.NOT_RUN, "not run was stated of work that ran"
        node.running.append(key)

    @precondition(lambda self: any(n.running for n in self.awake()))
    @rule(which=INDEX, lost=st.booleans())
    def end_run(self, which, lost):
        node = self.pick([node for node in self.awake() if node.running], which)
        if node is None:
            return
        key = node.running.pop(0)
        answer = Answer(exchange=0, outcome=Outcome.COMPLETE, status=200)
        if lost:
            node.table.fail(self.now, key, started=True)
        else:
            node.table.finish(self.now, key, answer)

    def run_all(self):
        """Let every node that is awake take and run what waits for it."""
        for _ in range(len(self.calls)):
            self.deliver_call(0, False)
        while any(node.handing for node in self.awake()):
            self.hand_to_target(0, False)

    def freeze(self, which):
        node = self.pick(self.awake(), which)
        if node is not None:
            node.frozen = True

    def wake(self, which):
        frozen = [node for node in self.nodes.values() if node.alive and node.frozen]
        node = self.pick(frozen, which)
        if node is not None:
            node.frozen = False
            node.table.woke(self.now + node.offset)

    def kill(self, which):
        node = self.pick([n for n in self.nodes.values() if n.alive], which)
        if node is not None:
            node.alive = False
            self.control = [each for each in self.control if each[0] is not node]

    def replace(self, which, age, offset):
        """Start a new incarnation, perhaps with an old configuration."""
        dead = [n.name for n in self.nodes.values() if not n.alive]
        name = self.pick([each for each in dead if each not in self.retired], which)
        if name is None:
            return
        known = [g for g, owners in enumerate(self.sets) if name in owners.owners]
        generation = self.pick(known, age)
        if not self.settled_before():
            generation = known[-1]
        self.nodes[name] = Node(
            world=self, name=name, generation=generation, offset=offset
        )

    def settled_before(self):
        """Return whether an owner of the first set still remembers.

        The stated assumption: when all owners of a set have lost their memory, none
        of them starts from a configuration older than one that was in force.
        """
        return any(
            node.alive and node.gate.settled and name in FIRST_OWNERS
            for name, node in self.nodes.items()
        )

    @rule(which=INDEX, age=INDEX, offset=OFFSET, kind=DISASTERS)
    def disaster(self, which, age, offset, kind):
        """Freeze, kill, replace, add or retire."""
        {
            "freeze": lambda: self.freeze(which),
            "kill": lambda: self.kill(which),
            "replace": lambda: self.replace(which, age, offset),
            "add": lambda: self.add_target(offset),
            "retire": lambda: self.retire_target(which),
            "lose": lambda: self.lose_control(which),
            "duplicate": lambda: self.repeat_control(which),
        }[kind]()

    @rule(which=INDEX, age=INDEX, offset=OFFSET)
    def recover(self, which, age, offset):
        """Wake what is frozen, or replace what is dead."""
        self.wake(which)
        self.replace(which, age, offset)

    def add_target(self, offset):
        names = [name for name in LATER_OWNERS if name not in self.nodes]
        if names:
            self.sets.append(OwnerSet(owners=(*self.sets[-1].owners, names[0])))
            generation = len(self.sets) - 1
            self.nodes[names[0]] = Node(
                world=self, name=names[0], generation=generation, offset=offset
            )

    def retire_target(self, which):
        dead = [n.name for n in self.nodes.values() if not n.alive]
        name = self.pick([each for each in dead if each not in self.retired], which)
        if name is not None and len(self.sets[-1].owners) > 1:
            self.retired.add(name)
            rest = [each for each in self.sets[-1].owners if each != name]
            self.sets.append(OwnerSet(owners=rest))

    @rule(which=INDEX, age=INDEX)
    def configure_node(self, which, age):
        node = self.pick(self.awake(), which)
        if node is not None:
            generation = age % len(self.sets)
            wall = self.now + node.offset
            node.gate.update(wall, generation, self.sets[generation])

    @rule(edge=INDEX, age=INDEX)
    def configure_edge(self, edge, age):
        view = age % len(self.sets)
        self.edge_views[edge % EDGES] = max(self.edge_views[edge % EDGES], view)

    @rule(which=INDEX)
    def ask_owners(self, which):
        node = self.pick(self.awake(), which)
        if node is not None:
            self.ask(node)

    def lose_control(self, which):
        if self.control:
            self.control.pop(which % len(self.control))

    def repeat_control(self, which):
        if self.control:
            self.control.append(self.pick(self.control, which))

    @rule(seconds=st.sampled_from([0.0, 3.0]))
    def heal(self, seconds=0.0):
        """Deliver the configuration and all control messages to those awake."""
        for node in self.awake():
            generation = len(self.sets) - 1
            wall = self.now + node.offset
            node.gate.update(wall, generation, self.sets[generation])
        for _ in range(3):
            self.settle_all()
        self.control = [each for each in self.control if each[0].frozen]
        self.now += seconds

    @precondition(lambda self: self.control)
    @rule(which=INDEX)
    def deliver_control(self, which):
        ready = [each for each in self.control if not each[0].frozen]
        if not ready:
            self.control = []
            return
        entry = self.pick(ready, which)
        self.control.remove(entry)
        node, message = entry
        if isinstance(message, OwnerQuery):
            self.post(message.asker, node.gate.asked(message))
        elif node.gate.heard(self.now + node.offset, message):
            for peer in node.gate.peers:
                self.post(peer, node.gate.announcement())


SETTINGS = settings(
    derandomize=True,
    max_examples=200,
    stateful_step_count=100,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)

AtMostOnce.TestCase.settings = SETTINGS
TestAtMostOnce = AtMostOnce.TestCase

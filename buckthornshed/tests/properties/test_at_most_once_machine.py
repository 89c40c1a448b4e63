"""A key never runs twice, and not run is never stated of work that ran.

The machine holds edges and owners with the real decisions, and a scheduler that
loses, delays, duplicates, reorders, freezes, cuts off, kills and replaces.
"""

import random

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import precondition, rule

from buckthornshed.coordination.knowledge.ownership import OwnerSet
from buckthornshed.coordination.outcomes.handover import OwnerQuery
from buckthornshed.coordination.outcomes.idempotency import (
    Refused,
    Replay,
    Started,
    check_new_key,
)
from buckthornshed.coordination.outcomes.integrity import Resend
from buckthornshed.coordination.outcomes.keys import mint_key, parse_key, random_key
from buckthornshed.protocol.messages import Answer
from buckthornshed.protocol.outcome import Outcome, Reason

from .at_most_once_parts import (
    AHEAD,
    BOUND,
    DISASTERS,
    EDGES,
    FIRST_OWNERS,
    INDEX,
    LATER_OWNERS,
    MOSTLY,
    OFFSET,
    SELDOM,
    Node,
    Request,
    World,
)


class AtMostOnce(World):
    """What clients, edges, owners and operators do."""

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
        key = random_key(wall=minted, rng=rng)
        while owners.owner_of(parse_key(key).raw) not in wanted:
            key = random_key(wall=minted, rng=rng)
        self.keys.append(key)
        self.enter(self.keys[-1], edge, at_once)

    @rule(edge=INDEX, which=INDEX, at_once=MOSTLY)
    def new_request_without_key(self, edge, which, at_once=False):
        """Send a key of the edge to a target of its choice."""
        edge %= EDGES
        bound = self.pick(sorted(self.nodes), which)
        request = Request(key=self.mint(edge), edge=edge, bound=bound)
        self.requests.append(request)
        self.send(request)
        if at_once:
            self.run_all()

    def mint(self, edge):
        self.minted += 1
        wall = self.now + self.edge_offsets[edge]
        return mint_key(wall=wall, rng=random.Random(self.minted))

    @precondition(lambda self: self.keys)
    @rule(which=INDEX, edge=INDEX, at_once=MOSTLY)
    def repeat_request(self, which, edge, at_once=False):
        self.enter(self.pick(self.keys, which), edge % EDGES, at_once)

    def enter(self, key, edge, at_once):
        request = Request(key=key, edge=edge)
        self.requests.append(request)
        wall = self.now + self.edge_offsets[edge]
        refused = self.check_at_edge(key, wall)
        if refused is not None:
            self.tell(request, refused.outcome)
        else:
            self.send(request)
        if at_once:
            self.run_all()

    def check_at_edge(self, key, wall):
        return check_new_key(key, wall=wall, clock_bound=BOUND)

    def send(self, request):
        owner = request.bound or self.owner(request.key, request.edge)
        node = self.nodes.get(owner)
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
        resend = request.sends.resend
        if request.told or resend is Resend.NOWHERE:
            return
        if request.bound:
            if any(call[1] is request for call in self.calls):
                return
            if resend is Resend.ANYWHERE:
                request.key = self.mint(request.edge)
                request.bound = self.pick(sorted(self.nodes), which)
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
        asking.runs += 1
        assert asking.runs == 1, "a request ran twice"
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

"""The nodes, requests and strategies of the machine of at most once."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine

from buckthornshed.coordination.knowledge.ownership import OwnerSet
from buckthornshed.coordination.outcomes.handover import OwnershipGate
from buckthornshed.coordination.outcomes.idempotency import KeyTable
from buckthornshed.coordination.outcomes.integrity import KeySource, Sends
from buckthornshed.coordination.outcomes.keys import parse_key
from buckthornshed.protocol.outcome import Outcome

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

    def __init__(self, *, key, edge, bound=None):
        self.key = key
        self.edge = edge
        self.bound = bound
        self.runs = 0
        source = KeySource.MINTED if bound else KeySource.BROUGHT
        self.sends = Sends(repeatable=False, key=source)
        self.exchanges: set[int] = set()
        self.told: Outcome | None = None


class World(RuleBasedStateMachine):
    """Edges and owners of one service."""

    def __init__(self):
        super().__init__()
        self.now = 1_000.0
        self.incarnations = 0
        self.exchanges = 0
        self.minted = 0
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

    def deliver_control(self, which):
        """Deliver one message between owners; a rule of the machine."""
        raise NotImplementedError

    def ask(self, node):
        query = node.gate.query()
        for peer in node.gate.peers if query else ():
            self.post(peer, query)

    def post(self, name, message):
        node = self.nodes.get(name)
        if node is not None and node.alive:
            self.control.append((node, message))

"""The nodes and requests of the machine of at most once."""

from buckthornshed.coordination.integrity import KeySource, Sends
from buckthornshed.protocol.outcome import Outcome


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

"""Cost of at-most-once execution: outcomes of bookings under each fault.

The simulation runs in virtual time with the real owner sets, key tables and ownership
checks; the network is one function that answers or fails. The docstring of a fault is
its name in the table. Run with ``python benchmarks/keys.py``.
"""

import heapq
import itertools
import random
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from tabulate import tabulate

from buckthornshed.coordination.knowledge.ownership import OwnerSet
from buckthornshed.coordination.outcomes.handover import KeyOwnership
from buckthornshed.coordination.outcomes.idempotency import KeyTable, Replay, Started
from buckthornshed.coordination.outcomes.invocation_outcomes import (
    KeySource,
    Resend,
    SendHistory,
)
from buckthornshed.coordination.outcomes.keys import (
    generate_client_key,
    generate_key,
    parse_key,
)
from buckthornshed.protocol.messages import Answer
from buckthornshed.protocol.outcome import Outcome

CLOCK_BOUND_S = 0.25
KEY_LIFETIME_S = 600.0
BOOKINGS_PER_S = 100.0
SERVICE_S = 0.05
WARM_UP_S = 10.0
WINDOW_S = 60.0
FAULT_S = 20.0
DETECTION_DELAY_S = 0.2
CLIENT_RETRY_S = 1.0
MAX_CLIENT_ATTEMPTS = 3
DOMAINS = ("a", "b", "c")
COMPLETE_ANSWER = Answer(
    exchange=0, outcome=Outcome.COMPLETE, status=200, body=b"booked"
)


class OwnerNode:
    """One incarnation of a node that owns keys."""

    def __init__(self, *, name: str, now: float, owners: OwnerSet, number: int) -> None:
        self.name = name
        self.alive = True
        self.paused = False
        self.down_since = now
        self.ownership = KeyOwnership(
            own_id=name, incarnation=number, clock_bound=CLOCK_BOUND_S
        )
        self.ownership.update(now, 0, owners)
        self.table = KeyTable(
            entries=100_000,
            lifetime=KEY_LIFETIME_S,
            clock_bound=CLOCK_BOUND_S,
            started_wall=now,
            ownership=self.ownership,
        )


class Booking:
    """One booking of one client, with its retries."""

    def __init__(self, *, number: int, domain: str, started: float) -> None:
        self.number = number
        self.domain = domain
        self.started = started
        self.key: str | None = None
        self.target: str | None = None
        self.attempts = 0


class Simulation:
    """Three owners, one in each failure domain, and clients in all domains."""

    def __init__(self, *, mode: str, seed: int) -> None:
        self.mode = mode
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.started_at = self.now
        self.event_numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.owners = OwnerSet(owners=DOMAINS)
        self.nodes: dict[str, OwnerNode] = {}
        self.partitioned: set[str] = set()
        self.answer_loss = 0.0
        self.outcomes: Counter[str] = Counter()
        self.executions: Counter[int] = Counter()
        self.sends = 0
        for name in DOMAINS:
            self.start_node(name)

    def schedule_at(self, due_at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (due_at, next(self.event_numbers), action))

    def start_node(self, name: str) -> None:
        number = next(self.event_numbers) + 1
        node = OwnerNode(name=name, now=self.now, owners=self.owners, number=number)
        self.nodes[name] = node
        self.refresh_ownership()

    def refresh_ownership(self) -> None:
        for _ in range(3):
            for node in self.nodes.values():
                self.query_peers(node)

    def query_peers(self, node: OwnerNode) -> None:
        query = node.ownership.query()
        for peer in node.ownership.peers if query and node.alive else ():
            other = self.nodes.get(peer)
            if other and self.can_reach(node.name, other):
                node.ownership.receive_reply(
                    self.now, other.ownership.answer_query(query)
                )

    def can_reach(self, domain: str, node: OwnerNode) -> bool:
        partitioned = domain != node.name and bool(
            {domain, node.name} & self.partitioned
        )
        return node.alive and not node.paused and not partitioned

    def find_candidates(self, domain: str) -> Sequence[str]:
        """Return the owners that the edge does not know to be unreachable."""
        return [
            name
            for name, node in self.nodes.items()
            if self.can_reach(domain, node)
            or self.now - node.down_since < DETECTION_DELAY_S
        ]

    def start_attempt(self, booking: Booking) -> None:
        booking.attempts += 1
        source = KeySource.GENERATED if self.mode == "edge" else KeySource.SUPPLIED
        sends = SendHistory(repeatable=False, key_source=source)
        if booking.key is None or self.mode == "edge":
            self.assign_key(booking)
        self.send(booking, sends, 3)

    def assign_key(self, booking: Booking) -> None:
        """Assign a key, and a target unless the client supplies the key."""
        if self.mode == "client":
            booking.key = generate_client_key(wall=self.now, rng=self.rng)
            return
        booking.key = generate_key(wall=self.now, rng=self.rng)
        booking.target = self.rng.choice(
            self.find_candidates(booking.domain) or DOMAINS
        )

    def send(self, booking: Booking, sends: SendHistory, retries_left: int) -> None:
        self.sends += 1
        key = booking.key or ""
        name = booking.target or self.owners.owner_of(parse_key(key).raw)
        if self.mode == "none":
            name = self.rng.choice(self.find_candidates(booking.domain) or DOMAINS)
        node = self.nodes[name or ""]
        if not self.can_reach(booking.domain, node):
            outcome = Outcome.UNKNOWN if node.paused else Outcome.NOT_RUN
            self.handle_end(booking, sends, retries_left, outcome, None)
            return
        if self.mode == "none":
            self.execute(booking, sends, retries_left, node)
            return
        result = node.table.begin(self.now, self.now, key, b"")
        if isinstance(result, Started):
            self.execute(booking, sends, retries_left, node)
        elif isinstance(result, Replay):
            self.handle_end(booking, sends, retries_left, result.answer.outcome, None)
        else:
            self.handle_end(
                booking, sends, retries_left, result.outcome, result.reason, True
            )

    def execute(
        self, booking: Booking, sends: SendHistory, retries_left: int, node: OwnerNode
    ) -> None:
        self.executions[booking.number] += 1
        key = booking.key or ""

        def finish() -> None:
            can_answer = self.can_reach(booking.domain, node)
            if node.alive:
                node.table.finish(self.now, key, COMPLETE_ANSWER)
            answer_lost = not can_answer or self.rng.random() < self.answer_loss
            outcome = Outcome.UNKNOWN if answer_lost else Outcome.COMPLETE
            self.handle_end(booking, sends, retries_left, outcome, None)

        self.schedule_at(self.now + SERVICE_S, finish)

    def handle_end(
        self, booking, sends, retries_left, outcome, reason, by_owner=False
    ) -> None:
        overall_outcome = sends.record_end(outcome, reason, by_owner=by_owner)
        retry_without_key = (
            self.mode == "none" and overall_outcome is not Outcome.COMPLETE
        )
        if retries_left > 0 and (
            retry_without_key or sends.resend is not Resend.NOWHERE
        ):
            if (
                sends.resend is Resend.ANYWHERE
                and sends.key_source is KeySource.GENERATED
            ):
                self.assign_key(booking)
            delay = 0.05 * (4 - retries_left)
            self.schedule_at(
                self.now + delay, lambda: self.send(booking, sends, retries_left - 1)
            )
            return
        client_may_retry = self.mode != "edge" or overall_outcome is Outcome.NOT_RUN
        if (
            overall_outcome is not Outcome.COMPLETE
            and client_may_retry
            and booking.attempts < MAX_CLIENT_ATTEMPTS
        ):
            self.schedule_at(
                self.now + CLIENT_RETRY_S, lambda: self.start_attempt(booking)
            )
            return
        self.outcomes[str(overall_outcome)] += 1

    def run(self) -> None:
        number = 0
        while number < BOOKINGS_PER_S * WINDOW_S:
            domain = DOMAINS[number % len(DOMAINS)]
            due_at = self.started_at + WARM_UP_S + number / BOOKINGS_PER_S
            booking = Booking(number=number, domain=domain, started=due_at)
            self.schedule_at(
                due_at, lambda booking=booking: self.start_attempt(booking)
            )
            number += 1
        for second in range(int(WARM_UP_S + WINDOW_S)):
            self.schedule_at(self.started_at + second, self.refresh_ownership)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def stop_node(self, name: str) -> None:
        self.nodes[name].alive = False
        self.nodes[name].down_since = self.now

    def pause_node(self, name: str) -> None:
        self.nodes[name].paused = True
        self.nodes[name].down_since = self.now

    def resume_node(self, name: str) -> None:
        self.nodes[name].paused = False
        self.nodes[name].table.resume_after_pause(self.now)

    def partition(self, names: set[str]) -> None:
        self.partitioned = names
        for name in names:
            self.nodes[name].down_since = self.now

    def reconfigure(self, owners: OwnerSet) -> None:
        self.owners = owners
        for node in self.nodes.values():
            if node.alive:
                node.ownership.update(self.now, len(owners.owners), owners)


FAULT_AT = WARM_UP_S + 20.0


def no_fault(simulation: Simulation) -> None:
    """Nothing."""


def answers_lost(simulation: Simulation) -> None:
    """Five in 100 answers are lost."""
    simulation.schedule_at(
        simulation.started_at + FAULT_AT,
        lambda: setattr(simulation, "answer_loss", 0.05),
    )
    simulation.schedule_at(
        simulation.started_at + FAULT_AT + FAULT_S,
        lambda: setattr(simulation, "answer_loss", 0.0),
    )


def owner_replaced(simulation: Simulation) -> None:
    """One owner is killed and replaced after 2 s."""
    simulation.schedule_at(
        simulation.started_at + FAULT_AT, lambda: simulation.stop_node("a")
    )
    simulation.schedule_at(
        simulation.started_at + FAULT_AT + 2, lambda: simulation.start_node("a")
    )


def owner_down(simulation: Simulation) -> None:
    """One owner is killed and comes back after 20 s."""
    simulation.schedule_at(
        simulation.started_at + FAULT_AT, lambda: simulation.stop_node("a")
    )
    simulation.schedule_at(
        simulation.started_at + FAULT_AT + FAULT_S, lambda: simulation.start_node("a")
    )


def owner_paused(simulation: Simulation) -> None:
    """One owner is paused for 5 s."""
    simulation.schedule_at(
        simulation.started_at + FAULT_AT, lambda: simulation.pause_node("a")
    )
    simulation.schedule_at(
        simulation.started_at + FAULT_AT + 5, lambda: simulation.resume_node("a")
    )


def domain_partitioned(simulation: Simulation) -> None:
    """One failure domain is cut off for 20 s."""
    simulation.schedule_at(
        simulation.started_at + FAULT_AT, lambda: simulation.partition({"a"})
    )
    simulation.schedule_at(
        simulation.started_at + FAULT_AT + FAULT_S, lambda: simulation.partition(set())
    )


def partitioned_owner_replaced(simulation: Simulation) -> None:
    """One failure domain is cut off, and its owner is replaced within the cut."""
    domain_partitioned(simulation)
    simulation.schedule_at(
        simulation.started_at + FAULT_AT + 5, lambda: simulation.stop_node("a")
    )
    simulation.schedule_at(
        simulation.started_at + FAULT_AT + 7, lambda: simulation.start_node("a")
    )


def owner_added(simulation: Simulation) -> None:
    """One owner is added."""

    def add() -> None:
        simulation.reconfigure(OwnerSet(owners=(*DOMAINS, "d")))
        simulation.start_node("d")
        simulation.nodes["d"].ownership.update(simulation.now, 4, simulation.owners)

    simulation.schedule_at(simulation.started_at + FAULT_AT, add)


def owner_added_while_one_down(simulation: Simulation) -> None:
    """One owner is added while one is dead, not retired, for 20 s."""
    owner_down(simulation)
    owner_added(simulation)


def all_owners_replaced(simulation: Simulation) -> None:
    """All owners are killed and replaced after 2 s."""
    for name in DOMAINS:
        simulation.schedule_at(
            simulation.started_at + FAULT_AT,
            lambda name=name: simulation.stop_node(name),
        )
        simulation.schedule_at(
            simulation.started_at + FAULT_AT + 2,
            lambda name=name: simulation.start_node(name),
        )


def all_owners_replaced_one_late(simulation: Simulation) -> None:
    """All owners are killed; two are replaced after 2 s, one after 20 s."""
    for name in DOMAINS:
        replaced_at = FAULT_AT + (FAULT_S if name == "c" else 2)
        simulation.schedule_at(
            simulation.started_at + FAULT_AT,
            lambda name=name: simulation.stop_node(name),
        )
        simulation.schedule_at(
            simulation.started_at + replaced_at,
            lambda name=name: simulation.start_node(name),
        )


FAULTS = (
    no_fault,
    answers_lost,
    owner_replaced,
    owner_down,
    owner_paused,
    domain_partitioned,
    partitioned_owner_replaced,
    owner_added,
    owner_added_while_one_down,
    all_owners_replaced,
    all_owners_replaced_one_late,
)
MODES = {
    "none": "no keys, sent again anywhere",
    "client": "key of the client",
    "edge": "key minted at the edge",
}


class Row(NamedTuple):
    """Outcomes under one fault and mode in percent, and bookings run twice."""

    fault: str
    keys: str
    complete: float
    not_run: float
    unknown: float
    run_twice: int


def measure(fault: Callable[[Simulation], None], mode: str) -> Row:
    simulation = Simulation(mode=mode, seed=1)
    fault(simulation)
    simulation.run()
    total = sum(simulation.outcomes.values())
    shares = [
        100 * simulation.outcomes[name] / total
        for name in ("complete", "not_run", "unknown")
    ]
    executed_twice = sum(count > 1 for count in simulation.executions.values())
    name = (fault.__doc__ or "").strip()
    return Row(name, MODES[mode], *shares, executed_twice)


def measure_decision_cost(entries: int) -> tuple[float, float, float]:
    """Return microseconds to begin and finish, and per new key; bytes per entry."""
    rng = random.Random(1)
    keys = [generate_client_key(wall=2000.0, rng=rng) for _ in range(entries)]
    table = KeyTable(
        entries=entries,
        lifetime=KEY_LIFETIME_S,
        clock_bound=CLOCK_BOUND_S,
        started_wall=1000.0,
    )
    tracemalloc.start()
    for key in keys:
        table.begin(0.0, 2000.0, key, key[:16].encode())
        table.finish(0.0, key, COMPLETE_ANSWER)
    size = tracemalloc.get_traced_memory()[0] / entries
    tracemalloc.stop()
    table = KeyTable(
        entries=entries,
        lifetime=KEY_LIFETIME_S,
        clock_bound=CLOCK_BOUND_S,
        started_wall=1000.0,
    )
    started_at = time.process_time()
    for key in keys:
        table.begin(0.0, 2000.0, key, b"")
        table.finish(0.0, key, COMPLETE_ANSWER)
    begin = (time.process_time() - started_at) / entries * 1e6
    started_at = time.process_time()
    for _ in range(2000):
        generate_key(wall=2000.0, rng=rng)
    return begin, (time.process_time() - started_at) / 2000 * 1e6, size


def main() -> None:
    """Print the tables."""
    rows = [measure(fault, mode) for fault in FAULTS for mode in MODES]
    print(tabulate(rows, headers=Row._fields, floatfmt=".2f", tablefmt="github"))
    costs = [(entries, *measure_decision_cost(entries)) for entries in (1_000, 100_000)]
    headers = ("entries", "begin+finish us", "mint us", "bytes/entry")
    print(tabulate(costs, headers=headers, floatfmt=".1f", tablefmt="github"))


if __name__ == "__main__":
    main()

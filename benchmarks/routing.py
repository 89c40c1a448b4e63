"""Load balancing compared with random, round robin and least in flight.

The simulation runs in virtual time. A simulated target has slots, a first-in first-out
queue and a random service time. The docstring of a scenario is its name in the table.
Run with ``python benchmarks/routing.py``.
"""

import heapq
import itertools
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from tabulate import tabulate

from buckthornshed.coordination.routing.service_balancer import ServiceBalancer
from buckthornshed.protocol.messages import NO_SIGNAL, Fault

DOMAINS = ("a", "b", "c")
REGIONS = dict.fromkeys(DOMAINS, "coast")
SERVICE_S = 0.02
ONE_WAY_LATENCY_S = 0.0005
DEADLINE_S = 0.25
WINDOW_S = 20.0
FAULT_AT = 5.0
FAULT_S = 10.0
CALLERS_PER_DOMAIN = 3
MAX_ATTEMPTS = 2
MAX_QUEUE = 50


class SimulatedTarget:
    """A simulated target with slots and a bounded queue."""

    def __init__(self, *, name: str, domain: str, slots: int) -> None:
        self.name = name
        self.domain = domain
        self.slots = slots
        self.slowdown = 1.0
        self.warmup_until = 0.0
        self.incarnation = 1
        self.shedding = False
        self.dead = False
        self.queue: deque[Callable[[], None]] = deque()
        self.running = 0

    def signal(self):
        return NO_SIGNAL._replace(
            in_flight=self.running + len(self.queue),
            incarnation=self.incarnation,
            threshold=2000 if self.shedding else 0,
        )


class Caller:
    """A node that sends calls, with its own view of the targets."""

    def __init__(self, *, policy: str, domain: str, targets, rng, number: int) -> None:
        self.policy = policy
        self.domain = domain
        self.rng = rng
        self.target_names = list(targets)
        self.next_index = number
        self.in_flight: Counter[str] = Counter()
        self.balancer = ServiceBalancer(
            service="reservas", local_domain=domain, region_of=REGIONS.get, rng=rng
        )
        self.balancer.update(
            0.0, {name: describe_target(t) for name, t in targets.items()}
        )

    def choose(self, now: float, tried: tuple[str, ...]) -> str:
        if self.policy == "router":
            return (
                self.balancer.choose(now, exclude=tried, level=1000)
                or self.target_names[0]
            )
        candidates = [name for name in self.target_names if name not in tried]
        if self.policy == "random":
            return self.rng.choice(candidates)
        self.next_index += 1
        if self.policy == "round robin":
            return candidates[self.next_index % len(candidates)]
        start = self.next_index % len(candidates)
        rotated = candidates[start:] + candidates[:start]
        return min(rotated, key=lambda name: self.in_flight[name])


def describe_target(target: SimulatedTarget):
    return {
        "service": "reservas",
        "provider": "old",
        "failure_domain": target.domain,
        "address": "127.0.0.1:1",
        "control": "127.0.0.1:2",
        "slots": target.slots,
        "connections": 400,
    }


class Simulation:
    """One scenario under one policy."""

    def __init__(self, *, policy: str, case: "Case") -> None:
        slots = case.slots
        self.rng = random.Random(7)
        self.now = 0.0
        self.event_numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.targets = {
            f"t{number}": SimulatedTarget(
                name=f"t{number}", domain=DOMAINS[number % 3], slots=count
            )
            for number, count in enumerate(slots)
        }
        self.callers = [
            Caller(
                policy=policy,
                domain=domain,
                targets=self.targets,
                rng=random.Random(number),
                number=number,
            )
            for number, domain in enumerate(DOMAINS * case.callers_per_domain)
        ]
        self.callers_by_domain = {
            domain: [caller for caller in self.callers if caller.domain == domain]
            for domain in DOMAINS
        }
        self.weights = dict.fromkeys(DOMAINS, 1.0)
        self.rate = case.load * sum(slots) / SERVICE_S
        self.latencies: list[float] = []
        self.num_sent = 0

    def schedule_at(self, when: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.event_numbers), action))

    def generate_requests(self) -> None:
        domain = self.rng.choices(DOMAINS, [self.weights[name] for name in DOMAINS])[0]
        caller = self.rng.choice(self.callers_by_domain[domain])
        self.num_sent += 1
        self.send_call(caller, self.now, ())
        if self.now < WINDOW_S:
            self.schedule_at(
                self.now + self.rng.expovariate(self.rate), self.generate_requests
            )

    def send_call(
        self, caller: Caller, request_started_at: float, tried: tuple[str, ...]
    ) -> None:
        name = caller.choose(self.now, tried)
        target = self.targets[name]
        caller.in_flight[name] += 1
        caller.balancer.record_send(self.now, name)
        latency_factor = 1 if target.domain == caller.domain else 3
        sent_at = self.now
        one_way_latency_s = ONE_WAY_LATENCY_S * latency_factor

        def handle_refusal() -> None:
            caller.in_flight[name] -= 1
            if target.dead:
                fault = Fault(exchange=0, maybe_sent=False, detail="refused")
                caller.balancer.record_failure(self.now, name, fault)
            else:
                caller.balancer.record_answer(self.now, name, target.signal(), None)
            if len(tried) + 1 < MAX_ATTEMPTS:
                self.send_call(caller, request_started_at, (*tried, name))

        def handle_answer() -> None:
            caller.in_flight[name] -= 1
            latency = self.now - sent_at
            caller.balancer.record_answer(self.now, name, target.signal(), latency)
            self.latencies.append(self.now - request_started_at)

        def arrive_at_target() -> None:
            if target.dead or target.shedding or len(target.queue) >= MAX_QUEUE:
                self.schedule_at(self.now + one_way_latency_s, handle_refusal)
            else:
                target.queue.append(
                    lambda: self.schedule_at(
                        self.now + one_way_latency_s, handle_answer
                    )
                )
                self.start_queued_calls(target)

        self.schedule_at(self.now + one_way_latency_s, arrive_at_target)

    def start_queued_calls(self, target: SimulatedTarget) -> None:
        while target.queue and target.running < target.slots:
            send_answer = target.queue.popleft()
            target.running += 1
            mean = SERVICE_S * target.slowdown
            if self.now < target.warmup_until:
                mean *= 5
            service_time = self.rng.expovariate(1 / mean)
            self.schedule_at(
                self.now + service_time,
                lambda send_answer=send_answer: self.finish_call(target, send_answer),
            )

    def finish_call(
        self, target: SimulatedTarget, send_answer: Callable[[], None]
    ) -> None:
        target.running -= 1
        send_answer()
        self.start_queued_calls(target)

    def run(self) -> None:
        self.schedule_at(0.0, self.generate_requests)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def schedule_fault(
        self, begin: Callable[[], None], end: Callable[[], None]
    ) -> None:
        self.schedule_at(FAULT_AT, begin)
        self.schedule_at(FAULT_AT + FAULT_S, end)


EQUAL_SLOTS = (20,) * 6
UNEQUAL_SLOTS = (35, 35, 20, 10, 10, 10)


def equal_targets(simulation: Simulation) -> None:
    """Equal targets."""


def one_slow(simulation: Simulation) -> None:
    """One of six is 5 times slower for 10 s."""
    target = simulation.targets["t0"]
    simulation.schedule_fault(
        lambda: setattr(target, "slowdown", 5.0),
        lambda: setattr(target, "slowdown", 1.0),
    )


def half_restarted(simulation: Simulation) -> None:
    """Half restart and are 5 times slower for 5 s."""

    def restart() -> None:
        for name in ("t0", "t1", "t2"):
            target = simulation.targets[name]
            target.incarnation += 1
            target.warmup_until = simulation.now + 5.0

    simulation.schedule_at(FAULT_AT, restart)


def one_shedding(simulation: Simulation) -> None:
    """One of six sheds all calls for 10 s."""
    target = simulation.targets["t0"]
    simulation.schedule_fault(
        lambda: setattr(target, "shedding", True),
        lambda: setattr(target, "shedding", False),
    )


def one_dead(simulation: Simulation) -> None:
    """One of six is dead for 10 s."""
    target = simulation.targets["t0"]
    simulation.schedule_fault(
        lambda: setattr(target, "dead", True), lambda: setattr(target, "dead", False)
    )


def skewed_load(simulation: Simulation) -> None:
    """One domain sends 80 in 100 of the calls."""
    simulation.weights = {"a": 8.0, "b": 1.0, "c": 1.0}


class Case(NamedTuple):
    """A scenario, the slots of its targets and the load relative to capacity."""

    scenario: Callable[[Simulation], None]
    slots: tuple[int, ...]
    load: float
    name: str = ""
    callers_per_domain: int = CALLERS_PER_DOMAIN


CASES = (
    Case(equal_targets, EQUAL_SLOTS, 0.7),
    Case(equal_targets, UNEQUAL_SLOTS, 0.8, "Slots 35, 35, 20, 10, 10, 10, load 80%."),
    Case(one_slow, EQUAL_SLOTS, 0.6),
    Case(half_restarted, EQUAL_SLOTS, 0.5),
    Case(one_shedding, EQUAL_SLOTS, 0.6),
    Case(one_dead, EQUAL_SLOTS, 0.6),
    Case(skewed_load, EQUAL_SLOTS, 0.7),
    Case(
        one_slow, EQUAL_SLOTS, 0.6, "One of six is 5 times slower, 1800 callers.", 600
    ),
    Case(one_dead, EQUAL_SLOTS, 0.6, "One of six is dead, 1800 callers.", 600),
    Case(
        equal_targets,
        UNEQUAL_SLOTS,
        0.8,
        "Slots 35 to 10, load 80%, 1800 callers.",
        600,
    ),
)
POLICIES = ("random", "round robin", "least in flight", "router")


def percentile(values: list[float], fraction: float) -> float:
    return sorted(values)[int(fraction * (len(values) - 1))] * 1000


def measure(case: Case, policy: str):
    simulation = Simulation(policy=policy, case=case)
    case.scenario(simulation)
    simulation.run()
    num_in_time = sum(latency <= DEADLINE_S for latency in simulation.latencies)
    name = case.name or (case.scenario.__doc__ or "").strip()
    return (
        name,
        policy,
        percentile(simulation.latencies, 0.5),
        percentile(simulation.latencies, 0.99),
        100 * num_in_time / simulation.num_sent,
    )


def measure_decision_cost(count: int) -> tuple[float, float]:
    """Return microseconds to choose a target, and to record a send and an answer."""
    targets = {
        f"t{number}": SimulatedTarget(name="", domain=DOMAINS[number % 3], slots=50)
        for number in range(count)
    }
    caller = Caller(
        policy="router", domain="a", targets=targets, rng=random.Random(1), number=0
    )
    balancer = caller.balancer
    repetitions = 20_000
    names = [f"t{number % count}" for number in range(repetitions)]
    started_at = time.process_time()
    for name in names:
        balancer.record_send(1.0, name)
        balancer.record_answer(1.0, name, NO_SIGNAL, 0.02)
    recorded_at = time.process_time()
    for _ in range(repetitions):
        balancer.choose(1.0, level=1000)
    chosen_at = time.process_time()
    return (chosen_at - recorded_at) / repetitions * 1e6, (
        recorded_at - started_at
    ) / repetitions * 1e6


def main() -> None:
    """Print the tables."""
    rows = [measure(case, policy) for case in CASES for policy in POLICIES]
    headers = ("scenario", "policy", "p50 ms", "p99 ms", "within 250 ms %")
    print(tabulate(rows, headers=headers, floatfmt=".2f", tablefmt="github"))
    costs = [(count, *measure_decision_cost(count)) for count in (3, 9, 100)]
    headers = ("targets", "choose us", "sent+answered us")
    print(tabulate(costs, headers=headers, floatfmt=".1f", tablefmt="github"))


if __name__ == "__main__":
    main()

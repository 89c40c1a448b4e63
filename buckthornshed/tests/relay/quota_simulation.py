"""A fleet of relays that keep a quota, in virtual time with cuts and restarts."""

import heapq
from itertools import count
from random import Random

from buckthornshed.coordination.workspaces.token_bucket import TokenBucket
from buckthornshed.protocol.quota_messages import (
    QuotaGrant,
    QuotaLow,
    QuotaQuestion,
    QuotaUse,
)
from buckthornshed.state.catalog import Catalog, Limits
from buckthornshed.state.generation import Generation
from buckthornshed.state.workspaces import Quota, Workspace
from buckthornshed.transport.relay.workspaces.quota_exchange import QuotaExchange

NAME = "yard"
WINDOW_S = 5.0
OVER = 0.25
SLACK = 20.0
TICK_S = 0.025
TICKS_PER_REFRESH = 8
MESSAGE_DELAY_S = (0.0004, 0.003)
DETECTION_S = 1.0
"""Time after which a relay notices that it cannot reach another one."""


class Session:
    """What a relay knows of the connection that a message came on."""

    def __init__(self, instance, reply):
        self.instance: str = instance
        self.send = reply


class Links:
    """Connections of one simulated relay."""

    def __init__(self, node):
        self.node = node

    def send(self, instance, message):
        fleet = self.node.fleet
        if not fleet.notices_reachable(self.node.instance, instance):
            return False
        self.node.fleet.messages += 1
        fleet.deliver(self.node.instance, instance, message)
        return True

    def broadcast(self, message):
        for instance in self.node.fleet.nodes:
            if instance != self.node.instance:
                self.send(instance, message)


class Node:
    """A relay; `up` is false while it is stopped, `frozen` while it does not run."""

    def __init__(self, fleet, instance):
        self.fleet = fleet
        self.instance = instance
        self.up = True
        self.frozen = False
        self.started_at = float("-inf")
        self.forget()

    def forget(self):
        fleet, instance = self.fleet, self.instance
        self.ticks = 0
        self.quotas = QuotaExchange(
            instance=instance,
            links=Links(self),
            is_reachable=lambda each: fleet.notices_reachable(instance, each),
            clock=lambda: fleet.now,
        )
        self.configure()

    def configure(self):
        instances = sorted(self.fleet.nodes or [self.instance])
        self.quotas.set_instances(instances)
        self.quotas.configure(self.fleet.catalog())

    def tick(self):
        if self.up and not self.frozen:
            self.ticks += 1
            self.quotas.tick(self.fleet.now)
            if self.ticks % TICKS_PER_REFRESH == 0:
                self.quotas.refresh(self.fleet.now)
        self.fleet.after(TICK_S, self.tick)

    def request(self):
        if not self.up or self.frozen:
            return
        fleet = self.fleet
        fleet.asked.append(fleet.now)

        def decide(verdict):
            if verdict.granted:
                fleet.admitted.append(fleet.now)
            else:
                fleet.refused.append((fleet.now, verdict.retry_after))

        self.quotas.submit(NAME, decide)

    def receive(self, sender, message):
        reply = Session(sender, lambda m: self.fleet.deliver(self.instance, sender, m))
        if isinstance(message, QuotaUse):
            self.quotas.record_use(reply, message)
        elif isinstance(message, QuotaQuestion):
            self.quotas.answer(reply, message)
        elif isinstance(message, QuotaGrant):
            self.quotas.record_grant(message)
        elif isinstance(message, QuotaLow):
            self.quotas.record_low(message)


class QuotaFleet:
    """Relays whose clients send requests of one workspace."""

    def __init__(self, *, size, quota, seed):
        self.rng = Random(seed)
        self.now = 0.0
        self.events: list = []
        self.order = count()
        self.quota = quota
        self.messages = 0
        self.asked: list[float] = []
        self.admitted: list[float] = []
        self.refused: list[tuple[float, float]] = []
        self.group_of: dict[str, int] = {}
        self.cut_at = 0.0
        self.nodes: dict[str, Node] = {}
        self.link_delay = 0.0  # Seconds until a restarted relay has its links.
        instances = [f"10.0.0.{number}" for number in range(size)]
        for instance in instances:
            self.nodes[instance] = Node(self, instance)
        for node in self.nodes.values():
            node.configure()
            self.after(self.rng.uniform(0.0, TICK_S), node.tick)

    def catalog(self):
        return Catalog(
            Generation(1), {}, (), Limits(), {NAME: Workspace(NAME, None, self.quota)}
        )

    def after(self, delay, action):
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def connected(self, one, other):
        same = self.group_of.get(one, 0) == self.group_of.get(other, 0)
        return same and self.nodes[other].up and self.linked(one, other)

    def linked(self, one, other):
        nodes = filter(None, map(self.nodes.get, (one, other)))
        return all(self.now >= node.started_at + self.link_delay for node in nodes)

    def notices_reachable(self, one, other):
        same = self.group_of.get(one, 0) == self.group_of.get(other, 0)
        noticed = self.now - self.cut_at > DETECTION_S
        up = self.nodes[other].up and self.linked(one, other)
        return up and (same or not noticed)

    def deliver(self, sender, receiver, message):
        node = self.nodes[receiver]
        if not self.connected(sender, receiver):
            return

        def receive():
            if node.frozen:
                self.after(TICK_S, receive)
            elif node.up and self.connected(sender, receiver):
                node.receive(sender, message)

        self.after(self.rng.uniform(*MESSAGE_DELAY_S), receive)

    # Load and faults.

    def load(self, rates, begin, end):
        """Let the clients at each relay send at a rate, in requests per second."""
        for instance, rate in rates.items():
            if rate > 0.0:
                self.after(
                    begin - self.now + self.rng.expovariate(rate),
                    lambda i=instance, r=rate: self._arrive(i, r, end),
                )

    def even_load(self, rate, begin, end):
        self.load(dict.fromkeys(self.nodes, rate / len(self.nodes)), begin, end)

    def load_at_one(self, rate, begin, end):
        self.load({next(iter(self.nodes)): rate}, begin, end)

    def _arrive(self, instance, rate, end):
        if self.now >= end:
            return
        self.nodes[instance].request()
        self.after(
            self.rng.expovariate(rate), lambda: self._arrive(instance, rate, end)
        )

    def cut(self, share):
        """Separate a part of the relays from the others."""
        names = list(self.nodes)
        part = names[: max(1, int(share * len(names)))]
        self.group_of = dict.fromkeys(part, 1)
        self.cut_at = self.now

    def heal(self):
        self.group_of = {}

    def restart(self, instance, seconds):
        """Kill a relay and start it again after some time."""
        node = self.nodes[instance]
        node.up = False

        def start():
            node.started_at = self.now
            node.forget()
            node.up = True

        self.after(seconds, start)

    def restart_all(self, seconds):
        for instance in self.nodes:
            self.restart(instance, seconds)

    def freeze(self, instance, seconds):
        node = self.nodes[instance]
        node.frozen = True
        self.after(seconds, lambda: setattr(node, "frozen", False))

    def owner(self):
        return next(iter(self.nodes.values())).quotas.owners.owner(NAME)

    def set_quota(self, quota):
        self.quota = quota
        for node in self.nodes.values():
            node.configure()

    # Results.

    def most_in_a_window(self, *, since=0.0):
        """Return the most requests that were admitted in any window."""
        times = [each for each in self.admitted if each >= since]
        most, first = 0, 0
        for last, time in enumerate(times):
            while times[first] < time - WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most

    def usable_part(self):
        """Return the admitted requests over those that one exact bucket would admit."""
        quota = self.quota
        bucket = TokenBucket(
            rate=quota.rate,
            capacity=quota.burst,
            level=quota.burst,
            now=self.asked[0],
        )
        exact = sum(bucket.take(time) for time in self.asked)
        return len(self.admitted) / exact


def bound(quota):
    """Return the most requests that the users allow in a window."""
    return (quota.rate * WINDOW_S + quota.burst) * (1.0 + OVER) + SLACK


def make_quota(rate):
    return Quota(float(rate), float(rate))

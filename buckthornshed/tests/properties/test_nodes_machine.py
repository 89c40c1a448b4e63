"""State machine test of retry bounds, at-most-once execution and reported outcomes.

The machine runs the decision logic of several nodes, applications that make and repeat
downstream calls, and clients that repeat requests with their keys at other nodes. The
scheduler delays, reorders and loses messages and delivers answers twice. It also
freezes, partitions, drains, kills and replaces nodes.
"""

import random
from collections import Counter

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from buckthornshed.coordination.actions import (
    CancelLocalCall,
    CancelPeerCall,
    Reply,
    SendPeerCall,
    StartLocalCall,
)
from buckthornshed.coordination.entry.allowance import AllowanceAccount
from buckthornshed.coordination.knowledge.view import View
from buckthornshed.coordination.node import NodeCore
from buckthornshed.coordination.outcomes.idempotency import KeyTable
from buckthornshed.coordination.outcomes.invocation_outcomes import SendHistory
from buckthornshed.coordination.outcomes.keys import generate_client_key
from buckthornshed.protocol.http import IDEMPOTENCY_KEY_HEADER, Request
from buckthornshed.protocol.messages import Fault
from buckthornshed.protocol.outcome import Outcome

from ..small_set import small_set

WALL = 1.7e9
LONG_AGO_S = 1e4
CLOCK_BOUND_S = 0.5
ALLOWANCE = 2
NAMES = ("booking-1", "booking-2", "stables-1", "stables-2")
PARTITION_SIDES = (
    frozenset({"booking-1", "stables-1"}),
    frozenset({"booking-2", "stables-2"}),
)
INDEX = st.integers(min_value=0, max_value=2**16)
ELAPSED_S = st.sampled_from([0.01, 0.05, 0.3, 0.9, 0.9, 3.0])
MOSTLY_TRUE = st.sampled_from([True, True, True, False])
STATUS = st.sampled_from([200, 200, 200, 503])
DOWNSTREAM_REQUESTS = ((b"POST", b"/reservations"), (b"GET", b"/stalls"))
MESSAGE_FAULTS = st.sampled_from(["lose", "lose", "duplicate"])
NODE_FAULTS = st.sampled_from(["freeze", "freeze", "kill", "replace", "cut", "drain"])


def two_bookings_set():
    """Return the small set with a second booking target and retries of bookings."""
    objects = small_set()
    objects["shift"].clear()
    one = objects["target"]["booking-1"]
    objects["target"]["booking-2"] = one.copy()
    objects["target"]["booking-2"]["address"] = "127.0.0.1:21009"
    book = objects["route"]["book"]
    book["retry"] = "some"
    objects["route"]["reserve"] = book.copy()
    objects["route"]["reserve"]["service"] = "stables"
    objects["route"]["reserve"]["path"] = "/reservations"
    return objects


class Node:
    """One incarnation of a node: its decision logic and its clock."""

    def __init__(self, machine, name, started):
        self.machine = machine
        self.name = name
        self.offset = machine.offsets[name]
        self.frozen = False
        self.core = NodeCore(
            name=name,
            domain="east",
            rng=machine.rng,
            now=machine.now,
            incarnation=int((started + self.offset) * 1e9),
            drain_s=10.0,
        )
        view = View(name=name, generation=1, objects=machine.objects)
        self.core.configure(machine.now, started + self.offset, view)

    @property
    def clocks(self):
        return self.machine.now, WALL + self.machine.now + self.offset

    @property
    def alive(self):
        return self.machine.nodes.get(self.name) is self


class Message:
    """A message in transit to a node; a failure is reported to the waiting side."""

    def __init__(self, sender, receiver, event, exchange=None, *, duplicable=False):
        self.sender = sender
        self.receiver = receiver
        self.event = event
        self.exchange = exchange
        self.duplicable = duplicable


class Nodes(RuleBasedStateMachine):
    @initialize(seed=st.integers(min_value=0, max_value=2**32))
    def start(self, seed):
        self.rng = random.Random(seed)
        self.now = 1.0
        self.objects = two_bookings_set()
        half = CLOCK_BOUND_S / 2
        self.offsets = {name: self.rng.uniform(-half, half) for name in NAMES}
        self.nodes = {}
        for name in NAMES:
            self.nodes[name] = Node(self, name, WALL - LONG_AGO_S)
        self.messages = []
        self.running = []
        self.sends: Counter[bytes] = Counter()
        self.starts: Counter[bytes] = Counter()
        self.downstream_calls: Counter[bytes] = Counter()
        self.unanswered: set[tuple[int, bytes]] = set()
        self.ran: Counter[tuple[str, bytes]] = Counter()
        self.tokens = iter(range(1, 10**9))
        self.waiting = {}
        self.clients = []
        self.partitioned = False
        for _ in range(3):
            self.settle_ownership(WALL - LONG_AGO_S)

    def settle_ownership(self, wall):
        """Let all owners exchange queries at once, as of the start of the nodes."""
        for node in self.nodes.values():
            query = node.core.owner.query()
            for peer in node.core.owner.peers():
                reply = query and self.nodes[peer].core.owner.answer_query(query)
                if reply is not None:
                    node.core.owner.receive_reply(wall + node.offset, reply)

    # Execution of the actions of nodes.

    def carry_out(self, node, actions):
        for action in actions:
            match action:
                case SendPeerCall():
                    self.send(node, action)
                case CancelPeerCall():
                    for other in self.nodes.values():
                        self.cancel(node, other, action.exchange)
                case StartLocalCall():
                    self.begin(node, action)
                case CancelLocalCall():
                    self.running = [
                        run
                        for run in self.running
                        if (run[0], run[1].exchange) != (node, action.exchange)
                    ]
                case Reply():
                    self.waiting.pop((node, action.token))(action.answer)

    def send(self, node, action):
        context = action.call.context
        self.sends[context.request_id] += 1
        assert self.sends[context.request_id] <= self.max_sends(context.request_id)
        receiver = self.nodes.get(action.target)
        token = next(self.tokens)

        def arrive(receiver):
            self.waiting[receiver, token] = answered
            return receiver.core.peer_call(*receiver.clocks, token, action.call)

        def answered(answer):
            self.messages.append(
                Message(
                    receiver,
                    node,
                    lambda back: back.core.peer_answered(*back.clocks, answer),
                    action.exchange,
                    duplicable=True,
                )
            )

        self.messages.append(Message(node, receiver, arrive, action.exchange))

    def cancel(self, node, other, exchange):
        def arrive(receiver):
            token = receiver.core.peer_tokens.get(exchange)
            if token is None:
                return []
            self.waiting.pop((receiver, token), None)
            return receiver.core.caller_disconnected(*receiver.clocks, token)

        self.messages.append(Message(node, other, arrive))

    def begin(self, node, action):
        call = action.call
        work_id = call.path.rpartition(b"/")[2]
        request_id = call.context.request_id
        self.starts[request_id] += 1
        assert self.starts[request_id] <= self.max_sends(request_id)
        assert request_id not in self.reported_not_run(), (
            "ran after it was reported as not run"
        )
        if call.method == b"POST":
            self.ran[call.service, work_id] += 1
            assert self.ran[call.service, work_id] <= 1, "ran twice"
        self.running.append((node, action, work_id))

    def max_sends(self, request_id):
        """Return the maximum number of sends: each call once plus all allowances."""
        known = [c for c in self.clients if c["request_id"] == request_id]
        return max(1, len(known)) * (1 + ALLOWANCE) + self.downstream_calls[request_id]

    def reported_not_run(self):
        return {
            c["request_id"] for c in self.clients if c["outcome"] is Outcome.NOT_RUN
        }

    def report_fault(self, message):
        """Report a broken connection to the side that waits for the answer."""
        waiting = message.receiver if message.duplicable else message.sender
        if message.exchange is None or waiting is None or not waiting.alive:
            return
        fault = Fault(message.exchange, True, "lost")
        self.messages.append(
            Message(
                None,
                waiting,
                lambda node: node.core.peer_failed(*node.clocks, fault),
                duplicable=True,
            )
        )

    # Scheduling and faults.

    def deliverable(self):
        def passes(message):
            endpoints = (message.sender, message.receiver)
            names = {end.name for end in endpoints if end is not None}
            separated = self.partitioned and not any(
                names <= side for side in PARTITION_SIDES
            )
            receiver = message.receiver
            return not separated and not (receiver is not None and receiver.frozen)

        return [message for message in self.messages if passes(message)]

    @precondition(lambda self: self.deliverable())
    @rule(index=INDEX)
    def deliver(self, index):
        self.deliver_one(self.pick(self.deliverable(), index))

    @precondition(lambda self: self.deliverable())
    @rule(index=INDEX, count=st.integers(min_value=2, max_value=12))
    def deliver_some(self, index, count):
        for _ in range(count):
            if found := self.deliverable():
                self.deliver_one(self.pick(found, index))

    def deliver_one(self, message):
        self.messages.remove(message)
        receiver = message.receiver
        if receiver is None or not receiver.alive:
            self.report_fault(message)
            return
        self.carry_out(receiver, message.event(receiver))

    @precondition(lambda self: self.messages)
    @rule(index=INDEX, kind=MESSAGE_FAULTS, reported=MOSTLY_TRUE)
    def inject_message_fault(self, index, kind, reported):
        message = self.pick(self.messages, index)
        if kind == "duplicate" and message.duplicable:
            self.messages.append(message)
        if kind == "lose":
            self.messages.remove(message)
            if reported:
                self.report_fault(message)

    @staticmethod
    def pick(items, index):
        return items[index % len(items)]

    @rule(seconds=ELAPSED_S)
    def pass_time(self, seconds):
        self.now += seconds
        for node in list(self.nodes.values()):
            if not node.frozen:
                self.carry_out(node, node.core.tick(*node.clocks))
                if not node.core.pause.fresh:
                    node.core.refreshed(self.now)

    @rule(what=NODE_FAULTS, name=st.sampled_from(NAMES))
    def inject_node_fault(self, what, name):
        node = self.nodes.get(name)
        if what == "cut":
            self.partitioned = not self.partitioned
        elif what == "replace" and node is None:
            self.nodes[name] = Node(self, name, WALL + self.now)
        elif node is not None and what == "freeze":
            node.frozen = not node.frozen
        elif node is not None and what == "drain":
            node.core.stop(self.now)
        elif node is not None and what == "kill":
            del self.nodes[name]
            lost = [message for message in self.messages if message.sender is node]
            self.messages = [m for m in self.messages if m.sender is not node]
            for message in lost:
                self.report_fault(message)
            self.running = [run for run in self.running if run[0] is not node]

    @rule()
    def exchange_owner_queries(self):
        for node in self.nodes.values():
            query = node.core.owner.query()
            for peer in node.core.owner.peers() if query else ():
                self.send_owner_query(node, self.nodes.get(peer), query)

    def send_owner_query(self, node, other, query):
        def reported(reply, back):
            back.core.owner.receive_reply(back.clocks[1], reply)
            return []

        def asked(receiver):
            reply = receiver.core.owner.answer_query(query)
            event = lambda back: reported(reply, back)  # noqa: E731
            self.messages.append(Message(receiver, node, event, duplicable=True))
            return []

        self.messages.append(Message(node, other, asked))

    # Behavior of applications and clients.

    @precondition(lambda self: self.running)
    @rule(index=INDEX, status=STATUS)
    def finish(self, index, status):
        run = self.pick(self.running, index)
        node, action, _ = run
        if node.frozen:
            return
        self.running.remove(run)
        actions = node.core.target_answered(
            *node.clocks, action.exchange, status, (), b"ok"
        )
        self.carry_out(node, actions)

    @precondition(lambda self: self.running)
    @rule(index=INDEX, what=st.sampled_from(DOWNSTREAM_REQUESTS))
    def call_downstream(self, index, what):
        node, action, work_id = self.pick(self.running, index)
        if node.frozen or action.call.service != "booking":
            return
        method, path = what
        token = next(self.tokens)
        call_id = (action.exchange, path)
        if call_id not in self.unanswered:
            self.unanswered.add(call_id)
            self.downstream_calls[action.call.context.request_id] += 1

        def answered(answer):
            if answer.outcome is Outcome.COMPLETE:
                self.unanswered.discard(call_id)
            if answer.outcome is Outcome.NOT_RUN and method == b"POST":
                assert not self.ran["stables", work_id], (
                    "reported as not run, but had run"
                )

        self.waiting[node, token] = answered
        request = Request(method, path + b"/" + work_id, (), b"")
        self.carry_out(
            node,
            node.core.local_call(
                *node.clocks, token, action.exchange, "stables", request
            ),
        )

    @rule(index=INDEX, keyed=MOSTLY_TRUE)
    def request(self, index, keyed):
        wall = WALL + self.now + self.rng.uniform(-CLOCK_BOUND_S, CLOCK_BOUND_S) / 2
        key = generate_client_key(wall=wall, rng=self.rng) if keyed else None
        work_id = b"c%d" % len(self.clients)
        self.attempt(work_id, key, index)

    @precondition(lambda self: any(self.repeatable(c) for c in self.clients))
    @rule(index=INDEX, other=INDEX)
    def repeat(self, index, other):
        client = self.pick([c for c in self.clients if self.repeatable(c)], index)
        client["repeated"] = True
        self.attempt(client["work_id"], client["key"], other)

    @staticmethod
    def repeatable(client):
        has_key = client["key"] is not None
        return not client["repeated"] and (
            has_key or client["outcome"] is Outcome.NOT_RUN
        )

    def attempt(self, work_id, key, index):
        names = [name for name in ("booking-1", "booking-2") if name in self.nodes]
        node = self.nodes[self.pick(names, index)] if names else None
        if node is None or node.frozen:
            return
        client = {
            "work_id": work_id,
            "key": key,
            "outcome": None,
            "repeated": False,
            "request_id": None,
        }
        self.clients.append(client)
        token = next(self.tokens)

        def answered(answer):
            client["outcome"] = answer.outcome
            if answer.outcome is Outcome.NOT_RUN:
                ran = self.ran["booking", work_id]
                assert not (key is not None and ran), "reported as not run, but had run"
                assert not self.starts[client["request_id"]], (
                    "ran after it was reported as not run"
                )

        self.waiting[node, token] = answered
        headers = ((IDEMPOTENCY_KEY_HEADER, key.encode()),) if key else ()
        request = Request(b"POST", b"/bookings/" + work_id, headers, b"")
        now, wall = node.clocks
        actions = node.core.client_request(now, wall, token, request)
        pending = node.core.egress.pending.get(token)
        if pending is not None:
            client["request_id"] = pending.call.context.request_id
        self.carry_out(node, actions)


PROFILE = settings()
EXAMPLES = 60 if PROFILE.derandomize else PROFILE.max_examples

TestNodes = Nodes.TestCase
TestNodes.settings = settings(max_examples=EXAMPLES, stateful_step_count=60)


def ignore_repeated_keys(monkeypatch):
    monkeypatch.setattr(KeyTable, "answer_repeat", lambda self, text, fingerprint: None)


def report_not_run_always(monkeypatch):
    monkeypatch.setattr(
        SendHistory, "reported_outcome", property(lambda self: Outcome.NOT_RUN)
    )


def allow_unlimited_retries(monkeypatch):
    monkeypatch.setattr(AllowanceAccount, "spend", lambda self: True)


@pytest.mark.parametrize(
    "disable", [ignore_repeated_keys, report_not_run_always, allow_unlimited_retries]
)
def test_machine_fails_without_each_mechanism(disable, monkeypatch):
    disable(monkeypatch)
    search = settings(
        max_examples=4_000,
        stateful_step_count=60,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Nodes, settings=search)

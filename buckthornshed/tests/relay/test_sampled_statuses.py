"""Tests of admission in fleets in which a relay knows only a sample of the statuses."""

from collections import Counter
from random import Random

import pytest

from buckthornshed.coordination.relay.admission.controller import AdmissionController
from buckthornshed.coordination.relay.admission.fleet_load import serving_targets
from buckthornshed.transport.relay.fleet.status_exchange import (
    STATUS_RECIPIENTS,
    STATUS_RECIPIENTS_IN_CALM,
    UNLOADED_BROADCAST_INTERVAL,
)

from .makers import make_catalog
from .test_admission_shares import ROUTES, make_graph, status

RELAYS = 200
INTERVAL_S = 0.2
SERVICES = ("board", "booking", "farrier", "stables")
CAPACITY_OF_A_TARGET = 40.0
"""Calls per second, of services other than `stables` much more."""


class SampledFleet:
    """Relays that send each status to some others in turn; a few of them decide."""

    def __init__(self, *, seed=1, deciding=8):
        self.rng = Random(seed)
        self.services = [SERVICES[n % len(SERVICES)] for n in range(RELAYS)]
        self.usable = Counter(self.services)
        self.next_recipient = [self.rng.randrange(RELAYS) for _ in range(RELAYS)]
        self.deciding = {n: self.controller() for n in range(deciding)}
        self.complete = self.controller()
        self.now = 0.0
        self.steps = 0

    def controller(self):
        controller = AdmissionController(graph=make_graph())
        controller.configure(make_catalog(routes=ROUTES))
        return controller

    def step(self, notices, *, busy):
        """Send the statuses of one interval; `notices` is the rate of all clients."""
        self.now += INTERVAL_S
        self.steps += 1
        for sender, service in enumerate(self.services):
            rate = notices / RELAYS * self.rng.uniform(0.5, 1.5)
            factor = 1.0 if service == "stables" else 100.0
            report = status(service, CAPACITY_OF_A_TARGET * factor, {"notices": rate})
            self.complete.report(self.now, str(sender), report)
            if sender in self.deciding:
                self.deciding[sender].report(self.now, str(sender), report)
            due = (self.steps + sender) % UNLOADED_BROADCAST_INTERVAL == 0
            if busy:
                self.send(sender, report, STATUS_RECIPIENTS)
            elif due:
                self.send(sender, report, STATUS_RECIPIENTS_IN_CALM)
        for controller in (self.complete, *self.deciding.values()):
            controller.update_shares(self.now, self.usable)

    def send(self, sender, report, recipients):
        begin = self.next_recipient[sender]
        for offset in range(recipients):
            recipient = (begin + offset) % RELAYS
            if recipient != sender and recipient in self.deciding:
                self.deciding[recipient].report(self.now, str(sender), report)
        self.next_recipient[sender] = (begin + recipients) % RELAYS

    @property
    def shares(self):
        return [each.shares.get("notices", 1.0) for each in self.deciding.values()]


def test_nothing_is_shed_in_calm_although_few_statuses_are_known():
    fleet = SampledFleet()
    for _ in range(40):
        fleet.step(150.0, busy=False)
        assert min(fleet.shares) == 1.0


def test_shares_of_all_relays_agree_soon_after_a_burst_begins():
    """Replays a burst of three times what the targets of one service can serve."""
    fleet = SampledFleet()
    for _ in range(20):
        fleet.step(150.0, busy=False)
    for _ in range(10):
        fleet.step(750.0, busy=True)
    share = fleet.complete.shares["notices"]
    assert share < 0.5
    assert fleet.shares == pytest.approx([share] * len(fleet.shares), rel=0.1)


def test_a_relay_that_has_just_started_does_not_shed_in_calm():
    fleet = SampledFleet()
    for _ in range(10):
        fleet.step(150.0, busy=False)
    fleet.deciding[0] = fleet.controller()
    for _ in range(10):
        fleet.step(150.0, busy=False)
        assert fleet.deciding[0].shares.get("notices", 1.0) == 1.0


def test_targets_without_a_report_fail_as_often_as_those_with_one():
    statuses = [status("stables", slots) for slots in (0.0, 50.0, 50.0, 50.0)]
    assert serving_targets(statuses, {"stables": 40})["stables"] == pytest.approx(30.0)
    assert serving_targets(statuses, {"stables": 4})["stables"] == 3.0
    assert serving_targets(statuses[:1], {"stables": 4})["stables"] == 3.0

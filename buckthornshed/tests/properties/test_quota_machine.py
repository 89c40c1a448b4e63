"""The quota of a workspace under any order of loads, cuts, restarts and freezes."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ..relay.quota_simulation import QuotaFleet, bound, make_quota

FILL_S = 10.0
MAX_LOAD_S = 4.0


class QuotaMachine(RuleBasedStateMachine):
    """Relays of one workspace; the quota holds in each window at any time."""

    fleet: QuotaFleet

    @initialize(
        size=st.sampled_from([2, 5, 12]),
        rate=st.sampled_from([5, 20, 100]),
        seed=st.integers(0, 1_000),
    )
    def start(self, size, rate, seed):
        self.fleet = QuotaFleet(size=size, quota=make_quota(rate), seed=seed)
        self.fleet.run(FILL_S)

    @rule(
        times=st.sampled_from([0.6, 1.2, 3.0, 5.0]), seconds=st.floats(0.2, MAX_LOAD_S)
    )
    def load_evenly(self, times, seconds):
        now = self.fleet.now
        self.fleet.even_load(times * self.fleet.quota.rate, now, now + seconds)
        self.fleet.run(now + seconds)

    @rule(times=st.sampled_from([0.6, 3.0]), seconds=st.floats(0.2, MAX_LOAD_S))
    def load_at_one(self, times, seconds):
        now = self.fleet.now
        self.fleet.load_at_one(times * self.fleet.quota.rate, now, now + seconds)
        self.fleet.run(now + seconds)

    @rule(seconds=st.floats(0.1, MAX_LOAD_S))
    def wait(self, seconds):
        self.fleet.run(self.fleet.now + seconds)

    @rule(share=st.sampled_from([0.2, 0.5]))
    def cut(self, share):
        self.fleet.cut(share)

    @rule()
    def heal(self):
        self.fleet.heal()

    @rule(number=st.integers(0, 11), seconds=st.floats(0.2, 2.0))
    def restart(self, number, seconds):
        names = list(self.fleet.nodes)
        self.fleet.restart(names[number % len(names)], seconds)

    @rule(seconds=st.floats(0.2, 2.0))
    def freeze_owner(self, seconds):
        self.fleet.freeze(self.fleet.owner(), seconds)

    @invariant()
    def the_quota_holds(self):
        if hasattr(self, "fleet"):
            assert self.fleet.most_in_a_window() <= bound(self.fleet.quota)


QuotaMachine.TestCase.settings = settings(max_examples=12, stateful_step_count=12)
test_the_quota_holds = QuotaMachine.TestCase

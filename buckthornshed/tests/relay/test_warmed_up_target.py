"""Tests of targets that have been slow for some seconds after their start."""

import asyncio
from random import Random

from buckthornshed.coordination.relay.placement.load_balancer import LoadBalancer

from .fleet import fleet_of, until
from .makers import make_route, make_target

ROUTE = make_route()


def choose(balancer, targets):
    return balancer.choose(1.0, ROUTE, targets).target


# Guards against a new target that gets no calls: the call times of its warm-up kept all
# callers away, so that nothing showed that it was no longer slow.
def test_a_target_is_chosen_again_after_its_warm_up():
    balancer = LoadBalancer(failure_domain="a", rng=Random(1))
    old, cold = make_target("t-1"), make_target("t-2", warmup_left=1.5)
    balancer.record(old).call_times["avail"] = 0.05
    balancer.record_load(1.0, balancer.record(old), 0.2)
    balancer.record(cold).call_times["avail"] = 0.5
    balancer.record_load(1.0, balancer.record(cold), 0.0)
    assert choose(balancer, [old, cold]).name == "t-1"
    warm = cold._replace(warmup_left=0.0, sequence=2)
    assert choose(balancer, [old, warm]).name == "t-2"


def test_call_times_of_a_target_without_a_warm_up_are_kept():
    balancer = LoadBalancer(failure_domain="a", rng=Random(1))
    balancer.record(make_target("t-1")).call_times["avail"] = 0.5
    later = make_target("t-1", sequence=2, slots=20)
    assert balancer.record(later).call_times == {"avail": 0.5}


def test_a_relay_forgets_the_call_times_of_the_warm_up_of_its_target():
    async def scenario():
        async with fleet_of(1) as fleet:
            [relay], [target] = fleet.relays, fleet.targets
            entry = relay.fleet_view.targets[target.name]
            relay.local_target.update_registration(entry._replace(warmup_left=1.5))
            assert (await fleet.ask(relay)).status == 200
            by_route = relay.local_target.limiter.call_times.by_route
            assert "avail" in by_route
            await fleet.register(target, "stalls", seq=2, slots=11)
            await until(lambda: relay.local_target.registration.sequence == 2)
            assert by_route == {}

    asyncio.run(scenario())

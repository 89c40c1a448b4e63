"""Tests of targets that never end the answer to a call which must not be repeated."""

import asyncio

from buckthornshed.transport.relay.target.local_target import MAX_OVERRUN_S

from .fleet import ManualClock, fleet_of, until

DEADLINE_S = 2.0
STEP_S = 0.1


def test_a_call_that_its_target_never_answers_frees_its_slot_after_the_deadline():
    async def scenario():
        clock = ManualClock()
        async with fleet_of(1, clock=clock, timeout=DEADLINE_S) as fleet:
            (relay,), (target,) = fleet.relays, fleet.targets
            target.scripts = ["hang"]
            asking = asyncio.ensure_future(fleet.ask(relay, "/book/1", body=b"x"))
            await until(lambda: target.ran)
            started = clock()
            limiter = relay.local_target.limiter
            while limiter.running:
                assert clock() - started < DEADLINE_S + MAX_OVERRUN_S + 1.0
                clock.advance(STEP_S)
                await asyncio.sleep(0.03)
            assert clock() - started > DEADLINE_S + MAX_OVERRUN_S
            assert (await asking).status == 504
            await until(lambda: target.disconnected)

    asyncio.run(scenario())

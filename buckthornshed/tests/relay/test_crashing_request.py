"""Requests that end each target that runs them."""

import asyncio

import pytest

from buckthornshed.protocol.crash_messages import CrashNotice
from buckthornshed.state.generation import Generation

from .fleet import BORN, HOST, configuration, fleet_of, until

MAX_SENDS = 3
"""Sends that the users allow after a request has ended three targets."""
DEADLY = "/avail/deadly"


class Service:
    """Targets that end while they run one request, and start again."""

    def __init__(self, fleet, path=DEADLY):
        self.fleet = fleet
        self.path = path
        self.starts = 0
        self.sends = 0
        self.tasks = set()
        self.addresses = {target.address for target in fleet.targets}
        for target in fleet.targets:
            target.on_run = self.run

    @property
    def restarted(self):
        return not self.tasks

    async def run(self, target, path):
        if path != self.path:
            return
        self.sends += 1
        target.stop()
        task = asyncio.ensure_future(self.start_again(target))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        raise ConnectionError("the target ended")

    async def start_again(self, target):
        await asyncio.sleep(0.1)
        self.starts += 1
        host, _, port = target.address.rpartition(":")
        await target.open(host, int(port))
        born = BORN + self.starts * 1_000
        await self.fleet.register(target, "stalls", born=born)

    async def all_up(self):
        await until(lambda: self.restarted)
        await until(
            lambda: all(
                self.addresses == {t.address for t in relay.fleet_view.usable["stalls"]}
                and not relay.local_target.limiter.circuit_breaker.is_open(
                    self.fleet.clock()
                )
                for relay in self.fleet.relays
            )
        )


@pytest.mark.parametrize("path", ["/avail/deadly", "/book/deadly"])
def test_a_request_that_ended_three_targets_is_not_sent_on_by_any_relay(path):
    async def scenario():
        async with fleet_of(4) as fleet:
            service = Service(fleet, path)
            statuses = []
            for number in range(16):
                relay = fleet.relays[number % 4]
                sent = service.sends
                statuses.append((await fleet.ask(relay, path)).status)
                await service.all_up()
                if sent >= 3 and service.sends == sent:
                    assert statuses[-1] == 503
            others = [(await fleet.ask(relay)).status for relay in fleet.relays]
            return service.sends, others

    sends, others = asyncio.run(scenario())
    assert others == [200] * 4
    assert sends - 3 <= MAX_SENDS


async def end_three_targets(fleet, service):
    """Send the deadly request to one relay after the other until three have ended."""
    number = 0
    while service.sends < 3:
        await fleet.ask(fleet.relays[number % len(fleet.relays)], service.path)
        await service.all_up()
        number += 1


def test_a_relay_that_has_restarted_learns_of_the_quarantine():
    async def scenario():
        async with fleet_of(3) as fleet:
            service = Service(fleet)
            await end_three_targets(fleet, service)
            await fleet.restart(1)
            await fleet.wait_until_connected()
            suspects = fleet.relays[1].crash_reports.suspects
            await until(lambda: suspects.quarantines)
            response = await fleet.ask(fleet.relays[1], DEADLY)
            return service.sends, response

    sends, response = asyncio.run(scenario())
    assert (sends, response.status) == (3, 503)
    assert float(response.headers["retry-after"]) > 1.0


def test_a_relay_that_was_cut_off_at_the_crashes_learns_of_the_quarantine():
    async def scenario():
        async with fleet_of(4) as fleet:
            service = Service(fleet)
            cut_off = fleet.relays[3]
            apply = cut_off.peer_messages.session_handlers.pop(CrashNotice)
            number = 0
            while service.sends < 3:
                await fleet.ask(fleet.relays[number % 3], DEADLY)
                await service.all_up()
                number += 1
            assert not cut_off.crash_reports.suspects.active
            cut_off.peer_messages.session_handlers[CrashNotice] = apply
            for relay in fleet.relays[:3]:
                relay.links.links[cut_off.instance].abort()
            await until(lambda: cut_off.crash_reports.suspects.quarantines)
            response = await fleet.ask(cut_off, DEADLY)
            return service.sends, response.status

    assert asyncio.run(scenario()) == (3, 503)


def test_another_release_gets_the_request_again():
    async def scenario():
        async with fleet_of(3) as fleet:
            service = Service(fleet)
            await end_three_targets(fleet, service)
            assert (await fleet.ask(fleet.relays[0], DEADLY)).status == 503
            service.path = "/none"
            await fleet.register(
                fleet.targets[1], "stalls", born=BORN + 10**6, version="v2"
            )
            await until(
                lambda: all(
                    any(t.version == "v2" for t in relay.fleet_view.targets.values())
                    for relay in fleet.relays
                )
            )
            first = (await fleet.ask(fleet.relays[0], DEADLY)).status
            await until(
                lambda: all(
                    [release.version for release in quarantine.answered] == ["v2"]
                    for relay in fleet.relays
                    for quarantine in relay.crash_reports.suspects.quarantines.values()
                )
            )
            later = [(await fleet.ask(relay, DEADLY)).status for relay in fleet.relays]
            return first, later

    assert asyncio.run(scenario()) == (200, [200, 200, 200])


def test_requests_that_ran_beside_the_deadly_one_are_not_blamed():
    async def scenario():
        async with fleet_of(4) as fleet:
            service = Service(fleet)
            for target in fleet.targets:
                target.delay = 0.05
            statuses = []
            while service.sends < 3:
                beside = [
                    asyncio.ensure_future(fleet.ask(relay, f"/avail/{number}"))
                    for relay in fleet.relays
                    for number in range(3)
                ]
                await asyncio.sleep(0.02)
                await fleet.ask(fleet.relays[service.sends % 4], DEADLY)
                statuses += [each.status for each in await asyncio.gather(*beside)]
                await service.all_up()
            after = [
                (await fleet.ask(relay, f"/avail/{number}")).status
                for relay in fleet.relays
                for number in range(3)
            ]
            suspects = [relay.crash_reports.suspects for relay in fleet.relays]
            await until(lambda: all(each.quarantines for each in suspects))
            blamed = {name for each in suspects for name in each.quarantines}
            return after, blamed

    after, blamed = asyncio.run(scenario())
    assert after == [200] * 12
    assert len(blamed) == 1


@pytest.mark.parametrize("script", ["reset", "truncated"])
def test_targets_that_reset_or_lose_answers_blame_no_request(script):
    async def scenario():
        async with fleet_of(3) as fleet:
            for target in fleet.targets:
                target.scripts = [script] * 10
            for number in range(15):
                await fleet.ask(fleet.relays[number % 3], "/avail/harmless")
            return [relay.crash_reports.suspects.active for relay in fleet.relays]

    assert asyncio.run(scenario()) == [False] * 3


def test_a_nested_request_is_quarantined_and_its_parent_is_not():
    async def scenario():
        async with fleet_of(3) as fleet:
            service = Service(fleet)
            (front, front_target) = await fleet.add("front")
            await fleet.store.put("op/config", configuration(2, front="front"))
            await fleet.wait_until_connected()
            await until(lambda: front.fleet_view.catalog.generation == Generation(2))
            front_target.on_run = NestedCaller(fleet, front).run
            for _ in range(8):
                await fleet.ask(front, "/front/parent", deadline=2_000)
                await service.all_up()
            suspects = front.crash_reports.suspects
            deadly = front.crash_reports.fingerprint(
                f"GET {DEADLY} HTTP/1.1\r\nhost: {HOST}\r\n".encode(), b"", ""
            )
            return service.sends, list(suspects.quarantines) == [deadly]

    assert asyncio.run(scenario()) == (3, True)


class NestedCaller:
    """A target that sends the deadly request while it runs another one."""

    def __init__(self, fleet, relay):
        self.fleet = fleet
        self.relay = relay

    async def run(self, target, path):
        parent = target.ran[-1]
        await self.fleet.ask(self.relay, DEADLY, request_id=f"{parent}.1")

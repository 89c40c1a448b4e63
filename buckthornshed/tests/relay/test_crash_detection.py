import asyncio

import pytest

from buckthornshed.coordination.relay.crashes.fingerprints import request_fingerprint

from .fleet import fleet_of, until

HEAD = b"GET /avail/1 HTTP/1.1\r\nhost: a.example\r\nrequest-id: 1"


def test_equal_content_has_the_same_fingerprint_at_any_relay():
    other = HEAD.replace(b"request-id: 1", b"request-id: 2\r\ncaller-service: farrier")
    assert request_fingerprint(HEAD, b"x", b"credential") == request_fingerprint(
        other, b"x", b"credential"
    )


@pytest.mark.parametrize(
    ("old", "new", "body"),
    [
        (b"/avail/1", b"/avail/2", b""),
        (b"GET", b"PUT", b""),
        (b"a.example", b"b.example", b""),
        (b"request-id", b"credential: k\r\nrequest-id", b""),
        (b"", b"", b"body"),
    ],
)
def test_other_content_has_another_fingerprint(old, new, body):
    other = request_fingerprint(HEAD.replace(old, new, 1), body, b"credential")
    assert other != request_fingerprint(HEAD, b"", b"credential")


def test_a_target_that_ends_while_it_runs_a_call_is_counted():
    async def scenario():
        async with fleet_of(1) as fleet:
            fleet.targets[0].scripts = ["hang"]
            asked = asyncio.ensure_future(fleet.ask(fleet.relays[0]))
            await until(lambda: fleet.targets[0].running == 1)
            fleet.targets[0].stop()
            response = await asked
            return response.status, fleet.relays[0].counts

    status, counts = asyncio.run(scenario())
    assert status == 502
    assert counts.target_crashes == 1
    assert counts.calls == {("crashed",): 1}


@pytest.mark.parametrize("script", ["reset", "truncated"])
def test_a_target_that_breaks_a_connection_has_not_crashed(script):
    async def scenario():
        async with fleet_of(1) as fleet:
            fleet.targets[0].scripts = [script]
            response = await fleet.ask(fleet.relays[0])
            return response.status, fleet.relays[0].counts

    status, counts = asyncio.run(scenario())
    assert status == 502
    assert counts.target_crashes == 0
    assert counts.calls == {("lost",): 1}


def test_a_target_that_was_leaving_has_not_crashed():
    async def scenario():
        async with fleet_of(1) as fleet:
            (target,) = fleet.targets
            target.scripts = ["hang"]
            asked = asyncio.ensure_future(fleet.ask(fleet.relays[0]))
            await until(lambda: target.running == 1)
            await fleet.register(target, "stalls", state="draining", seq=2)
            await until(lambda: fleet.relays[0].local_target.draining)
            target.stop()
            await asked
            return fleet.relays[0].counts.target_crashes

    assert asyncio.run(scenario()) == 0

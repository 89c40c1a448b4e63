"""Tests of requests around a planned stop of the relay that they are sent to."""

import asyncio
import contextlib
from typing import Any, NamedTuple

import pytest

from buckthornshed.transport.relay.logs.log_buffer import LogBuffer
from buckthornshed.transport.relay.process import RelayProcess

from ..relay.fleet import HOST, Response, configuration, read_response
from ..relay.standin_target import StandinTarget
from .fleet import run, simulated_fleet

GRACE_S = 6.0
INTERVAL_S = 0.1
DEADLINE_MS = 8_000
BODY_S = 1.0
BODY_PARTS = 10


class Outcome(NamedTuple):
    """A request and its answer; times are in seconds from SIGTERM."""

    request_id: str
    sent: float
    answered: float
    status: int
    signed: bool


def request_bytes(request_id, path, *, length=0):
    """Return the head of a request, and its body unless that follows."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


def outcome_of(request_id, answer, sent, answered):
    return Outcome(
        request_id=request_id,
        sent=sent,
        answered=answered,
        status=answer.status,
        signed="response-seal" in answer.headers,
    )


class SlowTarget(StandinTarget):
    """Works for `delay` seconds, at most until the deadline of the request."""

    async def _run(self, headers, body, reader, writer):
        self.time_left = int(headers["deadline-ms"]) / 1e3
        if self.time_left < self.delay:
            self.scripts.insert(0, "deadline")
        return await super()._run(headers, body, reader, writer)

    async def _work(self, script, request_id, reader):
        await asyncio.sleep(min(self.delay, self.time_left))


class CallingTarget(SlowTarget):
    """Makes a call through its own relay while it runs a request of a client.

    Attributes
    ----------
    statuses : list of int
        Statuses of the answers to its calls.
    """

    def __init__(self, name):
        super().__init__(name)
        self.statuses = []

    async def _work(self, script, request_id, reader):
        await super()._work(script, request_id, reader)
        if "." in request_id:
            return
        host = self.address.rpartition(":")[0]
        nested_reader, writer = await asyncio.open_connection(host, 8304)
        writer.write(request_bytes(f"{request_id}.1", "/book/1"))
        answer = await read_response(nested_reader)
        writer.close()
        self.statuses.append(answer.status)


async def ask(fleet, instance, begun, number, path):
    """Send a request on a new connection; return None if nothing answers."""
    loop = fleet.loop
    request_id = f"r-{number}"
    sent = loop.now - begun
    try:
        reader, writer = await asyncio.open_connection(instance.host, 8304)
    except OSError:
        return None
    writer.write(request_bytes(request_id, path))
    answer = await read_response(reader)
    writer.close()
    return outcome_of(request_id, answer, sent, loop.now - begun)


async def ask_slowly(fleet, instance, begun, number, path):
    """Send a request whose body takes a second to arrive."""
    loop = fleet.loop
    request_id = f"r-{number}"
    try:
        reader, writer = await asyncio.open_connection(instance.host, 8304)
    except OSError:
        return None
    writer.write(request_bytes(request_id, path, length=BODY_PARTS))
    for _ in range(BODY_PARTS):
        await asyncio.sleep(BODY_S / BODY_PARTS)
        writer.write(b"x")
    sent = loop.now - begun
    try:
        answer = await read_response(reader)
    except (asyncio.IncompleteReadError, ConnectionError):
        # The process had ended before the whole request was sent.
        assert instance.relay is None
        assert instance.ended_at <= begun + sent
        return None
    writer.close()
    return outcome_of(request_id, answer, sent, loop.now - begun)


async def ask_pipelined(fleet, instance, begun, number, path):
    """Send three requests at once on one connection; return how the first one ended.

    The later ones may be dropped or refused, but only if they are not passed on.
    """
    loop = fleet.loop
    sent = loop.now - begun
    try:
        reader, writer = await asyncio.open_connection(instance.host, 8304)
    except OSError:
        return None
    names = [f"r-{number}", f"r-{number}-b", f"r-{number}-c"]
    for request_id in names:
        writer.write(request_bytes(request_id, path))
    answers: list[Response] = []
    with contextlib.suppress(asyncio.IncompleteReadError):
        while len(answers) < len(names):
            answers.append(await read_response(reader))
    answered = [each.headers["request-id"] for each in answers]
    assert answered == names[: len(answers)]
    fleet.dropped.update(names[len(answers) :])
    fleet.dropped.update(
        each.headers["request-id"]
        for each in answers
        if "response-seal" not in each.headers
    )
    writer.close()
    return outcome_of(names[0], answers[0], sent, loop.now - begun)


async def stop(fleet, instance):
    """Stop a relay as SIGTERM does."""
    relay = instance.relay
    process = RelayProcess(
        relay=relay,
        reader=instance.reader,
        read_settings=lambda: relay.settings,
        ready_path=b"/ready",
        log_buffer=LogBuffer(descriptor=2),
    )
    await process._drain()
    instance.ended_at = fleet.loop.now
    instance.stop()


async def start_targets(fleet, work, make_target):
    targets = []
    for each in fleet.instances:
        target = make_target(each.name)
        target.delay = work
        await fleet.network.run_on(each.host, target.open(each.host, 8301))
        targets.append(target)
    return targets


async def play(
    work, *, send=ask, entry=0, make_target=SlowTarget, before=2 * GRACE_S
) -> tuple[list[Outcome], set[str]]:
    """Send requests around a planned stop; return their ends, and which ones ran.

    Instance 0 is stopped, and the requests are sent to instance `entry`, the first one
    `before` seconds before the stop.
    """
    async with simulated_fleet([3]) as fleet:
        fleet.dropped = set()
        fleet.listeners = configuration(timeout=DEADLINE_MS / 1e3)["listeners"]
        await fleet.publish()
        targets = await start_targets(fleet, work, make_target)
        await asyncio.sleep(5.0)
        stopped, asked_one = fleet.instances[0], fleet.instances[entry]
        loop, begun = fleet.loop, fleet.loop.now + before
        asked: list[asyncio.Task[Any]] = []

        async def send_requests(until):
            while loop.now < until:
                request = send(fleet, asked_one, begun, len(asked), "/book/1")
                asked.append(fleet.network.run_on(asked_one.host, request))
                await asyncio.sleep(INTERVAL_S)

        await send_requests(begun)
        stopping = fleet.network.run_on("", stop(fleet, stopped))
        await send_requests(begun + GRACE_S)
        outcomes = await asyncio.gather(*asked)
        await stopping
        ran = {request_id for target in targets for request_id in target.ran}
        assert not ran & fleet.dropped
        return [each for each in outcomes if each is not None], ran


def check_ends(outcomes, ran):
    """Check that requests that ran got the target's answer, and others a refusal."""
    during = [each for each in outcomes if each.sent >= 0.0]
    assert during
    passed_on = [each for each in during if each.request_id in ran]
    assert all(each.signed and each.answered < GRACE_S for each in passed_on)
    others = [each for each in during if each.request_id not in ran]
    assert {each.status for each in others} <= {503}


# Guards against cut requests: late ones were passed on and could not end in time.
@pytest.mark.parametrize("work", [0.1, 0.5, 1.0, 2.0, 2.8, 3.4, 4.0, 5.0])
def test_each_request_that_a_stopping_relay_passes_on_gets_its_answer(work):
    check_ends(*run(lambda: play(work)))


# Guards against answers at the deadline that the stop sets: the first requests of a
# route are passed on although they cannot end by then.
@pytest.mark.parametrize("work", [0.1, 1.0, 2.8, 3.4])
def test_the_first_requests_of_a_route_are_not_cut_by_the_deadline_of_a_stop(work):
    outcomes, ran = run(lambda: play(work, before=0.0))
    check_ends(outcomes, ran)
    assert all(each.status == 200 for each in outcomes if each.request_id in ran)


@pytest.mark.parametrize("work", [0.1, 1.0, 2.8, 3.4, 5.0])
@pytest.mark.parametrize("send", [ask_slowly, ask_pipelined])
def test_slow_bodies_and_pipelined_requests_are_not_cut_either(work, send):
    check_ends(*run(lambda: play(work, send=send)))


@pytest.mark.parametrize("work", [0.1, 1.0, 2.8, 3.4, 5.0])
def test_a_stop_of_the_relay_beside_a_target_cuts_no_call_of_others(work):
    outcomes, ran = run(lambda: play(work, entry=1))
    during = [each for each in outcomes if each.sent >= 0.0]
    assert {each.request_id for each in during} <= ran
    assert all(each.status == 200 for each in during)


@pytest.mark.parametrize("entry", [0, 1])
@pytest.mark.parametrize("work", [0.1, 0.5, 1.0])
def test_calls_of_targets_are_not_cut_by_a_stop(work, entry):
    targets = []

    def make_target(name):
        targets.append(CallingTarget(name))
        return targets[-1]

    outcomes, ran = run(lambda: play(work, entry=entry, make_target=make_target))
    if entry == 0:
        check_ends(outcomes, ran)
    else:
        assert {each.status for each in outcomes} == {200}
    assert all(set(each.statuses) == {200} for each in targets)


# Guards against refusals of requests that could end in time.
@pytest.mark.parametrize("work", [0.1, 0.5, 1.0, 2.0])
def test_a_stopping_relay_serves_clients_until_they_have_left(work):
    outcomes, _ = run(lambda: play(work))
    early = [each for each in outcomes if 0.0 <= each.sent < 2.5]
    assert {each.status for each in early} == {200}

"""Calls of targets whose identifiers say nothing, where workspaces have keys."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from buckthornshed.coordination.relay.runs.parent_runs import (
    LATE_CALL_S,
    CallOrigin,
    ParentRuns,
    Run,
    RunEnd,
)
from buckthornshed.platform.settings import parse_settings
from buckthornshed.protocol.relay_messages import CallMessage
from buckthornshed.transport.relay.relay import MAX_EARLIER_RUN_S

from .fleet import fleet_of, until
from .test_platform_documents import SETTINGS
from .test_workspaces import KEY, OTHER_KEY, UNKNOWN_KEY, ask, publish, received, tenant

HELD = [("Credential", KEY)]
OPAQUE_IDS = ["9c41d07be2a35f68", "a.b.c", "run", ".", "run-1.", "-", "run.1.x/y"]
STRANGERS = [[], [("Tenant", "yard")]]
UNKNOWN = [[("Credential", UNKNOWN_KEY)], [("Credential", "")], HELD * 2]


def run(scenario, relays=2):
    async def start():
        async with fleet_of(relays) as fleet:
            await publish(fleet, tenant("yard", KEY, priority=0))
            await scenario(fleet)

    asyncio.run(start())


@asynccontextmanager
async def run_in_progress(fleet, path="/book/1"):
    """Let the only target of a fleet run a request until the block ends."""
    (target,) = fleet.targets
    target.scripts = ["slow"]
    request = ask(fleet, fleet.relays[0], path, HELD, "run-1")
    task = asyncio.create_task(request)
    await until(lambda: "run-1" in target.ran)
    yield
    target.release.set()
    assert (await task).status == 200


# Guards against bookings that fail because the calls of their targets get 401: an
# identifier need not say which run made a call (review/15).
@pytest.mark.parametrize("request_id", OPAQUE_IDS)
def test_a_call_is_served_whatever_its_identifier_says(request_id):
    async def scenario(fleet):
        calls = []

        async def call(target, path):
            if path.startswith("/front/"):
                relay = fleet.relays[fleet.targets.index(target)]
                headers = [("Tenant", "forged")]
                calls.append(await ask(fleet, relay, "/avail/1", headers, request_id))

        for target in fleet.targets:
            target.on_run = call
        response = await ask(fleet, fleet.relays[0], "/front/1", HELD)
        assert response.status == 200
        assert [each.status for each in calls] == [200]
        called = [got for _, got, _ in received(fleet) if got[":path"] == "/avail/1"]
        assert [got["request-id"] for got in called] == [request_id]
        # A guess of its workspace would be an identity that targets rely on.
        assert "tenant" not in called[0]

    run(scenario)


@pytest.mark.parametrize("headers", STRANGERS + UNKNOWN)
@pytest.mark.parametrize("request_id", [*OPAQUE_IDS, "gone.1"])
def test_a_stranger_gets_401_where_nothing_runs(headers, request_id):
    async def scenario(fleet):
        for relay in fleet.relays:
            response = await ask(fleet, relay, headers=headers, request_id=request_id)
            assert response.status == 401
        assert received(fleet) == []

    run(scenario)


# A key says whose request it is, so it never makes one a call of the target.
@pytest.mark.parametrize("stopping", [False, True])
def test_an_unknown_or_withdrawn_key_gets_401_beside_runs_and_in_a_stop(stopping):
    async def scenario(fleet):
        (relay,) = fleet.relays
        await publish(fleet, tenant("yard", KEY, OTHER_KEY), version=3)
        async with run_in_progress(fleet):
            held = await ask(fleet, relay, headers=[("Credential", OTHER_KEY)])
            assert held.status == 200
            await publish(fleet, tenant("yard", KEY), version=4)
            if stopping:
                relay.start_draining(relay.clock() + 6.0)
                relay.refuse_new_requests()
            for headers in ([("Credential", OTHER_KEY)], *UNKNOWN):
                for request_id in ("run-1.1", "opaque"):
                    response = await ask(
                        fleet, relay, headers=headers, request_id=request_id
                    )
                    assert response.status == 401
        assert len(received(fleet)) == 2

    run(scenario, relays=1)


def test_a_planned_stop_serves_calls_that_name_no_run():
    async def scenario(fleet):
        (relay,) = fleet.relays
        async with run_in_progress(fleet):
            relay.start_draining(relay.clock() + 6.0)
            relay.refuse_new_requests()
            assert (await ask(fleet, relay, request_id="opaque")).status == 200
            assert (await ask(fleet, relay, headers=HELD)).status == 503
        assert (await ask(fleet, relay, request_id="opaque")).status == 401

    run(scenario, relays=1)


def test_a_call_that_names_no_run_has_the_rank_and_the_time_of_the_runs(monkeypatch):
    async def scenario(fleet):
        (relay,) = fleet.relays
        submitted = []
        submit = relay.dispatcher.submit

        def record(now, token, request):
            submitted.append(request)
            return submit(now, token, request)

        monkeypatch.setattr(relay.dispatcher, "submit", record)
        async with run_in_progress(fleet, path="/front/1"):
            (parent,) = relay.local_target.parent_runs.running.values()
            response = await ask(fleet, relay, request_id="opaque")
            assert response.status == 200
            assert relay.counts.unnamed_calls == 1
        call = submitted[-1]
        assert call.rank == parent.message.rank
        assert call.deadline <= parent.deadline
        assert call.nested and not call.workspace and not call.parent
        assert call.head.lower().count(b"tenant") == 0

    run(scenario, relays=1)


def test_calls_that_name_no_run_use_no_quota():
    async def scenario(fleet):
        (relay,) = fleet.relays
        await publish(fleet, tenant("yard", KEY, rate=0.01, burst=1), version=3)
        async with run_in_progress(fleet):
            for number in range(20):
                response = await ask(fleet, relay, request_id=f"opaque{number}")
                assert response.status == 200

    run(scenario, relays=1)


def test_a_call_whose_run_was_given_up_is_refused_as_not_run():
    async def scenario(fleet):
        (relay,) = fleet.relays
        fleet.targets[0].scripts = ["hang"]
        _, writer = await fleet.connect(relay)
        head = (
            "GET /avail/1 HTTP/1.1\r\nHost: stalls.example\r\nRequest-Id: run-1\r\n"
            f"Deadline-Ms: 5000\r\nCredential: {KEY}\r\n\r\n"
        )
        writer.write(head.encode())
        await until(lambda: relay.local_target.parent_runs.running)
        writer.close()
        await until(lambda: not relay.local_target.parent_runs.running)
        for request_id in ("run-1.1", "opaque"):
            response = await ask(fleet, relay, request_id=request_id)
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0.0
        response = await ask(fleet, relay, headers=[("Credential", UNKNOWN_KEY)])
        assert response.status == 401
        assert len(received(fleet)) == 1

    run(scenario, relays=1)


# Without keys nothing tells a call that names no run from a request of a client.
def test_without_workspaces_a_call_that_names_no_run_counts_as_a_request_of_a_client():
    async def scenario():
        async with fleet_of(1) as fleet:
            relay, target = fleet.relays[0], fleet.targets[0]
            target.scripts = ["slow"]
            parent = asyncio.create_task(ask(fleet, relay, "/book/1", (), "run-1"))
            await until(lambda: target.ran)
            assert (await ask(fleet, relay, request_id="opaque")).status == 200
            assert relay.counts.unnamed_calls == 0
            assert relay.local_target.graph.active_runs == {}
            target.release.set()
            assert (await parent).status == 200

    asyncio.run(scenario())


# The target may run what it got before the relay beside it was started again.
@pytest.mark.parametrize(("first_start", "status"), [(True, 401), (False, 503)])
def test_calls_of_runs_from_before_a_restart_are_refused_as_not_run(
    first_start, status
):
    async def scenario(fleet):
        (relay,) = fleet.relays
        relay.settings = relay.settings._replace(first_start=first_start)
        await publish(fleet, tenant("yard", KEY), version=3)
        response = await ask(fleet, relay, request_id="opaque")
        assert response.status == status
        # A key is not mistaken for a call, and the time is bounded.
        response = await ask(fleet, relay, headers=[("Credential", UNKNOWN_KEY)])
        assert response.status == 401
        until_time = relay.local_target.parent_runs.unfinished_until
        assert until_time <= relay.started_at + MAX_EARLIER_RUN_S

    run(scenario, relays=1)


@pytest.mark.parametrize(
    ("line", "first"),
    [("", True), ("bootstrap=true\n", True), ("bootstrap=false\n", False)],
)
def test_the_settings_say_whether_the_system_starts_for_the_first_time(line, first):
    assert parse_settings(SETTINGS + line).first_start is first


def make_run(request_id=b"run-1", *, rank=1, is_retry=False, deadline=5.0):
    message = CallMessage(
        1, "t-1", "book", rank, False, is_retry, 1.0, request_id, b"", b"", "yard"
    )
    return Run(message, deadline)


@pytest.mark.parametrize(
    ("end", "named", "unnamed"),
    [
        (RunEnd.NOT_RUN, 0.0, 0.0),
        (RunEnd.ANSWERED, 5.0 + LATE_CALL_S, 0.0),
        (RunEnd.FAILED, 5.0 + LATE_CALL_S, 2.0 + LATE_CALL_S),
        (RunEnd.UNKNOWN, 5.0 + LATE_CALL_S, 5.0 + LATE_CALL_S),
    ],
)
def test_calls_of_an_ended_run_are_expected_as_long_as_it_may_go_on(
    end, named, unnamed
):
    runs = ParentRuns()
    runs.begin(1, make_run())
    runs.end(2.0, 1, end)
    for request_id, ends_at in ((b"run-1.x", named), (b"opaque", unnamed)):
        for now in (2.0, 2.5, 4.0, 5.5, 7.0):
            expected = CallOrigin.ENDED if now < ends_at else CallOrigin.NO_RUN
            assert runs.find(now, request_id).origin is expected


# A client may send no identifier. No call names the run of such a request.
def test_a_run_without_an_identifier_is_named_by_no_call():
    runs = ParentRuns()
    runs.begin(1, make_run(b""))
    for request_id in (b"opaque", b".1", b""):
        assert runs.find(1.0, request_id).origin is CallOrigin.UNNAMED
    runs.end(2.0, 1, RunEnd.ANSWERED)
    for request_id in (b"opaque", b".1", b""):
        assert runs.find(2.0, request_id).origin is CallOrigin.NO_RUN


def test_the_most_important_run_decides_on_the_rank_and_the_last_on_the_time():
    runs = ParentRuns()
    runs.begin(1, make_run(rank=17, deadline=3.0))
    runs.begin(2, make_run(rank=2, deadline=2.0))
    assert runs.highest_rank() == 2
    assert runs.latest_deadline() == 3.0


@pytest.mark.parametrize(("retried", "expected"), [(0, 0), (1, 25), (2, 50), (4, 100)])
def test_calls_count_as_retries_as_often_as_runs_are_retried(retried, expected):
    runs = ParentRuns()
    for number in range(4):
        runs.begin(number, make_run(is_retry=number < retried))
    assert sum(runs.next_is_retry() for _ in range(100)) == expected

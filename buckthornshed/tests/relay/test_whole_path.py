"""Tests of relays with targets and a store, on loopback sockets in real time."""

import asyncio

import pytest

from buckthornshed.state.generation import Generation

from .fleet import configuration, fleet_of, read_response, until


def run(scenario):
    asyncio.run(scenario)


def test_a_request_reaches_a_target_and_returns_its_answer():
    async def scenario():
        async with fleet_of(2) as fleet:
            relay = fleet.relays[0]
            response = await fleet.ask(relay, "/book/1", body=b"stall 7")
            assert response.status == 200
            (target,) = [target for target in fleet.targets if target.ran]
            line, headers, body = target.received[0]
            assert line == b"POST /book/1 HTTP/1.1"
            assert body == b"stall 7"
            assert headers["caller-service"] == "stalls"
            assert 0 < int(headers["deadline-ms"]) <= 2_000
            assert headers["expect-instance"] == target.name
            assert response.headers["response-seal"] == f"{target.name}.r-1"
            assert response.body == f"answer to r-1 by {target.name}".encode()

    run(scenario())


def test_pipelined_requests_are_answered_in_order():
    async def scenario():
        async with fleet_of(2) as fleet:
            fleet.targets[0].delay = 0.05
            reader, writer = await fleet.connect(fleet.relays[0])
            writer.write(b"".join(fleet.request("/avail/1") for _ in range(8)))
            answers = [await read_response(reader) for _ in range(8)]
            assert [a.headers["request-id"] for a in answers] == [
                f"r-{number}" for number in range(1, 9)
            ]
            writer.close()

    run(scenario())


@pytest.mark.parametrize(
    "script", ["truncated", "reset", "unsigned", "encoded", "without-id"]
)
def test_an_unusable_answer_to_a_non_idempotent_request_gives_502(script):
    async def scenario():
        async with fleet_of(2) as fleet:
            for target in fleet.targets:
                target.scripts = [script]
            response = await fleet.ask(fleet.relays[0], "/book/1", body=b"x")
            assert response.status == 502
            assert sum(len(target.ran) for target in fleet.targets) == 1

    run(scenario())


@pytest.mark.parametrize(
    "script", ["truncated", "reset", "unsigned", "encoded", "without-id"]
)
def test_an_idempotent_request_is_retried_after_an_unusable_answer(script):
    async def scenario():
        async with fleet_of(2) as fleet:
            fleet.targets[0].scripts = [script]
            fleet.targets[1].scripts = []
            for _ in range(6):
                response = await fleet.ask(fleet.relays[0])
                assert response.status == 200
            assert fleet.targets[0].scripts == []

    run(scenario())


@pytest.mark.parametrize("script", ["extra", "late-extra"])
def test_an_answer_to_another_request_is_discarded(script):
    async def scenario():
        async with fleet_of(1) as fleet:
            target = fleet.targets[0]
            target.scripts = [script] * 5
            for number in range(1, 11):
                response = await fleet.ask(fleet.relays[0])
                assert response.status == 200
                assert response.headers["request-id"] == f"r-{number}"

    run(scenario())


def test_a_late_copy_of_a_rejection_does_not_answer_the_retry_of_the_same_request():
    async def scenario():
        async with fleet_of(1) as fleet:
            target = fleet.targets[0]
            target.scripts = ["full-then-copy", "ok"]
            response = await fleet.ask(fleet.relays[0], "/book/1", body=b"stall 7")
            assert response.status == 200
            assert len(target.ran) == 1

    run(scenario())


def test_an_answer_without_a_length_ends_at_connection_close():
    async def scenario():
        async with fleet_of(1) as fleet:
            fleet.targets[0].scripts = ["unframed"]
            response = await fleet.ask(fleet.relays[0])
            assert response.status == 200
            assert response.body == b"answer to r-1 by i-2"

    run(scenario())


def test_a_request_that_all_targets_reject_fails_with_503_and_has_not_run():
    async def scenario():
        async with fleet_of(2) as fleet:
            for target in fleet.targets:
                target.scripts = ["full"] * 20
            response = await fleet.ask(fleet.relays[0], "/book/1", body=b"x")
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            assert [target.ran for target in fleet.targets] == [[], []]

    run(scenario())


def test_the_route_timeout_ends_a_request():
    async def scenario():
        async with fleet_of(1, timeout=0.3, attempts=1) as fleet:
            fleet.targets[0].scripts = ["slow"]
            response = await fleet.ask(fleet.relays[0])
            assert response.status == 504
            fleet.targets[0].release.set()

    run(scenario())


def test_a_client_disconnect_cancels_the_call():
    async def scenario():
        async with fleet_of(2) as fleet:
            for target in fleet.targets:
                target.scripts = ["hang"]
            _, writer = await fleet.connect(fleet.relays[0])
            writer.write(fleet.request("/avail/1"))
            await until(lambda: any(target.ran for target in fleet.targets))
            writer.close()
            await until(lambda: any(target.disconnected for target in fleet.targets))

    run(scenario())


def test_a_draining_target_gets_no_new_calls():
    async def scenario():
        async with fleet_of(2) as fleet:
            draining = fleet.targets[0]
            await fleet.register(draining, "stalls", state="draining", seq=2)
            await until(
                lambda: all(
                    relay.fleet_view.targets[draining.name].draining
                    for relay in fleet.relays
                )
            )
            before = len(draining.ran)
            for relay in fleet.relays * 10:
                assert (await fleet.ask(relay)).status == 200
            assert len(draining.ran) == before

    run(scenario())


@pytest.mark.parametrize("mode", ["busy", "many", "reset", "silent"])
def test_relays_serve_during_a_store_outage_and_catch_up_afterwards(mode):
    async def scenario():
        async with fleet_of(2) as fleet:
            fleet.store.mode = mode
            for relay in fleet.relays:
                assert (await fleet.ask(relay)).status == 200
            await fleet.store.put("op/config", configuration(2, extra_paths=["new"]))
            fleet.store.mode = "up"
            await until(
                lambda: all(
                    r.fleet_view.catalog.generation == Generation(2)
                    for r in fleet.relays
                )
            )
            for relay in fleet.relays:
                assert (await fleet.ask(relay, "/new/1")).status == 200

    run(scenario())


def test_a_relay_without_a_configuration_refuses_until_a_peer_sends_one():
    async def scenario():
        async with fleet_of(2) as fleet:
            fleet.store.mode = "busy"
            relay, target = await fleet.add("stalls")
            assert not relay.ready
            response = await fleet.ask(relay)
            assert response.status == 503
            entry = fleet.relays[0].fleet_view.targets["i-2"]
            fleet.relays[0].fleet_updater.handle_target_change(
                entry._replace(
                    name=target.name, address=target.address, started=entry.started + 1
                )
            )
            await until(lambda: relay.ready)
            assert (await fleet.ask(relay)).status == 200

    run(scenario())


def test_targets_are_reread_after_the_store_loses_its_history():
    async def scenario():
        async with fleet_of(2) as fleet:
            await fleet.store.delete("servers/i-2")
            await fleet.store.drop_history()
            await until(
                lambda: all("i-2" not in r.fleet_view.targets for r in fleet.relays)
            )

    run(scenario())


def test_all_store_pages_are_read():
    async def scenario():
        async with fleet_of(3) as fleet:
            fleet.store.page_size = 2
            relay, _ = await fleet.add("stalls")
            await until(lambda: len(relay.fleet_view.targets) == 4)

    run(scenario())


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"GET /avail/1 HTTP/1.1\r\nhost: stalls.example\r\nx: " + b"a" * 40_000, 431),
        (
            b"POST /book/1 HTTP/1.1\r\ncontent-length: 70000\r\n\r\n" + b"a" * 70_000,
            413,
        ),
        (
            b"POST /book/1 HTTP/1.1\r\ncontent-length: 3\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"no request at all\r\n\r\n", 400),
    ],
)
def test_invalid_requests_are_rejected_and_reach_no_target(request_bytes, status):
    async def scenario():
        async with fleet_of(1) as fleet:
            reader, writer = await fleet.connect(fleet.relays[0])
            writer.write(request_bytes)
            response = await read_response(reader)
            assert response.status == status
            assert fleet.targets[0].received == []
            writer.close()

    run(scenario())


def test_draining_finishes_running_calls_and_redirects_new_ones():
    async def scenario():
        async with fleet_of(2) as fleet:
            relay, target = fleet.relays[1], fleet.targets[1]
            for each in fleet.targets:
                each.scripts = ["slow"]
            in_flight = [
                asyncio.create_task(fleet.ask(fleet.relays[0])) for _ in range(2)
            ]
            await until(lambda: sum(len(t.ran) for t in fleet.targets) == 2)
            before = len(target.ran)
            relay.start_draining(relay.clock() + 6.0)
            relay.announce_leaving()
            link = fleet.relays[0].links.links[relay.instance]
            await until(lambda: link.draining)
            for each in fleet.targets:
                each.release.set()
            for task in in_flight:
                assert (await task).status == 200
            for _ in range(10):
                assert (await fleet.ask(fleet.relays[0])).status == 200
            assert len(target.ran) == before
            response = await fleet.ask(relay)
            assert response.status == 200
            assert response.headers["connection"] == "close"

    run(scenario())


def test_requests_that_outlast_a_planned_stop_get_a_true_answer():
    async def scenario():
        async with fleet_of(1, slots=1) as fleet:
            relay, target = fleet.relays[0], fleet.targets[0]
            target.scripts = ["slow"]
            sent = asyncio.create_task(fleet.ask(relay, "/book/1", body=b"x"))
            await until(lambda: target.running)
            reader, writer = await fleet.connect(relay)
            writer.write(fleet.request("/book/2", body=b"y"))
            await until(lambda: relay.local_target.limiter.queue_length)
            relay.start_draining(relay.clock() + 6.0)
            relay.end_requests()
            assert (await sent).status == 502
            queued = await read_response(reader)
            assert queued.headers["connection"] == "close"
            assert queued.status in (502, 503)
            writer.close()
            target.release.set()
            assert len(target.ran) == 1

    run(scenario())


def test_requests_beyond_the_pipelining_limit_are_all_answered():
    async def scenario():
        async with fleet_of(1, slots=80) as fleet:
            target = fleet.targets[0]
            target.scripts = ["slow"]
            reader, writer = await fleet.connect(fleet.relays[0])
            writer.write(b"".join(fleet.request("/avail/1") for _ in range(32)))
            await until(lambda: len(target.ran) == 32)
            writer.write(b"".join(fleet.request("/avail/1") for _ in range(40)))
            target.release.set()
            async with asyncio.timeout(10.0):
                answers = [await read_response(reader) for _ in range(72)]
            assert [a.headers["request-id"] for a in answers] == [
                f"r-{number}" for number in range(1, 73)
            ]
            writer.close()

    run(scenario())


def test_draining_answers_all_pipelined_requests_in_flight():
    async def scenario():
        async with fleet_of(1) as fleet:
            relay, target = fleet.relays[0], fleet.targets[0]
            target.scripts = ["ok", "slow", "slow"]
            reader, writer = await fleet.connect(relay)
            writer.write(b"".join(fleet.request("/avail/1") for _ in range(3)))
            await until(lambda: len(target.ran) == 3)
            assert (await read_response(reader)).status == 200
            relay.start_draining(relay.clock() + 6.0)
            target.release.set()
            answers = [await read_response(reader) for _ in range(2)]
            assert [a.status for a in answers] == [200, 200]
            assert "connection" not in answers[0].headers
            assert answers[1].headers["connection"] == "close"
            writer.close()

    run(scenario())


def test_failed_runs_do_not_change_call_times_or_the_call_graph():
    async def scenario():
        async with fleet_of(1) as fleet:
            relay, target = fleet.relays[0], fleet.targets[0]
            for _ in range(5):
                assert (await fleet.ask(relay)).status == 200
            local_target = relay.local_target
            runs, call_times = (
                local_target.graph.runs["avail"],
                dict(local_target.limiter.call_times.by_route),
            )
            target.scripts = ["error"] * 5
            for _ in range(5):
                assert (await fleet.ask(relay)).status == 500
            assert local_target.graph.runs["avail"] == runs == 5.0
            assert local_target.limiter.call_times.by_route == call_times

    run(scenario())


def test_late_in_draining_clients_are_refused_and_nested_requests_served():
    async def scenario():
        async with fleet_of(2) as fleet:
            relay = fleet.relays[0]
            for each in fleet.targets:
                each.scripts = ["slow"]
            in_flight = asyncio.create_task(fleet.ask(relay, request_id="run-1"))
            await until(lambda: any("run-1" in t.ran for t in fleet.targets))
            (runner,) = [
                each
                for each in fleet.relays
                if b"run-1" in each.local_target.parent_runs.named
            ]
            runner.start_draining(runner.clock() + 6.0)
            runner.refuse_new_requests()
            runner.announce_leaving()
            runner.refuse_new_calls()
            refused = await fleet.ask(runner, request_id="late")
            assert refused.status == 503
            assert refused.headers["connection"] == "close"
            assert float(refused.headers["retry-after"]) > 0
            for each in fleet.targets:
                each.scripts = []
            nested = await fleet.ask(runner, request_id="run-1.a")
            assert nested.status == 200
            for each in fleet.targets:
                each.release.set()
            assert (await in_flight).status == 200
            assert all("late" not in each.ran for each in fleet.targets)

    run(scenario())


def test_a_draining_relay_serves_other_relays_until_it_announces_its_end():
    """Replays a rolling restart: the target's capacity is missing only at the end."""

    async def scenario():
        async with fleet_of(2) as fleet:
            relay, draining = fleet.relays
            target = fleet.targets[1]
            draining.start_draining(draining.clock() + 6.0)
            draining.refuse_new_requests()
            answers = await asyncio.gather(*(fleet.ask(relay) for _ in range(16)))
            assert [each.status for each in answers] == [200] * 16
            assert target.ran
            assert (await fleet.ask(draining)).status == 503

    run(scenario())


def test_messages_between_relays_are_counted_by_kind_and_in_bytes():
    async def scenario():
        async with fleet_of(2) as fleet:
            sender, receiver = fleet.relays
            fleet.targets[0].scripts = ["full"] * 20
            await until(
                lambda: receiver.counts.peer_messages["received", "CallMessage"],
                ask=lambda: fleet.ask(sender),
            )
            sent = sender.counts.peer_messages["sent", "CallMessage"]
            assert sent == receiver.counts.peer_messages["received", "CallMessage"]
            assert receiver.counts.peer_messages["sent", "AnswerMessage"] == sent
            assert sender.counts.peer_bytes["received",] > 0

    asyncio.run(scenario())

"""Tests of the restart of tasks, and of a relay that reads a malformed entry."""

import asyncio

from buckthornshed.transport.relay.supervision import keep_running

from .fleet import fleet_of, until


def test_a_task_that_fails_is_started_again_and_its_error_logged(caplog):
    starts: list[int] = []

    async def task():
        starts.append(len(starts))
        if len(starts) < 3:
            raise ZeroDivisionError("unexpected")

    with caplog.at_level("ERROR"):
        asyncio.run(keep_running("task", task))
    assert starts == [0, 1, 2]
    errors = [record.msg["error"] for record in caplog.records]
    assert errors == ["ZeroDivisionError('unexpected')"] * 2


def test_a_malformed_registration_ends_no_reader_and_reaches_no_peer():
    async def scenario():
        async with fleet_of(2) as fleet:
            target = fleet.targets[0]
            await fleet.register(target, "stalls", seq=10**30)
            await fleet.register(fleet.targets[1], "stalls", state="draining", seq=2)
            await until(
                lambda: all(
                    relay.fleet_view.targets[fleet.targets[1].name].draining
                    for relay in fleet.relays
                )
            )
            for relay in fleet.relays:
                response = await fleet.ask(relay)
                assert response.status == 200
            assert not any(
                task.done() for each in fleet.tasks.values() for task in each
            )

    asyncio.run(scenario())


def test_a_link_is_made_again_after_an_unexpected_error():
    async def scenario():
        async with fleet_of(2) as fleet:
            relay = fleet.relays[0]
            handle_new_link = relay.peer_messages.handle_new_link
            failures: list[str] = []

            def fail_once(instance):
                if not failures:
                    failures.append(instance)
                    raise ZeroDivisionError("unexpected")
                handle_new_link(instance)

            relay.peer_messages.handle_new_link = fail_once
            for link in list(relay.links.links.values()):
                link.abort()
            await until(lambda: failures and relay.links.links)

    asyncio.run(scenario())

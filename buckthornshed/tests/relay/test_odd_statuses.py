"""Answers whose status is none of HTTP are no answers, wherever they come from."""

import asyncio

import pytest

from buckthornshed.coordination.relay.placement import load_balancer
from buckthornshed.errors import PlatformError, UpstreamError
from buckthornshed.platform.store import StoreClient
from buckthornshed.protocol.relay_messages import AnswerMessage
from buckthornshed.standins.http_client import ClientPool
from buckthornshed.transport.http_client import ConnectionPool, ExchangeHandlers
from buckthornshed.transport.platform_reader import PlatformReader
from buckthornshed.transport.relay.target import local_target

from .fleet import fleet_of
from .standin_target import ODD_STATUSES

LIMIT_S = 30.0
FOREVER_S = 1_000.0
"""Time-out of a caller that is not to come into play."""
INTERIM = b"HTTP/1.1 %d X\r\nlink: x\r\n\r\n"


def run(scenario):
    asyncio.run(asyncio.wait_for(scenario(), LIMIT_S))


def scripts(status):
    return [f"status {status}", f"unsigned status {status}"]


# Guards against a caller that waits until its deadline, or gets a status that no
# client knows, because a target in trouble answers with one that is none.
@pytest.mark.parametrize("status", ODD_STATUSES)
def test_a_call_with_an_odd_status_ends_at_once_as_one_that_may_have_run(status):
    async def scenario():
        async with fleet_of(1) as fleet:
            (relay,), (target,) = fleet.relays, fleet.targets
            for script in scripts(status):
                for path, body in (("/avail/1", b""), ("/book/1", b"x")):
                    target.scripts = [script]
                    response = await fleet.ask(relay, path, body=body)
                    assert response.status == 502
                    assert "response-seal" not in response.headers
                    # The next request on a sound connection is not affected.
                    assert (await fleet.ask(relay)).status == 200
            assert len(set(target.ran)) == len(target.ran)

    run(scenario)


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_another_target_answers_a_request_that_may_run_twice(status):
    async def scenario():
        async with fleet_of(2) as fleet:
            fleet.targets[0].scripts = scripts(status) * 20
            for relay in fleet.relays * 4:
                assert (await fleet.ask(relay)).status == 200
            assert fleet.targets[0].ran

    run(scenario)


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_requests_beside_them_are_served_and_the_limit_stays(status):
    async def scenario():
        async with fleet_of(1) as fleet:
            (relay,), (target,) = fleet.relays, fleet.targets
            limiter = relay.local_target.limiter
            assert (await fleet.ask(relay)).status == 200
            limit = limiter.limit
            target.scripts = [*scripts(status) * 10]
            bad = [await fleet.ask(relay, "/book/1", body=b"x") for _ in range(20)]
            assert {response.status for response in bad} == {502}
            beside = await asyncio.gather(*(fleet.ask(relay) for _ in range(8)))
            assert [response.status for response in beside] == [200] * 8
            assert limiter.limit >= limit
            assert limiter.running == 0
            assert not limiter.circuit_breaker.tripped
            assert not limiter.stall_detector.is_restricted(relay.clock())

    run(scenario)


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_it_counts_as_a_failure_of_the_target(status, monkeypatch):
    outcomes = []
    record_outcome = load_balancer.LoadBalancer.record_outcome

    def recorded(self, now, record, *, failed):
        outcomes.append(failed)
        record_outcome(self, now, record, failed=failed)

    monkeypatch.setattr(load_balancer.LoadBalancer, "record_outcome", recorded)

    async def scenario():
        async with fleet_of(1) as fleet:
            fleet.targets[0].scripts = [scripts(status)[0]]
            await fleet.ask(fleet.relays[0], "/book/1", body=b"x")
            assert outcomes == [True]

    run(scenario)


@pytest.mark.parametrize("status", [0, 99, 199, 600, 999, -1, 10**6])
def test_a_relay_does_not_pass_on_such_an_answer_of_another_relay(status, monkeypatch):
    """Relays of earlier versions pass on answers with any status from 200 on."""

    def create_outcome(message, result, names, retry_after):
        head = b"HTTP/1.1 %d X\r\nresponse-seal: s\r\ncontent-length: 0\r\n" % status
        return AnswerMessage(message.exchange, status, head, b"", 0.0, 0.0)

    async def scenario():
        async with fleet_of(2) as fleet:
            monkeypatch.setattr(local_target, "create_outcome", create_outcome)
            fleet.relays[0].local_target.refuse_new_calls()
            response = await fleet.ask(fleet.relays[0], "/book/1", body=b"x")
            assert response.status == 502

    run(scenario)


@pytest.mark.parametrize("statuses", [(100,), (102, 103), (104, 100, 103)])
def test_an_interim_answer_is_followed_by_the_answer(statuses):
    async def scenario():
        async with fleet_of(1) as fleet:
            target = fleet.targets[0]
            signed_answer = target.signed_answer
            interim = b"".join(INTERIM % status for status in statuses)
            target.signed_answer = lambda *args, **options: (
                interim + signed_answer(*args, **options)
            )
            assert (await fleet.ask(fleet.relays[0])).status == 200

    run(scenario)


async def serve(answer):
    """Serve one answer to each request on connections that stay open."""

    async def handle(reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    return server, f"{host}:{port}"


def odd_answer(status):
    return f"HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\n{{}}".encode()


@pytest.mark.parametrize("head_only", [False, True])
@pytest.mark.parametrize("status", ODD_STATUSES)
def test_a_node_gets_a_fault_at_once(status, head_only):
    async def scenario():
        server, address = await serve(odd_answer(status))
        pool = ConnectionPool(max_body_bytes=100, max_idle=1, clock=lambda: 0.0)
        ended = asyncio.get_running_loop().create_future()
        pool.send(
            exchange=1,
            address=address,
            data=b"GET / HTTP/1.1\r\nhost: a\r\n\r\n",
            head_only=head_only,
            handlers=ExchangeHandlers(
                lambda _, answer: ended.set_result(answer), ended.set_result
            ),
        )
        fault = await ended
        assert fault.maybe_sent
        assert not pool.active
        assert not pool.idle.get(address)
        server.close()

    run(scenario)


@pytest.mark.parametrize("status", ODD_STATUSES)
def test_the_store_the_platform_and_stand_ins_get_an_error_at_once(status):
    async def scenario():
        server, address = await serve(odd_answer(status))
        client = StoreClient(address=address, clock=lambda: 0.0)
        with pytest.raises(PlatformError):
            await client.watch("", 1, FOREVER_S)
        reader = PlatformReader(url=f"http://{address}")
        with pytest.raises(PlatformError):
            await reader.read("routes")
        await reader.close()
        pool = ClientPool()
        with pytest.raises(UpstreamError, match=status):
            await pool.request(
                address, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n", timeout_s=FOREVER_S
            )
        pool.close()
        server.close()

    run(scenario)

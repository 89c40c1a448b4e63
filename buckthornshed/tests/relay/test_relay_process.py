"""Tests of a relay as a separate process: settings, signals, probe, metrics, log."""

import asyncio
import contextlib
import json
import os
import signal
from typing import Any

import pytest

from buckthornshed.transport.relay.process import MAX_OPERATOR_CONNECTIONS

from .fleet import configuration as make_configuration
from .fleet import free_port, read_response, until
from .relay_processes import settings_text, start_process
from .standin_store import StandinStore
from .standin_target import StandinTarget

pytestmark = pytest.mark.processes

HOST = "127.0.0.1"


class RelayUnderTest:
    """A relay process with a stand-in store and a stand-in target."""

    def __init__(self, folder):
        self.folder = folder
        self.store = StandinStore()
        self.target = StandinTarget("i-1")
        self.ports = {name: free_port() for name in ("client", "ready")}
        self.internal_ports = sorted(free_port() for _ in range(2))
        self.process: Any = None

    async def start(self):
        await self.open_surroundings()
        path = self.folder / "node.conf"
        path.write_text(self.settings())
        self.process = await start_process(path, asyncio.subprocess.PIPE)
        await self.wait_until_ready()

    async def open_surroundings(self):
        """Open the stand-ins and write the configuration and the registration."""
        await self.store.open()
        await self.target.open(HOST)
        await self.store.put("op/config", make_configuration())
        registration = {
            "service": "stalls",
            "addr": self.target.address,
            "zone": "a",
            "slots": 10,
            "state": "ready",
            "coldLeftS": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        }
        await self.store.put("servers/i-1", registration)

    async def wait_until_ready(self):
        async with asyncio.timeout(20.0):
            while await self.ready_status() != 200:
                await asyncio.sleep(0.05)

    def settings(self):
        return settings_text(
            name="instance-a-1",
            address=HOST,
            client_port=self.ports["client"],
            ready_port=self.ports["ready"],
            internal_ports=self.internal_ports,
            target=self.target.address,
            store=self.store.address,
        )

    async def ready_status(self):
        try:
            response = await self.get("ready", "/ready")
        except ConnectionError:
            return 0
        return response.status

    async def get(self, port, path, request_id="r-1"):
        number = self.internal_ports[1] if port == "metrics" else self.ports[port]
        reader, writer = await asyncio.open_connection(HOST, number)
        try:
            writer.write(
                f"GET {path} HTTP/1.1\r\nHost: stalls.example\r\n"
                f"Request-Id: {request_id}\r\nDeadline-Ms: 5000\r\n\r\n".encode()
            )
            return await read_response(reader)
        finally:
            writer.close()

    async def stop(self):
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
        await self.process.wait()
        self.store.close()
        self.target.close()

    async def read_log(self):
        return (await self.process.stdout.read()).decode()


def run(scenario, tmp_path):
    async def start_and_run():
        relay = RelayUnderTest(tmp_path)
        try:
            await relay.start()
            await scenario(relay)
        finally:
            await relay.stop()

    asyncio.run(start_and_run())


def test_sigterm_finishes_pending_requests_and_fails_the_readiness_probe(tmp_path):
    async def scenario(relay):
        relay.target.scripts = ["slow"]
        pending = asyncio.create_task(relay.get("client", "/avail/1"))
        await until(lambda: relay.target.ran)
        relay.process.send_signal(signal.SIGTERM)
        while await relay.ready_status() == 200:
            await asyncio.sleep(0.02)
        assert await relay.ready_status() == 503
        later = await relay.get("client", "/avail/2", "r-2")
        assert later.status == 200
        relay.target.release.set()
        response = await pending
        assert response.status == 200
        assert response.body == b"answer to r-1 by i-1"
        assert await relay.process.wait() == 0
        log = await relay.read_log()
        assert "event=stopping" in log
        assert "event=stopped" in log

    run(scenario, tmp_path)


def test_reloading_settings_interrupts_no_request(tmp_path):
    async def scenario(relay):
        path = relay.folder / "node.conf"
        path.write_text(relay.settings().replace("graceS=6", "graceS=4"))
        relay.target.scripts = ["slow"]
        pending = asyncio.create_task(relay.get("client", "/avail/1"))
        await until(lambda: relay.target.ran)
        relay.process.send_signal(signal.SIGHUP)
        assert (await relay.get("client", "/avail/2", "r-2")).status == 200
        relay.target.release.set()
        assert (await pending).status == 200
        path.write_text("node=\n")
        relay.process.send_signal(signal.SIGHUP)
        assert (await relay.get("client", "/avail/3", "r-3")).status == 200
        relay.process.send_signal(signal.SIGTERM)
        assert await relay.process.wait() == 0
        log = await relay.read_log()
        assert "event=settings_changed fields=grace" in log
        assert "event=settings_rejected" in log

    run(scenario, tmp_path)


# Guards against answers that a planned stop cuts while their client still reads.
def test_a_planned_stop_does_not_cut_an_answer_that_a_client_reads_slowly(tmp_path):
    size = 15_000_000

    async def scenario(relay):
        path = relay.folder / "node.conf"
        path.write_text(relay.settings().replace("graceS=6", "graceS=30"))
        relay.process.send_signal(signal.SIGHUP)
        relay.target.body = bytes(size)
        reader, writer = await asyncio.open_connection(HOST, relay.ports["client"])
        writer.write(
            b"GET /avail/1 HTTP/1.1\r\nHost: stalls.example\r\n"
            b"Request-Id: r-1\r\nDeadline-Ms: 5000\r\n\r\n"
        )
        head = await reader.readuntil(b"\r\n\r\n")
        relay.process.send_signal(signal.SIGTERM)
        assert b"content-length: %d" % size in head
        # The relay ends 2.9 s after the signal if nothing is in progress.
        await asyncio.sleep(3.5)
        assert len(await reader.readexactly(size)) == size
        writer.close()
        assert await relay.process.wait() == 0
        log = await relay.read_log()
        assert "event=sending_answers" in log
        assert "event=answers_cut" not in log

    run(scenario, tmp_path)


# Guards against the end of a relay by a SIGHUP before its handler is installed. The
# settings file is a pipe at first, so that the process waits amid its start.
def test_a_change_of_the_settings_during_the_start_is_applied(tmp_path):
    async def scenario():
        relay = RelayUnderTest(tmp_path)
        await relay.open_surroundings()
        path, text = tmp_path / "node.conf", relay.settings()
        os.mkfifo(path)
        relay.process = await start_process(path, asyncio.subprocess.PIPE)
        try:
            pipe = await asyncio.to_thread(path.open, "w")
            for _ in range(3):
                relay.process.send_signal(signal.SIGHUP)
            path.unlink()
            path.write_text(text.replace("graceS=6", "graceS=4"))
            with pipe:
                pipe.write(text)
            await relay.wait_until_ready()
            relay.process.send_signal(signal.SIGTERM)
            assert await relay.process.wait() == 0
            assert "event=settings_changed fields=grace" in await relay.read_log()
        finally:
            await relay.stop()

    asyncio.run(scenario())


def test_metrics_are_served_in_the_prometheus_text_format(tmp_path):
    async def scenario(relay):
        assert (await relay.get("client", "/avail/1")).status == 200
        response = await relay.get("metrics", "/metrics")
        text = response.body.decode()
        line = 'buckthornshed_requests_total{outcome="answered",route="avail"} 1.0'
        assert line in text
        assert 'buckthornshed_request_seconds_count{route="avail"} 1.0' in text
        assert "buckthornshed_generation 1.0" in text

    run(scenario, tmp_path)


def test_the_state_is_served_as_json(tmp_path):
    async def scenario(relay):
        response = await relay.get("metrics", "/dump")
        state = json.loads(response.body)
        assert state["configuration"]["generation"] == "1"
        assert state["configuration"]["confirmed_by"] == "store"

    run(scenario, tmp_path)


def test_invalid_settings_end_the_process_with_a_log_line(tmp_path):
    async def scenario():
        path = tmp_path / "node.conf"
        path.write_text("node=a\n")
        process = await start_process(path, asyncio.subprocess.PIPE)
        out, _ = await process.communicate()
        assert process.returncode == 2
        assert "event=settings_unusable" in out.decode()
        assert "setting ip: found nothing" in out.decode()

    asyncio.run(scenario())


def test_connections_that_never_end_a_request_do_not_make_a_relay_unready(tmp_path):
    async def scenario(relay):
        opened = [
            await asyncio.open_connection(HOST, relay.ports["ready"])
            for _ in range(MAX_OPERATOR_CONNECTIONS)
        ]
        for _, writer in opened:
            writer.write(b"GET /ready HTTP/1.1\r\nx: ")
        status = 0
        async with asyncio.timeout(20.0):
            while status != 200:
                await asyncio.sleep(0.1)
                # The probe is cut off while there are too many connections.
                with contextlib.suppress(asyncio.IncompleteReadError):
                    status = await relay.ready_status()
        for _, writer in opened:
            writer.close()

    run(scenario, tmp_path)

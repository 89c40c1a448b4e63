"""Tests of a deployment of separate processes, without nodes."""

import asyncio
import gc
from pathlib import Path

import pytest

from buckthornshed.load.experiment import Event, run_experiment
from buckthornshed.load.fleet import Fleet, find_retry_allowance, read_objects
from buckthornshed.load.plan import ClientBehaviour, Phase, Plan, Traffic
from buckthornshed.load.processes import PORTS_PER_BLOCK, FleetError, Ports

OTHER_DRIVERS = 5

OBJECTS = """
[target.front-1]
service = "front"
failure_domain = "a"
[target.front-2]
service = "front"
failure_domain = "b"
[target.back-1]
service = "back"
failure_domain = "a"
[target.back-2]
service = "back"
failure_domain = "b"
[retry.few]
allowance = 2
[retry.none]
allowance = 0
[route.read]
service = "front"
methods = ["GET"]
path = "/"
retry = "few"
[route.read-once]
service = "front"
methods = ["GET"]
path = "/once"
retry = "none"
"""

BEHAVIOUR = """
[[service.front.route]]
method = "GET"
path = "/"
service_ms = 1.0
calls = [{ service = "back", method = "GET", path = "/" }]
[[service.back.route]]
method = "GET"
path = "/"
service_ms = 1.0
"""


@pytest.fixture
def folder(tmp_path):
    (tmp_path / "set").mkdir()
    (tmp_path / "set" / "objects.toml").write_text(OBJECTS)
    (tmp_path / "behaviour.toml").write_text(BEHAVIOUR)
    return tmp_path


def create_fleet(folder: Path, behaviour="behaviour.toml"):
    return Fleet(
        objects=read_objects(folder / "set"),
        behaviour=folder / behaviour,
        nodes=False,
        folder=folder,
        ports=Ports(),
    )


@pytest.mark.processes
def test_run_on_processes_with_a_kill_and_a_planned_stop(folder):
    plan = Plan(
        rate=40.0,
        traffic=(Traffic("browsing", 1, "front", "GET", "/"),),
        phase=(Phase("calm", 1.0),),
        client=ClientBehaviour(timeout_ms=30_000.0, retries=0),
    )
    events = (Event(0.3, "kill", "back-1"), Event(0.6, "stop", "front-1"))
    fleet = create_fleet(folder)

    async def check():
        return await run_experiment(
            fleet,
            plan,
            events,
            behaviour=folder / "behaviour.toml",
            bottleneck="back",
            report=lambda line: None,
        )

    result = asyncio.run(check())
    ledgers = {ledger.name: ledger for ledger in fleet.ledgers()}
    assert all(ledger.entries for ledger in ledgers.values())
    stops = next(one for one in result.checks if "planned" in one.guarantee)
    assert "1 stops, exit codes not 0: none" in stops.detail
    assert result.summary["results"]["whole"] > 0
    assert "wrong" not in result.summary["results"]


@pytest.mark.processes
def test_process_that_does_not_start_is_named_with_its_log(folder):
    (folder / "faulty.toml").write_text("[service.front]\nslots = 0\n")

    async def start():
        async with create_fleet(folder, "faulty.toml"):
            pass

    with pytest.raises(ExceptionGroup) as raised:
        asyncio.run(start())
    error = raised.value.exceptions[0]
    assert isinstance(error, FleetError)
    assert "faulty.toml" in str(error)


def test_ports_of_two_drivers_are_distinct():
    drivers = [Ports(), Ports()]
    assert len({ports.allocate() for ports in drivers for _ in range(20)}) == 40


# Guards against two test runs that use the same port: the block of a fleet was free
# again as soon as the fleet had its addresses, before its processes were started.
def test_the_ports_of_a_fleet_are_reserved_as_long_as_it_exists(folder):
    fleet = create_fleet(folder)
    gc.collect()
    first = int(fleet.platform.rpartition(":")[2])
    others = [Ports() for _ in range(OTHER_DRIVERS)]
    blocks = {port.next // PORTS_PER_BLOCK for port in others}
    assert first // PORTS_PER_BLOCK not in blocks
    for ports in others:
        for lock in ports.locks:
            lock.close()


@pytest.mark.parametrize(("path", "expected"), [("/", 2), ("/once/7", 0)])
def test_allowance_is_that_of_the_longest_route(folder, path, expected):
    kind = Traffic("browsing", 1, "front", "GET", path)
    assert find_retry_allowance(read_objects(folder / "set"), kind) == expected


def test_request_type_without_a_route_is_rejected(folder):
    with pytest.raises(FleetError, match="no route"):
        find_retry_allowance(
            read_objects(folder / "set"), Traffic("x", 1, "back", "GET", "/")
        )


def test_ports_of_a_further_block_follow_when_one_is_used_up():
    ports = Ports()
    addresses = [ports.allocate() for _ in range(PORTS_PER_BLOCK + 1)]
    assert len(set(addresses)) == len(addresses)
    assert len(ports.locks) == 2
    for lock in ports.locks:
        lock.close()

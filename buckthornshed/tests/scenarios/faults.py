"""Steps of the scenario language that disturb a simulated fleet."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from ...coordination.actions import Action
from ...protocol.messages import Fault

if TYPE_CHECKING:
    from .driver import World
    from .incarnation import NodeIncarnation

FAULTS: dict[str, Callable[..., None]] = {}


def fault(function):
    """Register the function as a step of the scenario language, by its name."""
    FAULTS[function.__name__] = function
    return function


@fault
def kill(world: "World", part: str, name: str) -> None:
    if part != "target" and name in world.processes:
        world.stop(world.processes[name])
    if part == "node":
        return
    world.down_targets.add(name)
    for run in world.runs:
        if run.target == name and not run.finished:
            run.finished = True
            world._report_target_fault(run.process, Fault(run.exchange, True, "killed"))


@fault
def replace(world: "World", part: str, name: str) -> None:
    world.down_targets.discard(name)
    if part == "target":
        return
    if name in world.processes:
        world.stop(world.processes[name])
    world.start(name)


@fault
def freeze(world: "World", name: str, seconds: float) -> None:
    process = world.processes.get(name)
    if process is None:
        return
    node = world.simulation.by_name[name]
    process.frozen = node.frozen = True

    def unfreeze() -> None:
        node.frozen = False
        process.resume()

    world.schedule_after(seconds, unfreeze)


@fault
def drain(world: "World", name: str) -> None:
    process = world.processes.get(name)
    if process is None:
        return
    world.drain_started_at[name] = world.now

    def handle_drain_notice(other: "NodeIncarnation") -> list[Action]:
        other.core.mark_draining(other.now, name)
        return []

    for caller in process.core.stop(process.now):
        world._send_message(process, caller, handle_drain_notice)


@fault
def restart_all(world: "World") -> None:
    names = [peer.name for peer in world.peers]

    def restart_next() -> None:
        if not names:
            return
        name = names.pop(0)
        drain(world, name)

        def start_when_stopped() -> None:
            if name in world.processes:
                world.schedule_after(0.1, start_when_stopped)
                return
            world.start(name)
            restart_next()

        start_when_stopped()

    restart_next()


@fault
def publish(world: "World", generation: int) -> None:
    world.publish(generation)


@fault
def publish_twice(world: "World", generation: int) -> None:
    world.publish(generation, b"-one")
    world.schedule_after(0.05, lambda: world.publish(generation, b"-other"))


@fault
def roll_back(world: "World") -> None:
    platform = world.simulation.platform
    for key, (_, body) in world.first_values.items():
        platform.put(key, body)
    watches, platform.watches = platform.watches, []
    for notify in watches:
        notify()


@fault
def surge(world: "World", factor: float, *, revert: bool = False) -> None:
    world.load_factor = 1.0 if revert else factor


@fault
def slow(world: "World", name: str, factor: float, *, revert: bool = False) -> None:
    world.slowed[name] = 1.0 if revert else factor


@fault
def shed(world: "World", name: str, *, revert: bool = False) -> None:
    (world.shedding.discard if revert else world.shedding.add)(name)


@fault
def cut(world: "World", left, right, *, revert: bool = False) -> None:
    pair = (set(left), set(right))
    (world.partitions.remove if revert else world.partitions.append)(pair)


@fault
def platform_down(world: "World", *, revert: bool = False) -> None:
    world.simulation.platform.down = not revert


@fault
def platform_stale(world: "World", *, revert: bool = False) -> None:
    platform = world.simulation.platform
    world.simulation.stale = None if revert else dict(platform.values)


@fault
def tear(world: "World", *, revert: bool = False) -> None:
    world.truncating = not revert

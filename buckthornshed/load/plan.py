"""Plans of load runs, read from TOML files."""

from pathlib import Path
from typing import Annotated, NamedTuple

from pydantic import Field

from ..toml_file import read_toml

__all__ = ["ClientBehaviour", "Phase", "Plan", "Traffic", "Trigger", "read_plan"]

Positive = Annotated[float, Field(gt=0.0)]
NonNegative = Annotated[float, Field(ge=0.0)]
Count = Annotated[int, Field(ge=0)]


class ClientBehaviour(NamedTuple):
    """Timeouts and retries of the clients.

    Parameters
    ----------
    timeout_ms : float
        Timeout of one attempt, milliseconds.
    retries : int
        Maximum number of retries of a request.
    pause_ms : float
        Mean pause before a retry, milliseconds.
    honour_retry_after : bool
        Whether a client waits at least for the Retry-After time of an answer.
    """

    timeout_ms: Positive = 1000.0
    retries: Count = 3
    pause_ms: NonNegative = 50.0
    honour_retry_after: bool = False


class Traffic(NamedTuple):
    """One type of request in the traffic mix.

    Parameters
    ----------
    purpose : str
        Purpose, as in a route of the configuration.
    rank : int
        Rank of its priority; requests of rank 0 are refused last.
    service, method, path : str
        Service, HTTP method and path that are called.
    weight : float
        Share of the arrivals, relative to the weights of the other types.
    keyed : bool
        Whether requests carry an idempotency key.
    body : str
        Request body.
    deadline_ms : int
        Deadline that requests carry, milliseconds; 0 sends none.
    """

    purpose: str
    rank: Count
    service: str
    method: str
    path: str
    weight: Positive = 1.0
    keyed: bool = False
    body: str = ""
    deadline_ms: Count = 0


class Phase(NamedTuple):
    """An interval of the run with arrivals at ``factor`` times the plan's rate."""

    name: str
    seconds: Positive
    factor: NonNegative = 1.0


class Trigger(NamedTuple):
    """An HTTP call that the load generator makes at a given time of the run.

    ``address`` is ``ip:port`` or a host name with a port.
    """

    at_s: NonNegative
    method: str
    address: str
    path: str
    body: str = ""


class Plan(NamedTuple):
    """The plan of a load run.

    Parameters
    ----------
    rate : float
        Arrivals per second at factor 1.
    seed : int
        Seed of arrivals, request types and pauses.
    trigger_end_s : float or None
        End of the disturbance, from which recovery is measured; None takes the end
        of the last phase with a factor other than 1, or the last trigger if that is
        later.
    """

    rate: Positive
    traffic: Annotated[tuple[Traffic, ...], Field(min_length=1)]
    phase: Annotated[tuple[Phase, ...], Field(min_length=1)]
    seed: int = 1
    client: ClientBehaviour = ClientBehaviour()
    trigger: tuple[Trigger, ...] = ()
    trigger_end_s: NonNegative | None = None

    def duration_s(self) -> float:
        """Return the duration of the run, seconds."""
        return sum(phase.seconds for phase in self.phase)

    def phase_at(self, elapsed_s: float) -> Phase:
        """Return the phase at a time of the run; after the end, the last phase."""
        for phase in self.phase:
            elapsed_s -= phase.seconds
            if elapsed_s < 0.0:
                return phase
        return self.phase[-1]

    def disturbance_end_s(self) -> float:
        """Return the end of the last surge or trigger, seconds from the start."""
        if self.trigger_end_s is not None:
            return self.trigger_end_s
        end = max((trigger.at_s for trigger in self.trigger), default=0.0)
        elapsed = 0.0
        for phase in self.phase:
            elapsed += phase.seconds
            if phase.factor != 1.0:
                end = max(end, elapsed)
        return end


def read_plan(path: Path) -> Plan:
    """Read a plan.

    Raises
    ------
    SettingsError
        If the file cannot be read or a field is unknown or out of range.
    """
    return read_toml(path, Plan, expected="a load plan")

"""What clients and targets of a scenario did, for its expectations."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ...protocol.messages import Answer

if TYPE_CHECKING:
    from .incarnation import NodeIncarnation

CONNECTION_LOST = "connection lost"
TIMED_OUT = "timed out"


@dataclass(slots=True)
class TargetRun:
    """One run of a call at a fake target."""

    process: "NodeIncarnation"
    exchange: int
    target: str
    service: str
    prefix: str
    method: bytes
    client_id: str
    request_id: bytes
    started_at: float
    ended_at: float | None = None
    finished: bool = False
    steps: Any = None


@dataclass(slots=True)
class Attempt:
    """One attempt of a client request, with the result that the client saw."""

    started_at: float
    request_id: bytes | None = None
    ended_at: float | None = None
    result: str | Answer | None = None
    token: int | None = None


@dataclass(slots=True)
class Client:
    """A client request with all its attempts."""

    client_id: str
    kind: str
    started_at: float
    key: str | None
    attempts: list[Attempt] = field(default_factory=list)

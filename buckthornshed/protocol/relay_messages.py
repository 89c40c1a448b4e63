"""Messages between relays, and the header names of a deployment."""

import math
from enum import IntEnum
from typing import NamedTuple

import msgspec

from ..state.catalog import Catalog, Target
from ..state.generation import Generation
from .crash_messages import CrashNotice
from .quota_messages import QuotaGrant, QuotaLow, QuotaQuestion, QuotaUse

__all__ = [
    "AnswerMessage",
    "CallMessage",
    "CancelMessage",
    "DrainNotice",
    "FleetUpdate",
    "HeaderNames",
    "Hello",
    "Ping",
    "Pong",
    "ReaderReport",
    "RefusalMessage",
    "RefusalReason",
    "RelayMessage",
    "StatedLimit",
    "Status",
    "ViewRequest",
    "ViewSummary",
    "Welcome",
]

FAILED_STATUS = 500
"""Lowest status of an answer that counts as a failure of the target."""


class HeaderNames(NamedTuple):
    """Header names of the deployment, in lower case.

    Parameters
    ----------
    request_id : bytes
        Identifier of one attempt of a client; targets echo it.
    deadline : bytes
        Time to the deadline, in milliseconds.
    expected_target : bytes
        Name of the only target that may run the request.
    calling_service : bytes
        Service of the instance that sent the request.
    not_run : bytes
        Present if the target that answers did not run the request.
    signature : bytes
        The target's signature of its answer.
    target_name : bytes
        Name of the target that answered.
    rate_limit : bytes
        Requests per second that the target takes from all relays together.
    leaving : bytes
        Present with the value 1 if the target is about to stop.
    credential : bytes
        Key of the client's workspace; absent where clients need none.
    workspace : bytes
        Name of the workspace that a request belongs to.
    """

    request_id: bytes
    deadline: bytes
    expected_target: bytes
    calling_service: bytes
    not_run: bytes
    signature: bytes
    target_name: bytes
    rate_limit: bytes
    leaving: bytes
    credential: bytes
    workspace: bytes


class RefusalReason(IntEnum):
    """Reason why a call ended without an answer of the target."""

    OVERLOAD = 1
    """The target is overloaded; the call did not run."""
    LEAVING = 2
    """The target or its instance is draining; the call did not run."""
    WRONG_TARGET = 3
    """Another target has the address; the call did not run."""
    UNREACHABLE = 4
    """No connection could be made, or the target seems down; the call did not run."""
    EXPIRED = 5
    """The call could not meet its deadline and was not sent; it did not run."""
    TARGET_FULL = 6
    """The target rejected the call; the call did not run."""
    NOT_ADMITTED = 7
    """A service that the call needs is saturated; the call did not run."""
    LOST = 8
    """The call was sent, but got no usable answer; it may have run."""
    TIMED_OUT = 9
    """The deadline passed before an answer came; if sent, the call may have run."""
    RATE_LIMITED = 10
    """The rate limit that the target states is used up; the call did not run."""
    RETRY_LIMITED = 11
    """The calls of a retried run would exceed the retry limit; it did not run."""
    CRASHED = 12
    """The target ended while it ran the call."""
    QUARANTINED = 13
    """The request has crashed targets and is not sent for a while; it did not run."""
    ISOLATED = 14
    """The request is suspected of crashes, and another suspect runs; it did not run."""

    @property
    def may_have_run(self) -> bool:
        """Whether the call may have run."""
        return self in MAY_HAVE_RUN_REASONS


def _long_digits(generation: Generation) -> str:
    """Return the digits of a generation that exceeds its field, else nothing."""
    digits = str(generation)
    return "" if str(generation.abbreviation) == digits else digits


MAY_HAVE_RUN_REASONS = frozenset(
    {RefusalReason.LOST, RefusalReason.TIMED_OUT, RefusalReason.CRASHED}
)


class Hello(msgspec.Struct, array_like=True, tag=0):
    """First message on a connection: introduces the relay that opened it.

    `name` is the name of its instance, `started` the time of its start in Unix
    milliseconds, `instance` the IP address of its instance. `expects_welcome` is
    whether it understands a `Welcome`, which versions before this field do not.
    """

    name: str
    started: int
    instance: str = ""
    expects_welcome: bool = False


class Welcome(msgspec.Struct, array_like=True, tag=16):
    """Answers a `Hello` that expects it.

    `started` is the start of the sender of this message in Unix milliseconds.
    `last_exchange` is the highest number of the calls that it has received from the
    other relay on earlier connections. It has closed these and reads no more from them.
    """

    started: int
    last_exchange: int


class CallMessage(msgspec.Struct, array_like=True, tag=1):
    """A request for the target beside the receiver.

    `exchange` identifies the call among those of its sender. `head` is the request's
    head without its final empty line; the receiver adds the deadline and the expected
    target. `rank` is the rank of the client request that started the call chain.
    `is_retry` is true if the call or an upstream run is a retry. `time_left` is the
    time to the deadline in seconds. `workspace` is the name of the workspace of that
    client request, empty if it has none.
    """

    exchange: int
    target: str
    route: str
    rank: int
    idempotent: bool
    is_retry: bool
    time_left: float
    request_id: bytes
    head: bytes
    body: bytes
    workspace: str = ""


class AnswerMessage(msgspec.Struct, array_like=True, tag=2):
    """A target's complete answer; `head` lacks its final empty line.

    `load` is the number of the target's running and queued calls over its concurrency
    limit, `call_time` the smoothed time of a call of the same route, in seconds.
    `rate_limit` is the calls per second that the target takes from all relays together,
    infinite if it states no limit. `leaving` is true if the target states that it is
    about to stop.
    """

    exchange: int
    status: int
    head: bytes
    body: bytes
    load: float
    call_time: float
    rate_limit: float = math.inf
    leaving: bool = False

    @property
    def failed(self) -> bool:
        """Whether the target failed to serve the request."""
        return self.status >= FAILED_STATUS


class RefusalMessage(msgspec.Struct, array_like=True, tag=3):
    """The end of a call without an answer of the target.

    `retry_after` is in seconds; `load` is as in answers.
    """

    exchange: int
    reason: RefusalReason
    retry_after: float
    load: float


class CancelMessage(msgspec.Struct, array_like=True, tag=4):
    """Cancels a call; the caller no longer needs the answer."""

    exchange: int


class Ping(msgspec.Struct, array_like=True, tag=5):
    """Checks that the other relay still responds."""


class Pong(msgspec.Struct, array_like=True, tag=6):
    """Answers a ping; `load` is as in answers."""

    load: float


class DrainNotice(msgspec.Struct, array_like=True, tag=7):
    """Announces that the sender's instance is draining.

    The receiver sends it new calls only if no other target is available.
    """


class Status(msgspec.Struct, array_like=True, tag=9):
    """Load and capacity of the sender's target and request rates of its clients.

    Parameters
    ----------
    service, target : str
        Service and name of the target; `target` is empty if the name is not known.
    load : float
        As in answers.
    slots : float
        Estimated number of the target's slots that admitted calls may fill.
    call_times : dict
        By route, the time that a call holds a slot of the target, in seconds.
    offered : dict
        By class of requests, new ones per second of the sender's clients.
    calls : dict or None
        By route, the mean calls of a run by called route; None if unchanged.
    rejection_rate : float
        Fraction of its calls that the target itself rejects.
    rate_limit : float or None
        As in answers; None if the sender does not know whether its target states one.
    """

    service: str
    target: str
    load: float
    slots: float
    call_times: dict[str, float]
    offered: dict[str, float]
    calls: dict[str, dict[str, float]] | None = None
    rejection_rate: float = 0.0
    rate_limit: float | None = None


class ViewRequest(msgspec.Struct, array_like=True, tag=10):
    """Asks for the whole view of the fleet; the sender has no configuration."""


class StatedLimit(NamedTuple):
    """Rate limit of one incarnation of a target, in calls per second."""

    target: str
    started: int
    rate: float


class ReaderReport(NamedTuple):
    """Whether the relay on an instance, named by its IP address, reads the store."""

    instance: str
    reads: bool


class ViewSummary(msgspec.Struct, array_like=True):
    """What a relay knows of the fleet after a read of the store.

    Parameters
    ----------
    revision : int
        Revision of the store up to which it has read, of 64 bits.
    generation : Generation
        Generation of its configuration; `NO_GENERATION` if it has none.
    targets : int
        Digest of the registrations that it knows.
    long_generation : str
        Digits of a generation that exceeds its field on the wire, else empty. Versions
        before this field ignore it, and compare the abbreviation.
    """

    revision: int
    generation: Generation
    targets: int
    long_generation: str = ""

    def __post_init__(self) -> None:
        """Fill in the long generation, or take it over after decoding."""
        if self.long_generation:
            self.generation = Generation(self.long_generation)
        else:
            self.long_generation = _long_digits(self.generation)


class FleetUpdate(msgspec.Struct, array_like=True, tag=8):
    """Configuration and registrations that the receiver may not know yet.

    Parameters
    ----------
    catalog : Catalog or None
        The newest configuration.
    targets : list of Target
        Registered targets.
    tombstones : list of tuple
        Name, start and last sequence number of targets that are no longer registered.
    limits : list of StatedLimit
        Limits that the sender remembers; the targets may have ended them since.
    leaving : list of tuple
        Name and start of targets that have stated that they are leaving.
    reader : ReaderReport or None
        Whether the sender can read the store and tells what it reads.
    silent : list of str
        Instances whose relays do not answer the sender.
    summary : ViewSummary or None
        What the sender knows after this and earlier updates, if it has just read the
        store. Versions before this field ignore it.
    long_generation : str
        Digits of the catalog's generation if it exceeds its field on the wire, else
        empty. Versions before this field take over the abbreviation.
    """

    catalog: Catalog | None = None
    targets: list[Target] = []
    tombstones: list[tuple[str, int, int]] = []
    limits: list[StatedLimit] = []
    leaving: list[tuple[str, int]] = []
    reader: ReaderReport | None = None
    silent: list[str] = []
    summary: ViewSummary | None = None
    long_generation: str = ""

    def __post_init__(self) -> None:
        """Fill in the long generation, or take it over after decoding."""
        if self.catalog is None:
            return
        if self.long_generation:
            generation = Generation(self.long_generation)
            self.catalog = self.catalog._replace(generation=generation)
        else:
            self.long_generation = _long_digits(self.catalog.generation)


RelayMessage = (
    Hello
    | CallMessage
    | AnswerMessage
    | RefusalMessage
    | CancelMessage
    | Ping
    | Pong
    | DrainNotice
    | FleetUpdate
    | Status
    | ViewRequest
    | Welcome
    | CrashNotice
    | QuotaUse
    | QuotaQuestion
    | QuotaGrant
    | QuotaLow
)

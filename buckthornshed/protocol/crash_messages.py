"""What relays tell each other about requests that may crash targets."""

from typing import NamedTuple

import msgspec

from ..state.catalog import Release

__all__ = ["Clearance", "Crash", "CrashNotice", "ReleaseCrash", "ToldQuarantine"]


class Crash(NamedTuple):
    """The end of a target while it ran requests.

    Parameters
    ----------
    instance : str
        IP address of the target's instance.
    at_ms : int
        Unix milliseconds at which the relay on the instance noticed it.
    release : Release
        What the target ran.
    suspects : list of bytes
        Fingerprints of the requests that the target ran.
    """

    instance: str
    at_ms: int
    release: Release
    suspects: list[bytes]


class ReleaseCrash(NamedTuple):
    """The latest crash of a release under a request, in Unix milliseconds."""

    release: Release
    at_ms: int


class ToldQuarantine(NamedTuple):
    """A quarantine as one relay tells it to another.

    Parameters
    ----------
    fingerprint : bytes
        The request.
    crashes : list of ReleaseCrash
        The releases whose targets it has crashed.
    failed_trials : int
        Crashes after a quarantine had ended.
    seconds : float
        Time for which these releases do not get the request.
    trial_seconds : float
        Time for which no release gets it, as one target tries it.
    """

    fingerprint: bytes
    crashes: list[ReleaseCrash]
    failed_trials: int
    seconds: float
    trial_seconds: float


class Clearance(NamedTuple):
    """A request that a target of a release has answered; the time as in crashes."""

    fingerprint: bytes
    release: Release
    at_ms: int


class CrashNotice(msgspec.Struct, array_like=True, tag=11):
    """Crashes, quarantines and clearances that the receiver may not know yet."""

    crashes: list[Crash] = []
    quarantines: list[ToldQuarantine] = []
    clearances: list[Clearance] = []

"""Outcomes of calls as errors."""

from typing import ClassVar

import httpx
import msgspec

from ..errors import BuckthornshedError
from ..protocol.http import OUTCOME_HEADER
from ..protocol.outcome import Outcome

__all__ = [
    "CallError",
    "CallFailedError",
    "CallNotRunError",
    "CallUnknownError",
    "error_of",
    "read_outcome",
]

OUTCOME = OUTCOME_HEADER.decode()
OUTCOMES: dict[str, Outcome] = {outcome.value: outcome for outcome in Outcome}
PROBLEM_PREFIX = "urn:buckthornshed:problem:"


class CallError(BuckthornshedError):
    """A call did not complete.

    Parameters
    ----------
    subject : str
        Method, service and path of the call.
    response : httpx.Response, optional
        The whole response; None if the call was not sent.

    Attributes
    ----------
    outcome : Outcome
        What became of the call.
    reason : str or None
        Why a node answered in place of a target, see `protocol.outcome.Reason`.
    retry_after : float or None
        Seconds after which to come back.
    """

    outcome: ClassVar[Outcome]

    def __init__(
        self, *, subject: str, found: str, response: httpx.Response | None = None
    ) -> None:
        super().__init__(subject=subject, found=found, expected="a complete answer")
        self.response = response
        self.reason = None if response is None else _reason(response)
        self.retry_after = None if response is None else _retry_after(response)


ERRORS: dict[str, type[CallError]] = {}


def for_outcome(error: type[CallError]) -> type[CallError]:
    """Register the error of an outcome."""
    ERRORS[error.outcome] = error
    return error


@for_outcome
class CallNotRunError(CallError):
    """The call ran nowhere; it may be repeated, whatever it asks for."""

    outcome = Outcome.NOT_RUN


@for_outcome
class CallFailedError(CallError):
    """The call ran and failed; it is as safe to repeat as the work itself is."""

    outcome = Outcome.FAILED


@for_outcome
class CallUnknownError(CallError):
    """The call may have run; only work that may be repeated may be sent again."""

    outcome = Outcome.UNKNOWN


def read_outcome(response: httpx.Response) -> Outcome | None:
    """Return the outcome that a node states; None if no node answered."""
    return OUTCOMES.get(response.headers.get(OUTCOME, ""))


def error_of(subject: str, response: httpx.Response) -> CallError | None:
    """Return the error of a response that was read; None if the call completed."""
    outcome = read_outcome(response)
    error = None if outcome is None else ERRORS.get(outcome)
    if error is None or outcome is None:
        return None
    found = f"outcome {outcome.value}, status {response.status_code}"
    return error(subject=subject, found=found, response=response)


def _reason(response: httpx.Response) -> str | None:
    try:
        kind = msgspec.json.decode(response.content, type=dict[str, object])["type"]
    except (msgspec.DecodeError, KeyError):
        return None
    text = str(kind)
    if not text.startswith(PROBLEM_PREFIX):
        return None
    return text.removeprefix(PROBLEM_PREFIX)


def _retry_after(response: httpx.Response) -> float | None:
    value = response.headers.get("retry-after", "")
    return float(value) if value.isdecimal() else None

"""Exceptions for calls that did not complete."""

from typing import ClassVar

import httpx
import msgspec

from ..errors import BuckthornshedError
from ..protocol.decoding import DECODE_ERRORS
from ..protocol.http import OUTCOME_HEADER
from ..protocol.outcome import Outcome

__all__ = [
    "CallError",
    "CallFailedError",
    "CallNotRunError",
    "CallUnknownError",
    "create_error",
    "read_outcome",
]

OUTCOME_HEADER_NAME = OUTCOME_HEADER.decode()
OUTCOMES_BY_VALUE: dict[str, Outcome] = {outcome.value: outcome for outcome in Outcome}
PROBLEM_PREFIX = "urn:buckthornshed:problem:"


class CallError(BuckthornshedError):
    """A call did not complete.

    Parameters
    ----------
    subject : str
        Method, service and path of the call.
    found : str
        What happened instead of a complete answer.
    response : httpx.Response, optional
        Complete response; None if the call was not sent.

    Attributes
    ----------
    outcome : Outcome
        Outcome of the call.
    reason : str or None
        Why a node answered in place of a target, see `protocol.outcome.Reason`; None
        if the response does not state it.
    retry_after : float or None
        Seconds to wait before a retry; None if the response does not state them.
    """

    outcome: ClassVar[Outcome]

    def __init__(
        self, *, subject: str, found: str, response: httpx.Response | None = None
    ) -> None:
        super().__init__(subject=subject, found=found, expected="a complete answer")
        self.response = response
        self.reason = None if response is None else _reason(response)
        self.retry_after = None if response is None else _retry_after(response)


ERRORS_BY_OUTCOME: dict[str, type[CallError]] = {}


def register_error(error: type[CallError]) -> type[CallError]:
    """Register the exception class of an outcome."""
    ERRORS_BY_OUTCOME[error.outcome] = error
    return error


@register_error
class CallNotRunError(CallError):
    """The call did not run at any target; it may be retried, whatever it does."""

    outcome = Outcome.NOT_RUN


@register_error
class CallFailedError(CallError):
    """The call ran and failed; whether a retry is safe depends on the operation."""

    outcome = Outcome.FAILED


@register_error
class CallUnknownError(CallError):
    """The call may have run; only repeatable operations may be retried."""

    outcome = Outcome.UNKNOWN


def read_outcome(response: httpx.Response) -> Outcome | None:
    """Return the outcome that a node reported; None if missing or unrecognized."""
    return OUTCOMES_BY_VALUE.get(response.headers.get(OUTCOME_HEADER_NAME, ""))


def create_error(subject: str, response: httpx.Response) -> CallError | None:
    """Return the error for a response that was read, or None.

    The result is None if the call completed or no node reported an outcome.
    """
    outcome = read_outcome(response)
    error = None if outcome is None else ERRORS_BY_OUTCOME.get(outcome)
    if error is None or outcome is None:
        return None
    found = f"outcome {outcome.value}, status {response.status_code}"
    return error(subject=subject, found=found, response=response)


def _reason(response: httpx.Response) -> str | None:
    try:
        problem_type = msgspec.json.decode(response.content, type=dict[str, object])[
            "type"
        ]
    except (*DECODE_ERRORS, KeyError):
        return None
    text = str(problem_type)
    if not text.startswith(PROBLEM_PREFIX):
        return None
    return text.removeprefix(PROBLEM_PREFIX)


def _retry_after(response: httpx.Response) -> float | None:
    value = response.headers.get("retry-after", "")
    return float(value) if value.isdecimal() else None

"""Records of client requests and their attempts."""

from enum import StrEnum
from typing import NamedTuple

__all__ = ["Attempt", "RequestRecord", "Result"]


class Result(StrEnum):
    """Result of one attempt, as the client sees it.

    ``SUCCEEDED`` is a complete answer with status 200, ``WRONG`` one with status 200
    that is incomplete or of another request. ``REFUSED`` is an answer that states that
    the request did not run, or has status 429 or 503 and states no outcome; ``FAILED``
    is any other status. ``LOST`` is a connection that failed or carried a malformed
    response, ``UNREACHABLE`` a connection that could not be made.
    """

    SUCCEEDED = "whole"
    WRONG = "wrong"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"


class Attempt(NamedTuple):
    """One attempt of a client request.

    Parameters
    ----------
    attempt_id : str
        Request id that the attempt carried.
    address : str
        Address that it was sent to.
    start, end : float
        Seconds from the start of the run.
    result : Result
        Result of the attempt.
    status : int
        HTTP status code, 0 if there was no answer.
    outcome, reason : str
        Outcome and reason that a refusing or failing answer states, or empty
        strings.
    detail : str
        Description of the error, for display.
    """

    attempt_id: str
    address: str
    start: float
    end: float
    result: Result
    status: int
    outcome: str
    reason: str
    detail: str


class RequestRecord(NamedTuple):
    """A client request with all its attempts.

    Parameters
    ----------
    request_id : str
        The id, from which the ids of the attempts are derived.
    traffic_index : int
        Index of its request type in the traffic of the plan.
    key : str
        Idempotency key, or an empty string.
    arrival : float
        Scheduled arrival time, seconds from the start of the run.
    attempts : tuple of Attempt
        Attempts in order.
    """

    request_id: str
    traffic_index: int
    key: str
    arrival: float
    attempts: tuple[Attempt, ...]

    def succeeded(self) -> bool:
        """Return whether the last attempt got its complete answer."""
        return self.attempts[-1].result is Result.SUCCEEDED

    def latency_s(self) -> float:
        """Return the seconds from the scheduled arrival to the end of the request."""
        return self.attempts[-1].end - self.arrival

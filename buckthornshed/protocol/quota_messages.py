"""What relays tell each other about the quotas of workspaces."""

import msgspec

__all__ = ["QuotaGrant", "QuotaLow", "QuotaQuestion", "QuotaUse"]


class QuotaUse(msgspec.Struct, array_like=True, tag=12):
    """Requests by workspace that the sender has admitted without asking.

    A number is negative if more were admitted before that did not run.
    """

    requests: dict[str, int]


class QuotaQuestion(msgspec.Struct, array_like=True, tag=13):
    """Asks the owner of a quota for one request; `number` identifies the question."""

    number: int
    workspace: str


class QuotaGrant(msgspec.Struct, array_like=True, tag=14):
    """Answers a question; `retry_after` is in seconds, if it is not granted.

    `low` tells whether the receiver is to go on asking.
    """

    number: int
    granted: bool
    retry_after: float
    low: bool


class QuotaLow(msgspec.Struct, array_like=True, tag=15):
    """Names workspaces whose requests the receiver is to ask for, for a while."""

    workspaces: list[str]

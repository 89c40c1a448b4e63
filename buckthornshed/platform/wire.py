"""Names of headers, keys, paths and status codes that the platform defines."""

from ..protocol.decoding import parse_decimal
from ..protocol.http import get_header
from ..protocol.messages import Headers
from ..protocol.relay_messages import HeaderNames

__all__ = [
    "ALL_KEYS",
    "CATALOG_KEY",
    "HEADERS",
    "READY_PATH",
    "TARGET_PREFIX",
    "is_history_lost",
    "read_era",
]

HEADERS = HeaderNames(
    request_id=b"request-id",
    deadline=b"deadline-ms",
    # The platform's instance is one incarnation of a target, named by the key of its
    # registration.
    expected_target=b"expect-instance",
    calling_service=b"caller-service",
    not_run=b"not-executed",
    signature=b"response-seal",
    target_name=b"instance-id",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    credential=b"credential",
    # The platform's tenant is a workspace.
    workspace=b"tenant",
)

READY_PATH = b"/ready"

ALL_KEYS = ""
"""Prefix of all keys of the store."""

CATALOG_KEY = "op/config"
ERA_HEADER = b"store-era"
"""Header of the store's answers that rises when the store returns from an old copy."""
TARGET_PREFIX = "servers/"
"""Prefix of the keys of registrations; the name of the target follows."""


def is_history_lost(status: int) -> bool:
    """Return whether the status of a watch means that its history was dropped."""
    return status == 410


def read_era(headers: Headers) -> int | None:
    """Return the number of the copy that the store runs from, None if not stated."""
    value = get_header(headers, ERA_HEADER)
    return None if value is None else parse_decimal(value)

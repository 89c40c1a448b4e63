"""Which text can be sent as the value of a header, and read from one.

A value may contain spaces and tabs, but not at its ends, where receivers remove them,
and no control characters (RFC 9110, section 5.5). Text beyond ASCII is sent as UTF-8.
"""

import re

__all__ = ["decode_value", "host_name", "is_header_value"]

MAX_VALUE_BYTES = 16_384
"""Length of a value beyond which heads become longer than receivers take."""
SENDABLE = re.compile(r"(?![ \t])[^\x00-\x08\x0a-\x1f\x7f]*[^\x00-\x20\x7f]")


def is_header_value(text: str) -> bool:
    """Return whether a receiver of a header with this value reads the same text."""
    if SENDABLE.fullmatch(text) is None:
        return False
    try:
        return len(text.encode()) <= MAX_VALUE_BYTES
    except UnicodeEncodeError:
        return False


def decode_value(value: bytes) -> str:
    """Return the text of a received value; bytes that are not UTF-8 stay distinct."""
    return value.decode("utf-8", "surrogateescape")


def host_name(host: str) -> str:
    """Return a host in lower case without its port."""
    if host.startswith("["):
        address, bracket, _ = host.partition("]")
        return f"{address}{bracket}".lower()
    return host.partition(":")[0].lower()

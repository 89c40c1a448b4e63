"""Exception hierarchy of the package."""

__all__ = [
    "BuckthornshedError",
    "ConfigurationError",
    "ContextError",
    "PeerError",
    "PlatformError",
    "SettingsError",
    "TableFullError",
    "UpstreamError",
]


class BuckthornshedError(Exception):
    """Base class of all exceptions that the package raises.

    Parameters
    ----------
    subject : str
        What the error concerns, such as a file, an object, a header or an address.
    found : str
        Value or state that was found.
    expected : str
        Value or state that is required.
    """

    def __init__(self, *, subject: str, found: str, expected: str) -> None:
        super().__init__(f"{subject}: found {found}, expected {expected}")
        self.subject = subject
        self.found = found
        self.expected = expected


class SettingsError(BuckthornshedError):
    """The settings file of a process is invalid or unreadable."""


class ConfigurationError(BuckthornshedError):
    """A set of configuration objects is invalid."""


class ContextError(BuckthornshedError):
    """A context header is malformed, too long or fails authentication."""


class PeerError(BuckthornshedError):
    """A message between nodes is malformed, too large or fails authentication."""


class PlatformError(BuckthornshedError):
    """The platform did not respond or sent an unusable response."""


class UpstreamError(BuckthornshedError):
    """A connection to a target or to another node failed."""


class TableFullError(BuckthornshedError):
    """A bounded table is full and cannot store a new entry."""

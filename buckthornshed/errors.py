"""The exception tree: every failure of the package has a type of its own."""

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
    """Base of all errors that the package raises.

    Parameters
    ----------
    subject : str
        What the error is about: a file, an object, a header, an address.
    found : str
        What was found there.
    expected : str
        What had to be there.
    """

    def __init__(self, *, subject: str, found: str, expected: str) -> None:
        super().__init__(f"{subject}: found {found}, expected {expected}")
        self.subject = subject
        self.found = found
        self.expected = expected


class SettingsError(BuckthornshedError):
    """The settings file of a process cannot be used."""


class ConfigurationError(BuckthornshedError):
    """A set of configuration objects cannot be accepted."""


class ContextError(BuckthornshedError):
    """A context header is malformed, too long or not authentic."""


class PeerError(BuckthornshedError):
    """A message between nodes is malformed, too large or not authentic."""


class PlatformError(BuckthornshedError):
    """The platform did not answer, or answered with something unusable."""


class UpstreamError(BuckthornshedError):
    """A connection to a target or to another node failed."""


class TableFullError(BuckthornshedError):
    """A bounded table has no room for a new entry."""

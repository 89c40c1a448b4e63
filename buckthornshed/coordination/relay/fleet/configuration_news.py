"""From whom a relay has its configuration, and who knows of no newer one."""

from typing import NamedTuple

__all__ = ["NO_AGE", "STORE", "ConfigurationNews", "News"]

STORE = "store"
"""Source of what a relay has read itself."""
NO_AGE = -1.0
"""Age of something that has not happened yet."""


class News(NamedTuple):
    """Who told something, the store or another relay's instance, and when, in s."""

    source: str
    at: float

    def age(self, now: float) -> float:
        """Return the time since then in seconds, `NO_AGE` if there was nothing."""
        return round(now - self.at, 3) if self.source else NO_AGE


NOTHING = News("", 0.0)


class ConfigurationNews:
    """Origin of the configuration in force, and the latest confirmation of it.

    Attributes
    ----------
    origin : News
        Who told this relay of the configuration.
    confirmation : News
        Who told it last that the configuration is the newest one.
    """

    def __init__(self) -> None:
        self.origin = NOTHING
        self.confirmation = NOTHING

    def record_origin(self, source: str, now: float) -> None:
        """Record that a configuration came into force, which is a confirmation too."""
        self.origin = self.confirmation = News(source, now)

    def record_confirmation(self, source: str, now: float) -> None:
        """Record that a reader of the store knows of no newer configuration."""
        self.confirmation = News(source, now)

"""Fixtures, and Hypothesis profiles chosen by the variable HYPOTHESIS_PROFILE.

``ci`` gives the same verdict each time; ``long`` searches at random and prints
how to repeat what it found.
"""

import logging
import os

import pytest
from hypothesis import HealthCheck, settings

LONG_EXAMPLES = int(os.environ.get("HYPOTHESIS_EXAMPLES", "2000"))

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    "long",
    max_examples=LONG_EXAMPLES,
    deadline=None,
    print_blob=True,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


@pytest.fixture
def restored_loggers():
    """Undo what a test does to the loggers that `configure_logging` sets."""
    loggers = [logging.getLogger(), logging.getLogger("buckthornshed")]
    before = [(each.handlers, each.level, each.propagate) for each in loggers]
    yield
    for each, (handlers, level, propagate) in zip(loggers, before, strict=True):
        each.handlers = handlers
        each.setLevel(level)
        each.propagate = propagate

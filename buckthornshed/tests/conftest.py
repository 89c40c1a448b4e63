"""Hypothesis profiles, chosen by the environment variable HYPOTHESIS_PROFILE.

``ci`` gives the same verdict each time; ``long`` searches at random and prints
how to repeat what it found.
"""

import os

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

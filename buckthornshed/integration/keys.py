"""Idempotency keys for applications."""

import time
from random import SystemRandom

from ..coordination.outcomes.keys import generate_client_key

__all__ = ["create_key"]

SYSTEM_RANDOM = SystemRandom()


def create_key() -> str:
    """Return a new idempotency key, a UUID of version 7.

    A client creates one key for each operation and reuses it when it retries the
    operation.
    """
    return generate_client_key(wall=time.time(), rng=SYSTEM_RANDOM)

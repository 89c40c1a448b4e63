"""Message authentication codes (MACs) with keys that all nodes share.

Two keys may be valid at the same time, so that a key can be rotated node by node. The
first key signs; a code made with either key is accepted.
"""

import hashlib
import hmac

from ..errors import SettingsError

__all__ = ["MAC_BYTES", "MAX_KEYS", "MAX_KEY_BYTES", "MIN_KEY_BYTES", "Authenticator"]

MAC_BYTES = 16
"""Length of an authentication code."""

MIN_KEY_BYTES = 16
"""Minimum length of a key."""

MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE
"""Maximum length of a key, set by BLAKE2b."""

MAX_KEYS = 2
"""Maximum number of keys that are valid at the same time."""


class Authenticator:
    """Sign and verify encoded messages with keyed BLAKE2b.

    Parameters
    ----------
    keys : tuple of bytes
        One key, or two during a key rotation. The first key signs.

    Raises
    ------
    SettingsError
        If there is no key, if there are more than two, or if a key is too short or
        too long.
    """

    def __init__(self, *, keys: tuple[bytes, ...]) -> None:
        if not 1 <= len(keys) <= MAX_KEYS:
            raise SettingsError(
                subject="keys", found=f"{len(keys)} keys", expected=f"1 to {MAX_KEYS}"
            )
        for key in keys:
            if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
                raise SettingsError(
                    subject="keys",
                    found=f"a key of {len(key)} bytes",
                    expected=f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes",
                )
        # Each message uses a copy of a prepared hash object, which avoids hashing
        # the key again.
        self._keyed_hashes = tuple(
            hashlib.blake2b(key=key, digest_size=MAC_BYTES) for key in keys
        )

    def sign(self, payload: bytes) -> bytes:
        """Return the authentication code of a payload, ``MAC_BYTES`` long."""
        keyed_hash = self._keyed_hashes[0].copy()
        keyed_hash.update(payload)
        return keyed_hash.digest()

    def verify(self, payload: bytes, mac: bytes) -> bool:
        """Return whether ``mac`` is the payload's code under one of the keys."""
        for template in self._keyed_hashes:
            keyed_hash = template.copy()
            keyed_hash.update(payload)
            if hmac.compare_digest(keyed_hash.digest(), mac):
                return True
        return False

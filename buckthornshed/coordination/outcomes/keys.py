"""Idempotency keys: UUIDs of version 7 (RFC 9562), which contain a timestamp.

The last bytes of a key that a node generates are a tag, a digest of its other bytes.
The tag states that only one node knows the key, and that this node sends it to a
single target. A key that a client supplies must not carry the tag, because other
nodes may send the same key.
"""

import hashlib
import re
from typing import NamedTuple, Protocol

from ...errors import ContextError
from ...protocol.messages import Call

__all__ = [
    "FINGERPRINT_BYTES",
    "ParsedKey",
    "RandomBits",
    "derive_key",
    "fingerprint",
    "format_key",
    "generate_client_key",
    "generate_key",
    "generate_key_bytes",
    "has_single_sender",
    "parse_key",
]

FINGERPRINT_BYTES = 16
KEY_CHARACTERS = 36
RANDOM_BITS = 74
LOW_BITS = 62
TAG_BYTES = 4
VERSION = 7
VARIANT = 0b10
MILLISECONDS_MASK = (1 << 48) - 1
CANONICAL_UUID7 = re.compile(
    "[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class RandomBits(Protocol):
    """The part of ``random.Random`` that generates keys."""

    def getrandbits(self, k: int, /) -> int:
        """Return ``k`` random bits."""


class ParsedKey(NamedTuple):
    """A key in a valid format.

    Parameters
    ----------
    text : str
        The key in lower case.
    raw : bytes
        Its 16 bytes.
    timestamp : float
        When the key was generated, wall clock seconds of its generator.
    """

    text: str
    raw: bytes
    timestamp: float


def generate_key(*, wall: float, rng: RandomBits) -> str:
    """Return a new key that a node generates at ``wall``, with the tag."""
    return format_key(
        _with_tag(_pack_uuid7(int(wall * 1000), rng.getrandbits(RANDOM_BITS)))
    )


def generate_client_key(*, wall: float, rng: RandomBits) -> str:
    """Return a new key as a client generates it, without the tag."""
    while has_single_sender(
        raw := _pack_uuid7(int(wall * 1000), rng.getrandbits(RANDOM_BITS))
    ):
        pass
    return format_key(raw)


def generate_key_bytes(*, wall: float, rng: RandomBits) -> bytes:
    """Return the 16 bytes of a new UUID of version 7, not checked for the tag."""
    return _pack_uuid7(int(wall * 1000), rng.getrandbits(RANDOM_BITS))


def has_single_sender(raw: bytes) -> bool:
    """Return whether the key with the bytes ``raw`` carries the tag."""
    return _with_tag(raw) == raw


def parse_key(text: str) -> ParsedKey:
    """Return the parts of a key.

    Raises
    ------
    ContextError
        If ``text`` is not a UUID of version 7 in canonical form.
    """
    lowered = text.lower()
    if CANONICAL_UUID7.fullmatch(lowered) is None:
        raise ContextError(
            subject="idempotency key",
            found=repr(text[:KEY_CHARACTERS]),
            expected="a UUID of version 7, RFC 9562",
        )
    raw = bytes.fromhex(lowered.replace("-", ""))
    timestamp = int.from_bytes(raw[:6], "big") / 1000
    return ParsedKey(text=lowered, raw=raw, timestamp=timestamp)


def derive_key(
    parent: str, service: str, ordinal: int, *, single_sender: bool = True
) -> str:
    """Return the key of a downstream call of the work with the key ``parent``.

    Parameters
    ----------
    parent : str
        Key of the work that makes the downstream call.
    service : str
        Name of the called service.
    ordinal : int
        Number that distinguishes the downstream calls of this work.
    single_sender : bool
        Whether only one node derives the key, as is the case for calls made by work
        that runs at most once. The key then carries the tag.

    Returns
    -------
    str
        The same key for the same arguments, with the timestamp of ``parent``.

    Raises
    ------
    ContextError
        If ``parent`` is not a valid key.
    """
    parsed = parse_key(parent)
    seed = f"{service}\0{ordinal}".encode()
    digest = hashlib.blake2b(seed, digest_size=16, key=parsed.raw).digest()
    bits = int.from_bytes(digest, "big") & ((1 << RANDOM_BITS) - 1)
    raw = _pack_uuid7(int.from_bytes(parsed.raw[:6], "big"), bits)
    return format_key(_with_tag(raw) if single_sender else _without_tag(raw))


def fingerprint(call: Call) -> bytes:
    """Return a digest of the content and the credentials of a call.

    The digest covers the credentials so that a client which guesses or copies
    another client's key does not receive that client's answer.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    credentials = [
        value for name, value in call.headers if name in (b"authorization", b"cookie")
    ]
    for part in (call.method, call.path, call.body, *credentials):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def format_key(raw: bytes) -> str:
    """Return the canonical form of the 16 bytes of a key."""
    digits = raw.hex()
    return f"{digits[:8]}-{digits[8:12]}-{digits[12:16]}-{digits[16:20]}-{digits[20:]}"


def _with_tag(raw: bytes) -> bytes:
    """Return the key with its last bytes replaced by the tag."""
    kept = raw[:-TAG_BYTES]
    return kept + hashlib.blake2b(kept, digest_size=TAG_BYTES).digest()


def _without_tag(raw: bytes) -> bytes:
    """Return the key, with one bit flipped if it carries the tag by chance."""
    return raw[:-1] + bytes([raw[-1] ^ has_single_sender(raw)])


def _pack_uuid7(milliseconds: int, bits: int) -> bytes:
    value = (milliseconds & MILLISECONDS_MASK) << 80
    value |= VERSION << 76
    value |= (bits >> LOW_BITS) << 64
    value |= VARIANT << LOW_BITS
    value |= bits & ((1 << LOW_BITS) - 1)
    return value.to_bytes(16, "big")

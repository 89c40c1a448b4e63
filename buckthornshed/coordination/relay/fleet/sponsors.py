"""Which relays send their whole view of the fleet to a relay that has just started.

If all of them did, a start of the whole fleet would cost the square of its size. A
relay that has just started reads the store itself; the views of a few others replace
that if the store does not answer, and tell it what the store does not know.
"""

import zlib
from collections.abc import Mapping

__all__ = ["SPONSORS_PER_PART", "sponsors"]

SPONSORS_PER_PART = 3
"""Sponsors in the failure domain of the new relay, and in all others together."""


def sponsors(instance: str, domains: Mapping[str, str]) -> set[str]:
    """Return the sponsors of an instance; `domains` has the domain of each instance.

    Relays with slightly different views of the fleet choose sets that overlap.
    """
    domain = domains.get(instance)
    ordered = sorted(
        domains.keys() - {instance}, key=lambda each: _rank(instance, each)
    )
    own = [each for each in ordered if domains[each] == domain]
    others = [each for each in ordered if domains[each] != domain]
    return {*own[:SPONSORS_PER_PART], *others[:SPONSORS_PER_PART]}


def _rank(instance: str, sponsor: str) -> tuple[int, str]:
    """Return the position of a sponsor in the order of one instance."""
    return zlib.crc32(f"{sponsor}|{instance}".encode()), sponsor

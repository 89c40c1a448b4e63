"""The provider of a request while a service moves from one provider to another."""

from typing import NamedTuple

import xxhash

from ...state.objects import Shift

__all__ = ["Placement", "provider_of"]

POINTS = 10_000


class Placement(NamedTuple):
    """The provider of a request and whether a pin decided it."""

    provider: str
    pinned: bool


def provider_of(shift: Shift, *, request_id: bytes, account: str) -> Placement:
    """Return the provider that serves a request.

    The same for one request at each hop and for one account from call to call. When
    shares move, only the requests change sides whose share moved: providers take the
    points 0 to ``POINTS`` in the order of their names, and a request keeps its point.
    It does not depend on the state of any target, so that shares hold under failure.

    Parameters
    ----------
    shift : Shift
        The shift of the service.
    request_id : bytes
        Identity of the client request.
    account : str
        Account of the client, or an empty string; decides if it is known.
    """
    pinned = shift.get("pins", {}).get(account) if account else None
    if pinned is not None:
        return Placement(pinned, True)
    identity = account.encode() if account else request_id
    seed = xxhash.xxh3_64_intdigest(shift["service"].encode())
    point = xxhash.xxh3_64_intdigest(identity, seed) % POINTS
    return Placement(_share_at(shift["shares"], point), False)


def _share_at(shares: dict[str, int], point: int) -> str:
    end = 0
    for provider in sorted(shares):
        end += shares[provider] * POINTS // 100
        if point < end:
            return provider
    return max(sorted(shares), key=lambda name: shares[name])

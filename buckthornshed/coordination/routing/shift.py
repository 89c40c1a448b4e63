"""Traffic shifting: the provider of a request while a service changes providers."""

from typing import NamedTuple

import xxhash

from ...state.objects import Shift

__all__ = ["ProviderChoice", "provider_of"]

HASH_BUCKETS = 10_000


class ProviderChoice(NamedTuple):
    """The provider of a request and whether a pin selected it."""

    provider: str
    pinned: bool


def provider_of(shift: Shift, *, request_id: bytes, account: str) -> ProviderChoice:
    """Return the provider that serves a request.

    The result is the same at each hop of a request and for all calls of an account.
    The hash of the account, or of the request if the account is unknown, selects one
    of ``HASH_BUCKETS`` buckets. Providers are assigned contiguous ranges of buckets in
    the order of their names. A request keeps its bucket when shares change, so only
    the requests in reassigned buckets change provider. The state of the targets has no
    influence, so the shares hold during failures.

    Parameters
    ----------
    shift : Shift
        Configuration of the shift of the service.
    request_id : bytes
        Identifier of the client request.
    account : str
        Account of the client, or an empty string if it is unknown.
    """
    pinned = shift.get("pins", {}).get(account) if account else None
    if pinned is not None:
        return ProviderChoice(pinned, True)
    identity = account.encode() if account else request_id
    seed = xxhash.xxh3_64_intdigest(shift["service"].encode())
    bucket = xxhash.xxh3_64_intdigest(identity, seed) % HASH_BUCKETS
    return ProviderChoice(_provider_of_bucket(shift["shares"], bucket), False)


def _provider_of_bucket(shares: dict[str, int], bucket: int) -> str:
    end = 0
    for provider in sorted(shares):
        end += shares[provider] * HASH_BUCKETS // 100
        if bucket < end:
            return provider
    return max(sorted(shares), key=lambda name: shares[name])

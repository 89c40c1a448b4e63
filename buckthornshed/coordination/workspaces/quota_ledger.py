"""Accounts of the quotas that a relay owns.

The account of a workspace is a token bucket of its rate and burst. Relays report what
they have admitted without asking, and ask before each request while the account is
low. Use that was not expected leaves a debt, so that the quota holds again after it.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from ...state.workspaces import Quota
from .quota_owners import QuotaOwners
from .token_bucket import TokenBucket

__all__ = ["QuotaLedger", "QuotaVerdict"]

START_S = 0.25
"""Seconds of the rate that a new account holds.

The burst may have been used at an owner that has ended, so a new one must not grant
it again.
"""
LOW_PART = 0.5
"""Part of the burst below which relays have to ask."""
MAX_RETRY_AFTER_S = 5.0


class QuotaVerdict(NamedTuple):
    """Whether a request is within the quota; if not, seconds until one may be."""

    granted: bool
    retry_after: float = 0.0


class Account:
    """Account of one workspace.

    Attributes
    ----------
    bucket : TokenBucket
        What the quota still admits.
    owned : bool
        Whether this relay was the owner when the account was last used.
    promised_until : float
        Time up to which future tokens have been named to refused requests, in seconds.
    """

    def __init__(self, *, bucket: TokenBucket, owned: bool, now: float) -> None:
        self.bucket = bucket
        self.owned = owned
        self.promised_until = now

    def promise(self, now: float) -> float:
        """Return the seconds until a token that no other refused request waits for."""
        rate = self.bucket.rate
        if rate <= 0.0:
            return MAX_RETRY_AFTER_S
        first = now + self.bucket.wait(now)
        next_free = max(first, self.promised_until + 1.0 / rate)
        self.promised_until = min(next_free, now + MAX_RETRY_AFTER_S)
        return self.promised_until - now


class QuotaLedger:
    """Accounts by workspace.

    Parameters
    ----------
    owners : QuotaOwners
        Knows which accounts this relay owns.
    quota_of : callable
        Returns the quota of a workspace in the configuration in force, or None.
    """

    def __init__(
        self, *, owners: QuotaOwners, quota_of: Callable[[str], Quota | None]
    ) -> None:
        self.owners = owners
        self.quota_of = quota_of
        self.accounts: dict[str, Account] = {}

    def use(self, now: float, workspace: str, requests: int) -> None:
        """Record requests that were admitted, or a negative number not to be run."""
        account = self._account(now, workspace)
        if account is not None:
            account.bucket.use(now, requests)

    def ask(self, now: float, workspace: str) -> QuotaVerdict:
        """Return whether one more request is within the quota, and record it if so."""
        account = self._account(now, workspace)
        if account is None or account.bucket.take(now):
            return QuotaVerdict(granted=True)
        return QuotaVerdict(granted=False, retry_after=account.promise(now))

    def is_low(self, now: float, workspace: str) -> bool:
        """Return whether relays have to ask before they admit a request."""
        account = self._account(now, workspace)
        if account is None:
            return False
        bucket = account.bucket
        return bucket.refill(now) < LOW_PART * bucket.capacity

    def open_owned(self, now: float, workspaces: Iterable[str]) -> None:
        """Open the accounts of those workspaces that this relay owns.

        An account fills before it is used, if it is opened before.
        """
        for workspace in workspaces:
            if self.owners.owner(workspace) == self.owners.instance:
                self._account(now, workspace)

    def retain(self, workspaces: set[str]) -> None:
        """Forget the accounts of all other workspaces."""
        for workspace in self.accounts.keys() - workspaces:
            del self.accounts[workspace]

    def _account(self, now: float, workspace: str) -> Account | None:
        """Return the account at the current rate; None if there is no quota.

        A relay that is asked though it is not the owner serves a relay that cannot
        reach the owner, and grants the part of one relay.
        """
        quota = self.quota_of(workspace)
        if quota is None:
            self.accounts.pop(workspace, None)
            return None
        owned = self.owners.owner(workspace) == self.owners.instance
        part = self.owners.reachable_part
        if not owned:
            part /= len(self.owners.instances)
        rate, capacity = quota.rate * part, quota.burst * part
        account = self.accounts.get(workspace)
        if account is None:
            level = rate * START_S
            if level < 1.0:
                # Less than a token at each relay is a token at some of them.
                level += self.owners.phase
            bucket = TokenBucket(rate=rate, capacity=capacity, level=level, now=now)
            account = Account(bucket=bucket, owned=owned, now=now)
            self.accounts[workspace] = account
        account.bucket.set_rate(now, rate=rate, capacity=capacity)
        if account.owned and not owned:
            account.bucket.level = min(account.bucket.level, 1.0)
        account.owned = owned
        return account

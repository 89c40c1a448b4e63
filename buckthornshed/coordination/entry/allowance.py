"""Retry allowance: the number of additional sends that a client request may cause.

The node that receives a client request grants it an allowance, a retry budget for
the whole call tree. Every additional send spends one unit. A downstream call carries
part of the allowance, and its answer returns what the call did not spend. The part
carried by a call that gets no answer counts as spent, so a paused or lost node
cannot increase the total. See ``docs/design/retry-allowance.md`` for the bound.
"""

from collections.abc import Hashable
from typing import NamedTuple

from ...state.table import BoundedTable

__all__ = [
    "UNCORRELATED_ALLOWANCE",
    "AllowanceAccount",
    "ClientAllowances",
    "ClientAttempt",
]

UNCORRELATED_ALLOWANCE = 0
"""Allowance of a downstream call whose target did not pass on the context."""


class AllowanceAccount:
    """The allowance of one call at one node.

    Until ``close``, ``granted == available + spent + sum(reserved.values())`` holds.

    Parameters
    ----------
    granted : int
        Number of additional sends that this call and its downstream calls may cause.
    """

    def __init__(self, *, granted: int) -> None:
        self.granted = granted
        self.available = granted
        self.spent = 0
        self.reserved: dict[int, int] = {}
        self.closed = False

    def spend(self) -> bool:
        """Spend one unit on a retry or a hedge; return False if none is left."""
        if self.available < 1:
            return False
        self.available -= 1
        self.spent += 1
        return True

    def downstream_share(self) -> int:
        """Return how much of the allowance the next send should carry.

        This is all but one unit: a failure deep in the call tree is retried where it
        occurs, and this node keeps one unit to retry a send whose answer is lost.
        """
        return max(0, self.available - 1)

    def reserve(self, exchange: int, wanted: int) -> int:
        """Reserve at most ``wanted`` for the send ``exchange``; return the amount.

        Each exchange gets one reservation; a second one for the same exchange is 0.
        """
        if exchange in self.reserved:
            return 0
        amount = max(0, min(wanted, self.available))
        self.available -= amount
        self.reserved[exchange] = amount
        return amount

    def settle(self, exchange: int, unspent: int | None) -> None:
        """Release the reservation of ``exchange`` and take back the unspent part.

        Parameters
        ----------
        exchange : int
            The send that ended. An unknown or already settled one has no effect.
        unspent : int or None
            Unspent part according to the answer, clamped to the reservation; None if
            there is no answer.
        """
        amount = self.reserved.pop(exchange, None)
        if amount is None:
            return
        returned = max(0, min(unspent or 0, amount))
        self.spent += amount - returned
        if self.closed:
            self.spent += returned
        else:
            self.available += returned

    def close(self) -> int:
        """Close the account; return the unspent part for the answer to the caller.

        A closed account can neither spend nor reserve, and its open reservations
        count as spent.
        """
        unspent = self.available
        self.available = 0
        self.closed = True
        return unspent


class ClientAttempt(NamedTuple):
    """One attempt of a client: its account, and whether it retries an earlier one."""

    account: AllowanceAccount
    is_retry: bool


class ClientAllowances:
    """Share one allowance among all attempts of a client request.

    A retry by the client costs one unit and gets what the earlier attempts left. A
    running attempt holds the whole allowance, so a concurrent attempt gets none.
    When the table is full, a new request gets an allowance of 0.

    Parameters
    ----------
    entries : int
        Maximum number of requests in the table.
    window : float
        Seconds for which a request is kept after its last attempt.
    """

    def __init__(self, *, entries: int, window: float) -> None:
        self.window = window
        self.remaining: BoundedTable[Hashable, int] = BoundedTable(entries=entries)
        self.overflow_count = 0

    def begin(
        self, now: float, identity: Hashable, granted: int, deadline: float
    ) -> ClientAttempt:
        """Open the account for an attempt of the request ``identity``.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        identity : Hashable
            Idempotency key or request id of the client.
        granted : int
            Allowance that the policy grants to one client request.
        deadline : float
            Deadline of the attempt, in seconds of the monotonic clock.
        """
        self.remaining.expire(now)
        balance = self.remaining.get(identity)
        if balance is None and self.remaining.full:
            self.overflow_count += 1
            return ClientAttempt(AllowanceAccount(granted=0), False)
        expires = max(deadline, now + self.window)
        self.remaining.put(identity, 0, expires=expires)
        if balance is None:
            return ClientAttempt(AllowanceAccount(granted=granted), False)
        return ClientAttempt(AllowanceAccount(granted=max(0, balance - 1)), True)

    def end(self, now: float, identity: Hashable, attempt: ClientAttempt) -> int:
        """Close the account of an attempt; keep the unspent part for the next one."""
        unspent = attempt.account.close()
        entry = self.remaining.live.get(identity)
        if entry is not None:
            expires = max(entry.expires, now + self.window)
            self.remaining.put(identity, entry.value + unspent, expires=expires)
        return unspent

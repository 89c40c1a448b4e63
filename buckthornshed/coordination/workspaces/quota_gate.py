"""Admission of the requests of one relay's clients within the quotas.

While a quota is far from used up, requests are admitted at once and reported to its
owner shortly afterwards. Once the owner has said that it is low, each request waits
for the owner's verdict. If the owner does not answer, the relay admits its own part.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ...state.workspaces import Quota
from .quota_ledger import QuotaVerdict
from .token_bucket import LATE_USE_S, TokenBucket

__all__ = ["ASK_TIMEOUT_S", "QuotaGate", "Step"]

EARLY_REPORT_S = 0.25
"""Seconds of an equal part of a quota whose use is reported at once."""
LOW_S = 1.5
"""Time for which a relay asks after the owner has said that a quota is low."""
ASK_TIMEOUT_S = 0.2
"""Time after which a relay decides without the owner."""


class Step(Enum):
    """What happens to a request next."""

    ADMIT = "admitted"
    ASK = "the owner of the quota has to be asked"


@dataclass(slots=True, kw_only=True)
class Allowance:
    """What one relay knows of one quota.

    Attributes
    ----------
    unreported : int
        Requests that were admitted without asking and not yet reported.
    reported_at : float
        Time of the latest report, in seconds.
    low_until : float
        Time until which the owner is asked, in seconds.
    own_part : TokenBucket
        Part of the quota that the relay admits if no owner answers.
    whole : TokenBucket
        Bounds what the relay admits without asking, as the reports on it may be lost:
        the whole quota, of which it holds little at the start.
    """

    unreported: int
    reported_at: float
    low_until: float
    own_part: TokenBucket
    whole: TokenBucket


class QuotaGate:
    """Decides which requests are admitted at once.

    Parameters
    ----------
    quota_of : callable
        Returns the quota of a workspace in the configuration in force, or None.

    Attributes
    ----------
    relays : int
        Number of relays in the fleet.
    phase : float
        Part of a token that this relay holds at first; see `QuotaOwners`.
    unreported : set of str
        Workspaces whose use may not have been reported.
    """

    def __init__(self, *, quota_of: Callable[[str], Quota | None]) -> None:
        self.quota_of = quota_of
        self.relays = 1
        self.phase = 0.0
        self.allowances: dict[str, Allowance] = {}
        self.unreported: set[str] = set()

    def submit(self, now: float, workspace: str, *, in_touch: bool) -> Step:
        """Return whether a request is admitted at once, and record it if so.

        `in_touch` tells whether this relay reaches most of the others, so that the
        owner of the quota is most likely theirs as well.
        """
        quota = self.quota_of(workspace)
        if quota is None:
            return Step.ADMIT
        allowance = self._allowance(now, workspace, quota)
        is_low = not in_touch or now < allowance.low_until
        if is_low or not allowance.whole.take(now):
            return Step.ASK
        self._add_unreported(workspace, allowance, 1)
        return Step.ADMIT

    def refund(self, now: float, workspace: str) -> None:
        """Record that an admitted request has not run and will not."""
        quota = self.quota_of(workspace)
        if quota is not None:
            allowance = self._allowance(now, workspace, quota)
            self._add_unreported(workspace, allowance, -1)

    def mark_low(self, now: float, workspace: str) -> None:
        """Record that the owner of a quota wants to be asked."""
        quota = self.quota_of(workspace)
        if quota is not None:
            self._allowance(now, workspace, quota).low_until = now + LOW_S

    def decide_alone(self, now: float, workspace: str) -> QuotaVerdict:
        """Return whether this relay's own part of the quota admits a request."""
        quota = self.quota_of(workspace)
        if quota is None:
            return QuotaVerdict(granted=True)
        allowance = self._allowance(now, workspace, quota)
        if allowance.own_part.take(now):
            self._add_unreported(workspace, allowance, 1)
            return QuotaVerdict(granted=True)
        wait = allowance.own_part.wait(now)
        return QuotaVerdict(granted=False, retry_after=wait)

    def take_due(self, now: float) -> dict[str, int]:
        """Return the requests by workspace that are to be reported now.

        A workspace that uses an equal part of its quota or more here is reported
        sooner than the others.
        """
        due: dict[str, int] = {}
        for workspace in self.unreported:
            allowance = self.allowances[workspace]
            late = now - allowance.reported_at >= LATE_USE_S
            if late or self._is_early(workspace, allowance):
                due[workspace] = allowance.unreported
                allowance.unreported = 0
                allowance.reported_at = now
        self.unreported -= due.keys()
        return {name: requests for name, requests in due.items() if requests}

    def has_early(self, workspace: str) -> bool:
        """Return whether the use of a workspace is to be reported at once."""
        allowance = self.allowances.get(workspace)
        return allowance is not None and self._is_early(workspace, allowance)

    def give_back(self, reports: dict[str, int]) -> None:
        """Keep reports that could not be sent for the next time."""
        for workspace, requests in reports.items():
            allowance = self.allowances.get(workspace)
            if allowance is not None:
                self._add_unreported(workspace, allowance, requests)

    def retain(self, workspaces: set[str]) -> None:
        """Forget all other workspaces."""
        for workspace in self.allowances.keys() - workspaces:
            del self.allowances[workspace]
        self.unreported &= workspaces

    def _add_unreported(
        self, workspace: str, allowance: Allowance, requests: int
    ) -> None:
        allowance.unreported += requests
        self.unreported.add(workspace)

    def _is_early(self, workspace: str, allowance: Allowance) -> bool:
        quota = self.quota_of(workspace)
        rate = 0.0 if quota is None else quota.rate
        return allowance.unreported > max(1.0, rate * EARLY_REPORT_S / self.relays)

    def _allowance(self, now: float, workspace: str, quota: Quota) -> Allowance:
        allowance = self.allowances.get(workspace)
        if allowance is None:
            allowance = self._new_allowance(now, quota)
            self.allowances[workspace] = allowance
        rate, capacity = quota.rate / self.relays, quota.burst / self.relays
        if allowance.own_part.rate != rate or allowance.whole.rate != quota.rate:
            allowance.own_part.set_rate(now, rate=rate, capacity=capacity)
            allowance.whole.set_rate(now, rate=quota.rate, capacity=quota.burst)
        return allowance

    def _new_allowance(self, now: float, quota: Quota) -> Allowance:
        own_part = TokenBucket(
            rate=quota.rate / self.relays,
            capacity=quota.burst / self.relays,
            level=self.phase,
            now=now,
        )
        whole = TokenBucket(
            rate=quota.rate,
            capacity=quota.burst,
            level=max(1.0, quota.rate * EARLY_REPORT_S),
            now=now,
        )
        return Allowance(
            unreported=0,
            reported_at=now,
            low_until=0.0,
            own_part=own_part,
            whole=whole,
        )

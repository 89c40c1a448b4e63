"""Exchange of the use of quotas with their owners."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

from ....coordination.workspaces.quota_gate import ASK_TIMEOUT_S, QuotaGate, Step
from ....coordination.workspaces.quota_ledger import QuotaLedger, QuotaVerdict
from ....coordination.workspaces.quota_owners import QuotaOwners
from ....protocol.quota_messages import QuotaGrant, QuotaLow, QuotaQuestion, QuotaUse
from ....protocol.relay_messages import RelayMessage
from ....state.catalog import Catalog
from ....state.workspaces import Quota
from ...logs import log_event

__all__ = ["QuotaExchange"]

SUSPECT_S = 1.0
"""Time for which an owner that did not answer in time is not asked."""
IN_TOUCH_PART = 0.5
"""Part of the relays that a relay reaches if it admits requests without asking."""
OPENED_AT_ONCE = 100
"""Workspaces whose owner is computed at each refresh, as each takes some time."""
LOW_NOTICE_INTERVAL_S = 1.0
"""Time between two notices to all relays that a quota is low."""

Decide = Callable[[QuotaVerdict], None]


class Links(Protocol):
    """Connections to the other relays."""

    def send(self, instance: str, message: RelayMessage) -> bool:
        """Send a message to an instance; return whether there was a link to it."""

    def broadcast(self, message: RelayMessage) -> None:
        """Send a message to all relays."""


class Session(Protocol):
    """Connection that a message of another relay came on."""

    instance: str

    def send(self, message: RelayMessage) -> None:
        """Send a message."""


class Question(NamedTuple):
    """A request that waits for the owner of its quota until a time in seconds."""

    workspace: str
    owner: str
    until: float
    decide: Decide


class QuotaExchange:
    """Admits requests within the quotas, and accounts for the quotas owned here.

    Parameters
    ----------
    instance : str
        IP address of this instance.
    links : Links
        Connections to the other relays.
    is_reachable : callable
        Returns whether the relay on another instance can be asked.
    clock : callable
        Returns seconds of the monotonic clock.

    Attributes
    ----------
    questions : dict
        Requests that wait for an owner, by number.
    unopened : list of str
        Workspaces whose accounts, if they are owned, are yet to be opened.
    """

    def __init__(
        self,
        *,
        instance: str,
        links: Links,
        is_reachable: Callable[[str], bool],
        clock: Callable[[], float],
    ) -> None:
        self.instance = instance
        self.links = links
        self.clock = clock
        self.quotas: dict[str, Quota] = {}
        self.suspects: dict[str, float] = {}
        self.owners = QuotaOwners(
            instance=instance,
            is_reachable=lambda each: each not in self.suspects and is_reachable(each),
        )
        self.gate = QuotaGate(quota_of=self.quotas.get)
        self.ledger = QuotaLedger(owners=self.owners, quota_of=self.quotas.get)
        self.questions: dict[int, Question] = {}
        self.last_number = 0
        self.low_told_at: dict[str, float] = {}
        self.unopened: list[str] = []

    def configure(self, catalog: Catalog) -> None:
        """Apply the quotas of a configuration."""
        self.quotas.clear()
        for workspace in catalog.workspaces.values():
            if workspace.quota is not None:
                self.quotas[workspace.name] = workspace.quota
        self.unopened = list(self.quotas)
        names = set(self.quotas)
        self.gate.retain(names)
        self.ledger.retain(names)
        self.low_told_at = {
            name: at for name, at in self.low_told_at.items() if name in names
        }

    def set_instances(self, instances: Iterable[str]) -> None:
        """Set the instances of the fleet."""
        self.owners.set_instances(instances)
        self.unopened = list(self.quotas)
        self.gate.relays = len(self.owners.instances)
        self.gate.phase = self.owners.phase

    # Requests of clients.

    def submit(self, workspace: str, decide: Decide) -> None:
        """Call `decide` with the verdict, now or once the owner has answered."""
        now = self.clock()
        in_touch = self.owners.reachable_part >= IN_TOUCH_PART
        if self.gate.submit(now, workspace, in_touch=in_touch) is Step.ADMIT:
            if self.gate.has_early(workspace):
                self._report(now)
            decide(QuotaVerdict(granted=True))
            return
        owner = self.owners.owner(workspace)
        if owner == self.instance:
            decide(self._ask_here(now, workspace))
            return
        self.last_number += 1
        number = self.last_number
        self.questions[number] = Question(workspace, owner, now + ASK_TIMEOUT_S, decide)
        self.links.send(owner, QuotaQuestion(number, workspace))

    def refund(self, workspace: str) -> None:
        """Record that an admitted request has not run and will not."""
        self.gate.refund(self.clock(), workspace)

    def record_grant(self, grant: QuotaGrant) -> None:
        """Handle the answer of an owner."""
        question = self.questions.pop(grant.number, None)
        if question is None:
            return
        if grant.low:
            self.gate.mark_low(self.clock(), question.workspace)
        question.decide(QuotaVerdict(grant.granted, grant.retry_after))

    def record_low(self, notice: QuotaLow) -> None:
        """Handle the notice of an owner that it wants to be asked."""
        now = self.clock()
        for workspace in notice.workspaces:
            self.gate.mark_low(now, workspace)

    # Periodic work.

    def tick(self, now: float) -> None:
        """Report the use of quotas and decide the requests without an answer."""
        if not self.quotas and not self.questions:
            return
        self.suspects = {
            each: until for each, until in self.suspects.items() if now < until
        }
        for number in [n for n, q in self.questions.items() if q.until <= now]:
            self._decide_alone(now, self.questions.pop(number))
        self._report(now)

    def refresh(self, now: float) -> None:
        """Count the relays that can be reached and open the owned accounts."""
        if self.quotas:
            self.owners.refresh()
            unopened = self.unopened[:OPENED_AT_ONCE]
            del self.unopened[:OPENED_AT_ONCE]
            self.ledger.open_owned(now, unopened)

    def decide_all(self) -> None:
        """Decide all waiting requests, as the process is about to end."""
        now = self.clock()
        while self.questions:
            _, question = self.questions.popitem()
            question.decide(self.gate.decide_alone(now, question.workspace))

    def _decide_alone(self, now: float, question: Question) -> None:
        self.suspects[question.owner] = now + SUSPECT_S
        verdict = self.gate.decide_alone(now, question.workspace)
        log_event(
            "quota_owner_silent",
            workspace=question.workspace,
            owner=question.owner,
            granted=verdict.granted,
        )
        question.decide(verdict)

    def _report(self, now: float) -> None:
        reports: defaultdict[str, dict[str, int]] = defaultdict(dict)
        for workspace, requests in self.gate.take_due(now).items():
            reports[self.owners.owner(workspace)][workspace] = requests
        for owner, requests_by_workspace in reports.items():
            if owner == self.instance:
                self._account(now, requests_by_workspace)
            elif not self.links.send(owner, QuotaUse(requests_by_workspace)):
                self.gate.give_back(requests_by_workspace)

    # Quotas that this relay owns.

    def answer(self, session: Session, question: QuotaQuestion) -> None:
        """Answer another relay's question."""
        now = self.clock()
        verdict = self._ask_here(now, question.workspace)
        low = self.ledger.is_low(now, question.workspace)
        session.send(
            QuotaGrant(question.number, verdict.granted, verdict.retry_after, low)
        )

    def record_use(self, session: Session, use: QuotaUse) -> None:
        """Account for the requests that another relay has admitted."""
        low = self._account(self.clock(), use.requests)
        if low:
            self.links.send(session.instance, QuotaLow(low))

    def _ask_here(self, now: float, workspace: str) -> QuotaVerdict:
        verdict = self.ledger.ask(now, workspace)
        self._tell_if_low(now, workspace)
        return verdict

    def _account(self, now: float, requests: dict[str, int]) -> list[str]:
        """Account for requests; return the workspaces whose quota is low."""
        for workspace, number in requests.items():
            self.ledger.use(now, workspace, number)
        return [each for each in requests if self._tell_if_low(now, each)]

    def _tell_if_low(self, now: float, workspace: str) -> bool:
        """Return whether a quota is low; tell all relays once in a while if so."""
        if not self.ledger.is_low(now, workspace):
            return False
        told_at = self.low_told_at.get(workspace)
        if told_at is None or now - told_at >= LOW_NOTICE_INTERVAL_S:
            self.low_told_at[workspace] = now
            self.gate.mark_low(now, workspace)
            self.links.broadcast(QuotaLow([workspace]))
        return True

"""Number of sends and success rate of a call tree under several retry rules.

Run with ``python -m benchmarks.allowance``. A booking calls three services, one after
the other or concurrently, and each of them starts a chain of two further calls: ten
calls, four levels deep. A send fails with a given probability; a fixed fraction of
the failures is lost, so that the caller gets no answer.
"""

from argparse import ArgumentParser
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from tabulate import tabulate

from buckthornshed.coordination.entry.allowance import AllowanceAccount

CALL_TREE = ((((),),), (((),),), (((),),))
REQUEST_ALLOWANCE = 3
RETRIES_PER_HOP = 3
LOST_FRACTION = 0.3
NUM_REQUESTS = 20_000

ShareRule = Callable[[AllowanceAccount], int]


class RequestResult(NamedTuple):
    """Number of sends and of retries of one request, and its success."""

    sends: int
    retries: int
    succeeded: bool


class SentCall(NamedTuple):
    """A send: its exchange number and the account of the callee."""

    exchange: int
    account: AllowanceAccount


class FailureModel(NamedTuple):
    """Probability that a send fails, and fraction of failures without an answer."""

    failure_rate: float
    lost_fraction: float
    rng: Random


class PerHopAccount(AllowanceAccount):
    """Account that gives each hop a fixed number of retries of its own."""

    def reserve(self, exchange: int, wanted: int) -> int:
        """Return the same number at each hop, whatever the account holds."""
        return RETRIES_PER_HOP

    def settle(self, exchange: int, unspent: int | None) -> None:
        """Do nothing: the number of retries does not depend on answers."""


RULES: dict[str, tuple[type[AllowanceAccount], ShareRule]] = {
    "per-hop retries": (PerHopAccount, lambda account: RETRIES_PER_HOP),
    "no retries": (AllowanceAccount, lambda account: 0),
    "all handed down": (AllowanceAccount, lambda account: account.available),
    "none handed down": (AllowanceAccount, lambda account: 0),
    "all but one": (AllowanceAccount, AllowanceAccount.downstream_share),
    "half, rounded up": (AllowanceAccount, lambda a: (a.available + 1) // 2),
}


class RequestSimulator:
    """Makes the calls of one client request and counts its sends and retries."""

    def __init__(self, *, rule: str, failures: FailureModel, parallel: bool) -> None:
        self.parallel = parallel
        self.account_type, self.share_rule = RULES[rule]
        self.failures = failures
        self.sends = 0
        self.retries = 0

    def call(
        self, tree: tuple, account: AllowanceAccount, first_send: SentCall
    ) -> bool:
        """Send a call until it succeeds or no retry is left; return if it succeeded."""
        sent = first_send
        while not self.run_call(tree, account, sent):
            if not account.spend():
                return False
            self.retries += 1
            sent = self.send(account)
        return True

    def send(self, account: AllowanceAccount) -> SentCall:
        """Reserve part of the allowance for a send; open the account of the callee."""
        self.sends += 1
        reserved = account.reserve(self.sends, self.share_rule(account))
        return SentCall(self.sends, self.account_type(granted=reserved))

    def run_call(self, tree: tuple, account: AllowanceAccount, sent: SentCall) -> bool:
        """Run a call and its downstream calls; the answer arrives or is lost."""
        downstream_account = sent.account
        downstream_succeeded = self.run_downstream_calls(tree, downstream_account)
        failed = self.failures.rng.random() < self.failures.failure_rate
        lost = failed and self.failures.rng.random() < self.failures.lost_fraction
        account.settle(sent.exchange, None if lost else downstream_account.close())
        return downstream_succeeded and not failed

    def run_downstream_calls(self, trees: tuple, account: AllowanceAccount) -> bool:
        """Make the downstream calls, one after the other or concurrently."""
        if not self.parallel:
            return all(self.call(tree, account, self.send(account)) for tree in trees)
        sent = [self.send(account) for _ in trees]
        succeeded = True
        for tree, first_send in zip(trees, sent, strict=True):
            succeeded = self.call(tree, account, first_send) and succeeded
        return succeeded


def simulate_request(
    rule: str, failures: FailureModel, parallel: bool
) -> RequestResult:
    simulator = RequestSimulator(rule=rule, failures=failures, parallel=parallel)
    granted = 0 if rule == "no retries" else REQUEST_ALLOWANCE
    account = simulator.account_type(granted=granted)
    succeeded = simulator.call(CALL_TREE, account, simulator.send(account))
    return RequestResult(simulator.sends, simulator.retries, succeeded)


def measure_rule(
    rule: str, failure_rate: float, parallel: bool, seed: int, requests: int
) -> list:
    """Return the table row of a rule, measured over a number of requests."""
    failures = FailureModel(failure_rate, LOST_FRACTION, Random(seed))
    results = [simulate_request(rule, failures, parallel) for _ in range(requests)]
    return [
        "side by side" if parallel else "in turn",
        failure_rate,
        rule,
        sum(result.succeeded for result in results) / requests,
        sum(result.sends for result in results) / requests,
        max(result.sends for result in results),
        max(result.retries for result in results),
    ]


def main() -> None:
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=NUM_REQUESTS)
    options = parser.parse_args()
    rows = [
        measure_rule(rule, failure_rate, parallel, options.seed, options.requests)
        for parallel in (False, True)
        for failure_rate in (0.01, 0.05, 0.20)
        for rule in RULES
    ]
    rows += [measure_rule(rule, 1.0, False, options.seed, 10) for rule in RULES]
    headers = ["calls", "failing", "rule", "succeeded", "mean sends", "most", "retries"]
    print(tabulate(rows, headers=headers, floatfmt=".3f"))


if __name__ == "__main__":
    main()

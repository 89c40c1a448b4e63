"""Sets of refusal reasons by what follows from them."""

from ...protocol.relay_messages import RefusalReason

__all__ = [
    "EJECTION_REASONS",
    "FINAL_REASONS",
    "FREE_RETRY_REASONS",
    "TARGET_FAILURE_REASONS",
]

FREE_RETRY_REASONS = frozenset(
    {
        RefusalReason.OVERLOAD,
        RefusalReason.RATE_LIMITED,
        RefusalReason.RETRY_LIMITED,
        RefusalReason.LEAVING,
        RefusalReason.UNREACHABLE,
        RefusalReason.ISOLATED,
    }
)
"""Refusals by relays: no target received the call, so a retry costs no budget."""

TARGET_FAILURE_REASONS = frozenset(
    {RefusalReason.TARGET_FULL, RefusalReason.LOST, RefusalReason.CRASHED}
)
"""Refusals that count as failures of the target."""

FINAL_REASONS = frozenset(
    {RefusalReason.EXPIRED, RefusalReason.TIMED_OUT, RefusalReason.QUARANTINED}
)
"""Refusals after which a request is not retried."""

EJECTION_REASONS = frozenset(
    {
        RefusalReason.LEAVING,
        RefusalReason.WRONG_TARGET,
        RefusalReason.UNREACHABLE,
        RefusalReason.LOST,
        RefusalReason.CRASHED,
    }
)
"""Refusals after which a target is ejected from load balancing for a while."""

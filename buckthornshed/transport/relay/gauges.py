"""Reading of a relay's current state for its metrics."""

from typing import TYPE_CHECKING

from ...state.generation import NO_GENERATION
from .counts import NO_LIMIT, RelayGauges

if TYPE_CHECKING:
    from .relay import Relay

__all__ = ["read_gauges"]


def read_gauges(relay: "Relay") -> RelayGauges:
    """Return the current values of the gauges."""
    limiter = relay.local_target.limiter
    catalog = relay.fleet_view.catalog
    rate_limiter = limiter.rate_limiter
    suspects = relay.crash_reports.suspects
    generation = NO_GENERATION if catalog is None else catalog.generation
    return RelayGauges(
        generation=generation.approximation,
        generation_tail=generation.tail,
        targets=sum(map(len, relay.fleet_view.usable.values())),
        peers=len(relay.links.links),
        requests=len(relay.responses.exchanges),
        running=limiter.running,
        waiting=limiter.queue_length,
        room=limiter.calls_per_second,
        least_share=min(relay.admission.shares.values(), default=1.0),
        stated_limit=(
            rate_limiter.effective_rate if rate_limiter.limited else NO_LIMIT
        ),
        target_requests=relay.local_target.pool.requests_sent,
        suspects=len(suspects.counts),
        quarantined=len(suspects.quarantines),
        workspaces=0 if catalog is None else len(catalog.workspaces),
        quota_questions=len(relay.quotas.questions),
        quotas_owned=len(relay.quotas.ledger.accounts),
        configuration_age=relay.fleet_view.news.origin.age(relay.clock()),
        confirmed_age=relay.fleet_view.news.confirmation.age(relay.clock()),
    )

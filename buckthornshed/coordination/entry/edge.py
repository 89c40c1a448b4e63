"""Edge: creation of the call context that a client request carries downstream."""

from typing import TYPE_CHECKING, NamedTuple

from ...protocol.decoding import parse_decimal
from ...protocol.http import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    Request,
    get_header,
)
from ...protocol.messages import CallContext
from ..knowledge.view import RoutePolicies
from ..outcomes.idempotency import Refused, check_client_key
from ..outcomes.invocation_outcomes import KeySource
from ..outcomes.keys import generate_key, generate_key_bytes, parse_key
from .allowance import AllowanceAccount, ClientAllowances, ClientAttempt

if TYPE_CHECKING:
    from random import Random

__all__ = ["Edge", "EdgeContext", "key_of"]

ALLOWANCE_ENTRIES = 16_384
ALLOWANCE_WINDOW_S = 60.0
DEFAULT_CLOCK_BOUND_S = 1.0


class EdgeContext(NamedTuple):
    """Context of a client request, its allowance account and the source of its key."""

    context: CallContext
    account: AllowanceAccount
    key_source: KeySource


class Edge:
    """Create the contexts of client requests.

    Priority and allowance come from the policies; values from clients are ignored.

    Parameters
    ----------
    rng : random.Random
        Source of identifiers.
    """

    def __init__(self, *, rng: "Random") -> None:
        self.rng = rng
        self.allowances = ClientAllowances(
            entries=ALLOWANCE_ENTRIES, window=ALLOWANCE_WINDOW_S
        )
        self.attempts: dict[int, tuple[str, ClientAttempt]] = {}

    def create_context(
        self,
        now: float,
        wall: float,
        token: int,
        request: Request,
        policies: RoutePolicies,
    ) -> EdgeContext | Refused:
        """Return the context of a request, or the reason why its key is refused."""
        key = key_of(request)
        key_source = KeySource.SUPPLIED if key is not None else KeySource.GENERATED
        if key is not None:
            clock_bound_ms = policies.idempotency.get(
                "clock_bound_ms", DEFAULT_CLOCK_BOUND_S * 1e3
            )
            refusal = check_client_key(key, wall=wall, clock_bound=clock_bound_ms / 1e3)
            if refusal is not None and not policies.repeatable:
                return refusal
            if refusal is not None:
                key = None
        deadline = now + self._timeout(request, policies)
        granted = policies.retry["allowance"]
        context = CallContext(
            request_id=self._request_id(wall, key),
            exchange=0,
            priority=policies.rank,
            deadline=deadline,
            allowance=granted,
            depth=0,
            key=key or self._generate_key(wall, policies),
            caller="",
            issued=wall,
        )
        account = self._open_account(now, token, key, granted, deadline)
        return EdgeContext(context, account, key_source)

    def end_attempt(self, now: float, token: int) -> None:
        """End an attempt; keep its unspent allowance for the next one of the client."""
        attempt = self.attempts.pop(token, None)
        if attempt is not None:
            self.allowances.end(now, *attempt)

    def _generate_key(self, wall: float, policies: RoutePolicies) -> str | None:
        """Generate a key for a request without one, unless its work is repeatable."""
        return None if policies.repeatable else generate_key(wall=wall, rng=self.rng)

    def _request_id(self, wall: float, key: str | None) -> bytes:
        """Return the request id; it is derived from the key if there is one.

        All attempts of a client with the same key thus have the same admission level.
        """
        if key is not None:
            return parse_key(key).raw
        return generate_key_bytes(wall=wall, rng=self.rng)

    def _open_account(
        self, now: float, token: int, key: str | None, granted: int, deadline: float
    ) -> AllowanceAccount:
        if key is None:
            return AllowanceAccount(granted=granted)
        attempt = self.allowances.begin(now, key, granted, deadline)
        self.attempts[token] = (key, attempt)
        return attempt.account

    def _timeout(self, request: Request, policies: RoutePolicies) -> float:
        """Return the timeout of the request in seconds, capped by that of the route."""
        route_limit_ms = policies.route["deadline_ms"]
        value = get_header(request.headers, DEADLINE_HEADER)
        requested_ms = parse_decimal(value or b"")
        if requested_ms is None:
            return route_limit_ms / 1e3
        return min(requested_ms, route_limit_ms) / 1e3


def key_of(request: Request) -> str | None:
    """Return the idempotency key that a request supplies, or None."""
    value = get_header(request.headers, IDEMPOTENCY_KEY_HEADER)
    return None if value is None else value.decode("latin-1").lower()

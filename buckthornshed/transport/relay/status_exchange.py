"""Reports between relays, and the shares of requests worked out from them."""

from collections.abc import Callable, Mapping

from ...coordination.relay.admission import Admission, OfferedRates
from ...coordination.relay.call_graph import CallGraph
from ...coordination.relay.target_gate import TargetGate
from ...protocol.relay_messages import Status
from ..logs import log_event

__all__ = ["StatusExchange"]

REPORT_LOAD = 0.5
"""Load from which each status is sent."""
CALM_EVERY = 4
"""Statuses of which one is sent while nothing is short."""
GRAPH_EVERY = 4
"""Statuses of which one tells the calls below routes, if these have changed."""
SHARE_STEP = 0.15
"""Change of a share that is worth a line in the log."""


class StatusExchange:
    """Tells how the own target fares, hears of the others, keeps the shares current.

    Parameters
    ----------
    instance : str
        Name of the own instance.
    service : str
        Service of the own target.
    gate : TargetGate
        The gate of the own target.
    graph : CallGraph
        Calls below routes.
    broadcast : callable
        Sends a status to all relays.
    """

    def __init__(
        self,
        *,
        instance: str,
        service: str,
        gate: TargetGate,
        graph: CallGraph,
        broadcast: Callable[[Status], None],
    ) -> None:
        self.instance = instance
        self.service = service
        self.gate = gate
        self.graph = graph
        self.broadcast = broadcast
        self.offered = OfferedRates()
        self.admission = Admission(graph=graph)
        self.told_calls: dict[str, dict[str, float]] = {}
        self.logged_shares: dict[str, float] = {}
        self.told = 0

    def tell(self, now: float, target: str, usable: Mapping[str, int]) -> None:
        """Report the own target and work out the shares anew.

        Parameters
        ----------
        now : float
            Seconds of the steady clock.
        target : str
            Name of the own target, empty if it is not known.
        usable : mapping
            Number of targets of each service that take work.
        """
        self.told += 1
        calls = self._changed_calls()
        gate = self.gate
        status = Status(
            service=self.service,
            target=target,
            load=round(gate.load, 2),
            room=round(gate.calls_per_second, 1),
            work=gate.work,
            offered={r: round(v, 1) for r, v in self.offered.roll(now).items()},
            calls=calls,
            rejecting=round(gate.room.rejecting, 2),
        )
        self.admission.report(now, self.instance, status)
        self.admission.compute(now, usable)
        gate.room.refusing = self.service in self.admission.full
        self._log_shares()
        calm_due = self.told % CALM_EVERY == 0
        short = any(share < 1.0 for share in self.admission.shares.values())
        if gate.load >= REPORT_LOAD or short or calm_due or calls is not None:
            self.broadcast(status)

    def take(self, now: float, instance: str, status: Status) -> None:
        """Take the status of another relay."""
        self.admission.report(now, instance, status)
        if status.calls is not None:
            self.graph.take(status.calls)

    def tell_all_again(self) -> None:
        """Tell the calls below routes anew, as a relay has just connected."""
        self.told_calls = {}

    def _changed_calls(self) -> dict[str, dict[str, float]] | None:
        if self.told % GRAPH_EVERY:
            return None
        calls = self.graph.learned()
        if calls == self.told_calls:
            return None
        self.told_calls = calls
        return calls

    def _log_shares(self) -> None:
        shares = {r: s for r, s in self.admission.shares.items() if s < 1.0}
        names = self.logged_shares.keys() | shares.keys()
        moved = max(
            (abs(shares.get(n, 1.0) - self.logged_shares.get(n, 1.0)) for n in names),
            default=0.0,
        )
        if moved < SHARE_STEP:
            return
        self.logged_shares = shares
        gate = self.gate
        log_event(
            "shares_moved",
            shares=" ".join(f"{n}:{s:.2f}" for n, s in sorted(shares.items())),
            room=round(gate.calls_per_second, 1),
            trim=round(gate.room.trim, 2),
            rejecting=round(gate.room.rejecting, 2),
            running=gate.running,
            waiting=gate.waiting_count,
            mean_ms=round(gate.mean * 1e3, 1),
        )

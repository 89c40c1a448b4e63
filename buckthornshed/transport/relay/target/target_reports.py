"""Reports of other relays on the load and the limits of targets."""

from collections import defaultdict

from ....coordination.relay.fleet.fleet_view import FleetView
from ....coordination.relay.placement.load_balancer import LoadBalancer
from ....protocol.relay_messages import StatedLimit, Status
from ....state.catalog import Target
from .local_target import LocalTarget

__all__ = ["TargetReports"]


class TargetReports:
    """Applies what other relays report on targets.

    Parameters
    ----------
    fleet_view : FleetView
        The registered targets.
    load_balancer : LoadBalancer
        Keeps a record for each target.
    local_target : LocalTarget
        Keeps the rate limit of the target beside this relay.
    """

    def __init__(
        self,
        *,
        fleet_view: FleetView,
        load_balancer: LoadBalancer,
        local_target: LocalTarget,
    ) -> None:
        self.fleet_view = fleet_view
        self.load_balancer = load_balancer
        self.local_target = local_target
        self.names_by_instance: dict[str, list[str]] = {}

    def index_targets(self) -> None:
        """Note which targets are on which instance, after the targets have changed."""
        names: defaultdict[str, list[str]] = defaultdict(list)
        for target in self.fleet_view.targets.values():
            names[target.instance].append(target.name)
        self.names_by_instance = names

    def record_load(self, now: float, instance: str, load: float) -> None:
        """Record the load that the relay on an instance reports for its target."""
        for name in self.names_by_instance.get(instance, ()):
            target = self.fleet_view.targets.get(name)
            if target is not None:
                record = self.load_balancer.record(target)
                self.load_balancer.record_load(now, record, load)

    def record_status(self, now: float, status: Status) -> None:
        """Record what a relay reports on its target."""
        target = self.fleet_view.targets.get(status.target)
        if target is None:
            return
        record = self.load_balancer.record(target)
        self.load_balancer.record_load(now, record, status.load)
        record.call_times |= status.call_times
        if status.rate_limit is not None:
            record.rate_limit = status.rate_limit

    def learn_limits(self, limits: list[StatedLimit]) -> None:
        """Take over limits that another relay remembers, where none is known."""
        for limit in limits:
            target = self.fleet_view.targets.get(limit.target)
            if target is None or target.started != limit.started:
                continue
            record = self.load_balancer.record(target)
            if record.rate_limit is None:
                record.rate_limit = limit.rate
            if target.address == self.local_target.address:
                self.local_target.adopt_limit(limit.rate)

    def update_local_target(self) -> None:
        """Apply the registration of the local target, and the limit known for it."""
        target = self._local_registration()
        if target is not None and self.fleet_view.is_leaving(target):
            target = target._replace(draining=True)
        self.local_target.update_registration(target)
        if target is not None:
            self.local_target.adopt_limit(self.load_balancer.record(target).rate_limit)

    def forget_removed_targets(self) -> None:
        """Drop the records of targets that are no longer registered."""
        for name in self.load_balancer.records.keys() - self.fleet_view.targets.keys():
            if not self.load_balancer.records[name].outstanding:
                self.load_balancer.forget(name)

    def _local_registration(self) -> Target | None:
        """Return the latest registration with the address of the local target.

        One with a service that the configuration names goes before others.
        """
        view = self.fleet_view
        return max(
            (
                target
                for target in view.targets.values()
                if target.address == self.local_target.address
            ),
            key=lambda target: (view.is_named(target.service), target.started),
            default=None,
        )

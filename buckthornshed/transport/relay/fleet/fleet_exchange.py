"""What relays tell each other about the fleet: changes, whole views, silent peers."""

from collections import defaultdict
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from ....coordination.relay.fleet.sponsors import sponsors
from ....coordination.relay.fleet.store_readers import StoreReaders
from ....coordination.relay.placement.load_balancer import LoadBalancer
from ....protocol.relay_messages import FleetUpdate, ViewRequest
from ....state.catalog import Target
from ...logs import log_event
from ..peers.peer_links import PeerLinks
from .fleet_updater import FleetUpdater

if TYPE_CHECKING:
    from random import Random

__all__ = ["FleetExchange"]


class FleetExchange:
    """Chooses which relays are told of what this relay knows of the fleet.

    Parameters
    ----------
    instance : str
        Instance of this relay.
    failure_domain : str
        Failure domain of this relay.
    links : PeerLinks
        Connections to the other relays.
    load_balancer : LoadBalancer
        Knows the limits that targets state.
    on_catalog : callable
        Called without arguments when another configuration has come into force.
    on_targets : callable
        Called without arguments when the targets have changed.
    clock : callable
        Returns seconds of the monotonic clock.
    rng : random.Random
        Chooses the relay that is asked for its view.
    heartbeat : float
        Interval at which targets renew their registrations, in seconds; 0 if unknown.

    Attributes
    ----------
    updater : FleetUpdater
        Applies updates to the view of the fleet.
    domain_peers : list of str
        The other instances of the failure domain.
    names_by_instance : dict
        Names of the targets on each instance.
    """

    def __init__(
        self,
        *,
        instance: str,
        failure_domain: str,
        links: PeerLinks,
        load_balancer: LoadBalancer,
        on_catalog: Callable[[], None],
        on_targets: Callable[[], None],
        clock: Callable[[], float],
        rng: "Random",
        heartbeat: float = 0.0,
    ) -> None:
        self.instance = instance
        self.failure_domain = failure_domain
        self.links = links
        self.load_balancer = load_balancer
        self.clock = clock
        self.rng = rng
        self.domain_peers: list[str] = []
        self.names_by_instance: dict[str, list[str]] = {}
        self.store_readers = StoreReaders(
            instance=instance, is_connected=links.is_connected
        )
        self.updater = FleetUpdater(
            clock=clock,
            on_catalog=on_catalog,
            on_targets=on_targets,
            broadcast=links.broadcast,
            readers=self.store_readers,
            tell_domain=self.tell_domain,
            tell_other_domains=self.tell_other_domains,
            heartbeat=heartbeat,
        )

    def update_peers(self, targets: Collection[Target]) -> None:
        """Keep links to the instances of all targets, and note those of the domain."""
        names: defaultdict[str, list[str]] = defaultdict(list)
        for target in targets:
            names[target.instance].append(target.name)
        instances = names.keys() - {self.instance}
        for instance in self.names_by_instance.keys() - names.keys():
            self._tell_removed(instance)
        self.links.set_instances(instances)
        self.names_by_instance = names
        in_domain = {
            target.instance
            for target in targets
            if target.failure_domain == self.failure_domain
        }
        self.domain_peers = sorted(in_domain & instances)
        self.store_readers.set_instances(
            self.domain_peers, registered=self.instance in names
        )

    def apply(self, update: FleetUpdate, sender: str = "") -> None:
        """Apply an update of the relay on instance `sender`, except for the limits."""
        for instance in update.silent:
            self.links.check(instance, self.clock())
        self.updater.apply_update(update, sender)

    def greet(self, instance: str, targets: Collection[str]) -> None:
        """Tell a newly connected relay what it may not know.

        It may have restarted and no longer know the limits of the targets beside it
        and, if the store does not answer, the targets and the configuration.
        """
        if self._is_sponsor(instance):
            self.send_view(instance)
            return
        limits = self.load_balancer.known_limits()
        beside = [limit for limit in limits if limit.target in targets]
        self.links.send(instance, FleetUpdate(limits=beside))

    def send_view(self, instance: str) -> None:
        """Send everything that this relay knows of the fleet."""
        view = self.updater.snapshot()
        view.limits = self.load_balancer.known_limits()
        self.links.send(instance, view)

    def request_view(self) -> None:
        """Ask another relay for its view if this one has no configuration.

        The sponsors may have restarted as well, or be cut off.
        """
        sessions = list(self.links.sessions)
        if self.updater.fleet_view.catalog is None and sessions:
            self.rng.choice(sessions).send(ViewRequest())

    def report_silent(self, instance: str) -> None:
        """Let the relays of the own failure domain check a relay that is silent."""
        self.tell_domain(FleetUpdate(silent=[instance]))

    def tell_domain(self, update: FleetUpdate) -> None:
        """Send an update to the relays of the own failure domain."""
        for instance in self.domain_peers:
            self.links.send(instance, update)

    def tell_other_domains(self, update: FleetUpdate) -> None:
        """Send an update to the relays of the other failure domains."""
        for instance in self.links.links.keys() - set(self.domain_peers):
            self.links.send(instance, update)

    def _tell_removed(self, instance: str) -> None:
        """Tell a relay that the targets beside it are no longer registered.

        It gets no further updates. The end of the link does not always tell it: a link
        with pending calls stays open, and the end of a silent one does not arrive.
        """
        tombstones = self.updater.fleet_view.tombstones
        removed = [
            (name, *tombstones[name])
            for name in self.names_by_instance[instance]
            if name in tombstones
        ]
        if removed and self.links.send(instance, FleetUpdate(tombstones=removed)):
            log_event("peer_told_of_removal", peer=instance, targets=len(removed))

    def _is_sponsor(self, instance: str) -> bool:
        """Return whether this relay sends its whole view to a new one."""
        domains = {self.instance: self.failure_domain}
        for target in self.updater.fleet_view.targets.values():
            domains[target.instance] = target.failure_domain
        return self.instance in sponsors(instance, domains)

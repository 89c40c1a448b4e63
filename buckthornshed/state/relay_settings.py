"""Settings of one relay process."""

from typing import NamedTuple

__all__ = ["RelaySettings", "RetryLimits"]


class RetryLimits(NamedTuple):
    """Bound on repeated sends to one service, over the whole fleet.

    In any `window` seconds at most `ratio` of the requests plus `slack` may be
    repeats.
    """

    ratio: float
    window: float
    slack: float


class RelaySettings(NamedTuple):
    """What a relay process is told at its start.

    Parameters
    ----------
    name : str
        Name of the instance.
    failure_domain : str
        Where the instance is.
    client_address : str
        Where clients and the target on the same instance connect, ``ip:port``.
    ready_address : str
        Where readiness is asked for, ``ip:port``.
    peer_address : str
        Where other relays connect, ``ip:port``; the port is the same everywhere.
    metrics_address : str
        Where metrics are served, ``ip:port``.
    target_address : str
        The target beside the relay, ``ip:port``.
    target_service : str
        Service of the target beside the relay.
    store_address : str
        The platform's store, ``ip:port``.
    grace : float
        Time between the request to stop and the forced end, seconds.
    retry_limits : RetryLimits
        Bound on repeated sends.
    descriptors : int
        Greatest number of open descriptors.
    """

    name: str
    failure_domain: str
    client_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    target_address: str
    target_service: str
    store_address: str
    grace: float
    retry_limits: RetryLimits
    descriptors: int

    @property
    def peer_port(self) -> int:
        """Port where relays connect to one another."""
        return int(self.peer_address.rpartition(":")[2])

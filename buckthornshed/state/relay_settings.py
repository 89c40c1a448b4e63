"""Settings of one relay process."""

from typing import NamedTuple

__all__ = ["RelaySettings", "RetryLimits"]


class RetryLimits(NamedTuple):
    """Limit on the retries of one service, over the whole fleet.

    In any window of `window` seconds, the number of retries may not exceed `ratio`
    times the number of requests plus `slack`.
    """

    ratio: float
    window: float
    slack: float


class RelaySettings(NamedTuple):
    """Settings that a relay process receives at its start.

    Parameters
    ----------
    name : str
        Name of the instance.
    failure_domain : str
        Failure domain of the instance.
    client_address : str
        Listening address for clients and for the target on the same instance,
        ``ip:port``.
    ready_address : str
        Listening address of the readiness probe, ``ip:port``.
    peer_address : str
        Listening address for other relays, ``ip:port``; all relays use the same port.
    metrics_address : str
        Listening address of the metrics endpoint, ``ip:port``.
    target_address : str
        Address of the target beside the relay, ``ip:port``.
    target_service : str
        Service of the target beside the relay.
    store_address : str
        Address of the platform's store, ``ip:port``.
    grace : float
        Time between the request to stop and the forced termination, in seconds.
    retry_limits : RetryLimits
        Limit on retries.
    descriptors : int
        Maximum number of open file descriptors.
    memory : int
        Maximum memory of the process, in bytes.
    heartbeat : float
        Interval at which targets renew their registrations, in seconds; 0 if unknown.
    first_start : bool
        Whether the whole system starts for the first time. Else the target may run
        requests that it got from an earlier process.
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
    memory: int
    heartbeat: float = 0.0
    first_start: bool = True

    @property
    def peer_port(self) -> int:
        """Port on which relays accept connections of one another."""
        return int(self.peer_address.rpartition(":")[2])

"""Cost of workspaces in a relay: time of a request up to its dispatch, memory."""

import json
import time
import tracemalloc

from buckthornshed.coordination.workspaces.identity import identify
from buckthornshed.coordination.workspaces.token_bucket import LATE_USE_S
from buckthornshed.platform.documents import decode_catalog
from buckthornshed.transport.relay.workspaces.quota_exchange import QuotaExchange

REPETITIONS = 100_000
NANOSECONDS = 1e9


class NoLinks:
    def send(self, instance, message):
        return True

    def broadcast(self, message):
        pass


def document(workspaces):
    rule = {
        "name": "r",
        "kind": "idempotent",
        "match": {"prefix": "/"},
        "action": {"service": "s", "timeoutS": 1},
    }
    tenants = [
        {"name": f"w{number}", "apiKeys": [f"a{number}", f"b{number}"], "ratePerS": 9e9}
        for number in range(workspaces)
    ]
    value = {"version": "r1", "listeners": [{"host": "h", "rules": [rule]}]}
    return json.dumps(value | {"clusters": [], "tenants": tenants}).encode()


def mean_ns(action):
    begin = time.perf_counter()
    for _ in range(REPETITIONS):
        action()
    return (time.perf_counter() - begin) / REPETITIONS * NANOSECONDS


def measure(workspaces):
    tracemalloc.start()
    catalog = decode_catalog(document(workspaces))
    quotas = QuotaExchange(
        instance="10.0.0.1",
        links=NoLinks(),
        is_reachable=lambda _: True,
        clock=time.monotonic,
    )
    quotas.set_instances([f"10.0.0.{number}" for number in range(64)])
    quotas.configure(catalog)
    quotas.refresh(time.monotonic())
    for name in catalog.workspaces:
        quotas.submit(name, lambda _: None)
    kilobytes = tracemalloc.get_traced_memory()[0] / 1e3
    tracemalloc.stop()
    route = catalog.match("h", "/")
    keys = [b"a1"] if workspaces > 1 else []
    identity_ns = mean_ns(lambda: identify(catalog, route, keys))
    quota_ns = mean_ns(lambda: quotas.submit("w1", lambda _: None))
    time.sleep(LATE_USE_S)
    quotas.tick(time.monotonic())  # Reports what the loops above have used.
    begin = time.perf_counter()
    quotas.tick(time.monotonic())
    tick_us = (time.perf_counter() - begin) * 1e6
    print(
        f"workspaces={workspaces} identity_ns={identity_ns:.0f} quota_ns={quota_ns:.0f}"
        f" tick_us={tick_us:.0f} kilobytes={kilobytes:.0f}"
    )


if __name__ == "__main__":
    for number in (0, 75, 10_000):
        measure(number)

"""A small configuration set without faults, for tests to change."""

from buckthornshed.protocol.configuration import Reading, Source, read_set
from buckthornshed.state.objects import ConfigurationSet

FILE = "set.toml"

TEXT = """
[failure_domain.east]
region = "coast"
[provider.old]
[provider.new]

[admission.short]
queue_delay_ms = 20
queue = 50
retry_after_min_s = 1
retry_after_max_s = 5

[service.booking]
calls = ["stables"]
admission = "short"
[service.stables]
admission = "short"

[target.booking-1]
service = "booking"
provider = "old"
failure_domain = "east"
address = "127.0.0.1:21001"
control = "127.0.0.1:22001"
slots = 70
connections = 500
[target.stables-1]
service = "stables"
provider = "old"
failure_domain = "east"
address = "127.0.0.1:21002"
control = "127.0.0.1:22002"
slots = 15
connections = 180
[target.stables-2]
service = "stables"
provider = "new"
failure_domain = "east"
address = "127.0.0.1:21003"
control = "127.0.0.1:22003"
slots = 15
connections = 180

[priority.high]
rank = 0
[priority.low]
rank = 4

[retry.none]
allowance = 0
backoff_ms = 50
[retry.some]
allowance = 2
backoff_ms = 50

[idempotency.repeatable]
repeatable = true
[idempotency.once]
repeatable = false
lifetime_s = 600
clock_bound_ms = 500
entries = 1000

[route.book]
service = "booking"
methods = ["POST"]
path = "/bookings"
purpose = "booking"
priority = "high"
retry = "none"
idempotency = "once"
deadline_ms = 3000
[route.browse]
service = "stables"
methods = ["GET"]
path = "/stalls"
purpose = "browsing"
priority = "low"
retry = "some"
idempotency = "repeatable"
deadline_ms = 1000

[shift.stables]
service = "stables"
shares = { old = 70, new = 30 }
pins = { yard-7 = "new" }
"""


def read_text(text: str) -> Reading:
    """Read `text` as the only file of a set."""
    return read_set([Source(FILE, text.encode())])


def small_set() -> ConfigurationSet:
    """Return the set of ``TEXT``."""
    return read_text(TEXT).require()

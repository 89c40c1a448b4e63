"""Workspaces of a soak: keys that come and go, a quota, and the checks of both."""

import time
from collections import defaultdict
from itertools import count

from ..relay.fleet import configuration

STEADY, ROTATED, LIMITED = "yard", "mill", "ranch"
STEADY_KEY = "key-of-yard"
UNKNOWN_KEY = "key-of-nobody"
RATE, BURST = 5.0, 5.0
"""Quota of `LIMITED` in requests per second, and its burst."""
WINDOW_S = 5.0
QUOTA_OVER = 0.25
QUOTA_SLACK = 20.0


class Workspaces:
    """The operator's workspaces, and what targets saw of them.

    Attributes
    ----------
    holders : dict
        Workspace by key, for all keys that any configuration ever had.
    keys : list of str
        Keys of `ROTATED` in the newest configuration.
    expected : dict
        Workspace by request, None if its key is unknown.
    calls : set of str
        Calls of targets, which have no key and name no run.
    changed_at : float
        Time at which the keys changed last, in seconds.
    """

    def __init__(self):
        self.numbers = count(1)
        self.holders = {STEADY_KEY: STEADY, "key-of-ranch": LIMITED}
        self.keys = []
        self.expected = {}
        self.calls = set()
        self.arrivals = defaultdict(list)
        self.changed_at = 0.0
        self.faults = []
        self.add_key()

    def add_key(self):
        """Add a new key to `ROTATED` and return it."""
        key = f"key-of-mill-{next(self.numbers)}"
        self.holders[key] = ROTATED
        self.keys.append(key)
        self.changed_at = time.monotonic()
        return key

    def drop_key(self, key):
        self.keys.remove(key)
        self.changed_at = time.monotonic()

    def document(self, version, extra_paths=()):
        """Return the operator's configuration."""
        value = configuration(version, extra_paths=extra_paths)
        value["tenants"] = [
            {"name": STEADY, "apiKeys": [STEADY_KEY], "priority": 0},
            {"name": ROTATED, "apiKeys": list(self.keys), "priority": 1},
            {
                "name": LIMITED,
                "apiKeys": ["key-of-ranch"],
                "priority": 2,
                "ratePerS": RATE,
                "burst": BURST,
            },
        ]
        return value

    def expect(self, request_id, key):
        """Record the key that a request is sent with."""
        self.expected[request_id] = self.holders.get(key)

    def record_run(self, now, request_id, headers):
        """Check the headers of a request that a target runs."""
        workspace = self.expected.get(request_id)
        if workspace is None and request_id not in self.calls:
            self.faults.append(f"{request_id} ran with a key that nobody holds")
        if headers.get("tenant") != workspace:
            self.faults.append(f"{request_id} ran for {headers.get('tenant')}")
        if set(headers.values()) & {*self.holders, UNKNOWN_KEY}:
            self.faults.append(f"{request_id} came with its key")
        if workspace == LIMITED:
            self._check_quota(now)

    def _check_quota(self, now):
        times = self.arrivals[LIMITED]
        times.append(now)
        number = sum(now - WINDOW_S < each for each in times)
        allowed = (RATE * WINDOW_S + BURST) * (1.0 + QUOTA_OVER) + QUOTA_SLACK
        if number > allowed:
            self.faults.append(f"{number} requests of {LIMITED}, {allowed:.0f} allowed")

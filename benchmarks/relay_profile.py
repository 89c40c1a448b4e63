"""CPU time of relays by module, for calls that pass through two relays.

Runs an entry relay and two relays with targets in one process over loopback. The table
has a row for each module, which separates the relays from the emulated store and
targets and from the client.

    .venv/bin/python -m benchmarks.relay_profile [REQUESTS]
"""

import asyncio
import cProfile
import sys
from collections import Counter
from pathlib import Path

from buckthornshed.tests.relay.fleet import fleet_of

NUM_REQUESTS = 2_000
CONCURRENCY = 8
MAX_ROWS = 24


async def send_requests(requests: int) -> None:
    """Send requests over persistent connections, eight at a time."""
    async with fleet_of(1, service="front") as fleet:
        await fleet.add("stalls")
        await fleet.add("stalls")
        await fleet.wait_until_connected()

        async def client() -> None:
            reader, writer = await fleet.connect(fleet.relays[0])
            for _ in range(requests // CONCURRENCY):
                answer = await fleet.exchange(reader, writer, "/avail/1")
                if answer.status != 200:
                    raise RuntimeError(f"status {answer.status}, expected 200")
            writer.close()

        await asyncio.gather(*(client() for _ in range(CONCURRENCY)))


def sum_times(profile: cProfile.Profile) -> Counter[str]:
    """Return the seconds in each module of the project and each other function."""
    times: Counter[str] = Counter()
    for entry in profile.getstats():
        if isinstance(entry.code, str):
            name = f"other: {entry.code}"
        else:
            parts = Path(entry.code.co_filename).parts
            in_project = "buckthornshed" in parts
            name = (
                "/".join(parts[-2:]) if in_project else f"other: {entry.code.co_name}"
            )
        times[name] += entry.inlinetime
    return times


def main() -> None:
    """Print the milliseconds that each module takes per request."""
    requests = int(sys.argv[1]) if len(sys.argv) > 1 else NUM_REQUESTS
    profile = cProfile.Profile()
    profile.runcall(asyncio.run, send_requests(requests))
    for name, seconds in sum_times(profile).most_common(MAX_ROWS):
        print(f"{seconds * 1e3 / requests:8.4f} ms  {name}")


if __name__ == "__main__":
    main()

"""Plays by hand: ``python -m buckthornshed.tests.simulation --seeds 20``."""

import argparse
import asyncio
import logging
import sys
from collections import Counter

from buckthornshed.transport.logs import configure_logging

from .network import current_host
from .trials import DISTURBANCES, play


class VirtualTimeHandler(logging.StreamHandler):
    """Prints each line with the virtual time and the host of its relay."""

    def format(self, record):
        now = asyncio.get_running_loop().time()
        return f"{now:.3f} {current_host.get('')} {super().format(record)}"


def main() -> int:
    """Play each kind of disturbance alone, or all of them; return 1 if any fails."""
    parser = argparse.ArgumentParser(prog="simulation", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=30.0, help="time of each")
    parser.add_argument("--sizes", default="5,4,4", help="relays of each domain")
    parser.add_argument("--kinds", default="", help="disturbances that are mixed")
    parser.add_argument("--each", action="store_true", help="play each kind alone")
    parser.add_argument("--log", action="store_true", help="print the relays' logs")
    arguments = parser.parse_args()
    configure_logging(
        level="DEBUG" if arguments.log else "CRITICAL",
        make_handler=lambda: VirtualTimeHandler(sys.stdout),
    )
    sizes = tuple(int(each) for each in arguments.sizes.split(","))
    kinds = arguments.kinds.split(",") if arguments.kinds else list(DISTURBANCES)
    groups = [[kind] for kind in kinds] if arguments.each else [kinds]
    failed = 0
    for group in groups:
        for seed in range(arguments.first, arguments.first + arguments.seeds):
            stale = play(seed, group, sizes=sizes, seconds=arguments.seconds)
            failed += bool(stale)
            if stale:
                counts = dict(Counter(each.rule for each in stale))
                print(f"{','.join(group)} seed={seed} {counts}", flush=True)
                for each in stale[:4]:
                    print(f"  {each}", flush=True)
    print(f"groups={len(groups)} seeds={arguments.seeds} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

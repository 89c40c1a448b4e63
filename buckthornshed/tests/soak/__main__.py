"""Soak with many seeds: ``python -m buckthornshed.tests.soak --seeds 50``."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from .run import soak


def main() -> int:
    """Run the seeds one after the other; return 1 if any violates a guarantee."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=50, help="number of seeds")
    parser.add_argument("--relays", type=int, default=4, help="relay processes")
    parser.add_argument("--seconds", type=float, default=15.0, help="time of each")
    parser.add_argument("--folder", type=Path, help="folder that keeps the logs")
    parser.add_argument("--old", type=Path, help="version to replace, a checkout")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=arguments.folder))
        result = asyncio.run(
            soak(
                seed,
                folder,
                relays=arguments.relays,
                seconds=arguments.seconds,
                old=arguments.old and arguments.old.resolve(),
            )
        )
        failed += bool(result.violations)
        print(
            f"seed={seed} requests={result.requests} answered={result.answered} "
            f"disturbances={result.disturbances} violations={len(result.violations)}",
            flush=True,
        )
        for violation in result.violations:
            print(f"  {violation}", flush=True)
    print(f"seeds={arguments.seeds} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

"""Entry point of a relay process on the users' platform."""

import signal
import sys


def run() -> int:
    """Run a relay; return the exit status.

    SIGHUP would end the process until its handler is installed. The settings are read
    after that, so nothing is missed.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The imports take a few tenths of a second.
    from .program import main

    return main()


sys.exit(run())

"""Where a call runs: the choice of a target."""

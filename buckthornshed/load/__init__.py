"""Load generation, experiments on real processes and checks of their results."""

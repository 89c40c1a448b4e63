"""Load balancing, traffic shifting and retries of outgoing calls."""

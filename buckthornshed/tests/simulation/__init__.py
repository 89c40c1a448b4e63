"""Relays and the store in one process, with a simulated network and virtual time."""

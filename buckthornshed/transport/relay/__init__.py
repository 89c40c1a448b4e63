"""Sockets of a relay: clients, other relays, the target beside it."""

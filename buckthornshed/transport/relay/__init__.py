"""Network I/O of a relay: connections to clients, other relays and its target."""

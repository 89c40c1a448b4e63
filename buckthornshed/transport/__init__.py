"""Sockets: listeners, connection pools, peers, platform reader, admin endpoint."""

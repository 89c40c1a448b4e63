"""Connections, requests and responses of clients."""

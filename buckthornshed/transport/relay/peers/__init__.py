"""Connections between relays."""

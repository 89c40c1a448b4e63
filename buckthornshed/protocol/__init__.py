"""Typed messages, headers and codecs; no sockets and no clock."""

"""Decisions of a relay: beliefs, placement, waiting, retries; no input or output."""

"""Calls to the target beside a relay."""

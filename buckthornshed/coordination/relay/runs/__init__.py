"""Runs at the local target and the calls that they make."""

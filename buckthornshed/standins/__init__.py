"""Emulated platform and targets, for experiments and tests."""

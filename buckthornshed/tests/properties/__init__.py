"""Hypothesis state machines and property tests."""

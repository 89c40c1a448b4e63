"""Decisions: messages and time in, actions out; no input or output."""

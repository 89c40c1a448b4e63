"""Idempotency keys, key ownership and the outcomes of calls."""

"""Benchmarks: run one with ``python -m benchmarks.<name>``."""

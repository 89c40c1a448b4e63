"""Configuration sets, typed messages, headers and codecs; no I/O and no clock."""

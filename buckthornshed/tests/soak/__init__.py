"""Soak: relay processes under load, with faults that come in series and overlap."""

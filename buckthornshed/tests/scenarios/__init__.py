"""Scripted scenarios of failures."""

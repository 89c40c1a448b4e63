"""Adapter between the users' platform and the relay.

Only this package uses the platform's names, formats and calls. It decodes settings,
items of the store and header names into the relay's types, and makes no decisions.
"""

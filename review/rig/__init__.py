"""Stand-ins for the platform, servers and clients of the second review.

They speak what the users' pages describe and use the standard library only.
"""

"""Admission, load balancing, queueing and retries of a relay, free of I/O."""

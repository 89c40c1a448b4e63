"""Log lines of requests, and their buffer."""

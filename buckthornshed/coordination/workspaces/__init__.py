"""Who sends a request, and whether the quota of its workspace admits it."""

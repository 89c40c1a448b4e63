"""What relays tell each other about the quotas of workspaces."""

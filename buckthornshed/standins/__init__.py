"""Small stand-ins for the platform and the targets, for trials and tests."""

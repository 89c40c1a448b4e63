"""What a relay knows of the configuration and of the targets."""

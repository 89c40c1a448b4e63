"""What relays tell each other of the fleet and of its load."""

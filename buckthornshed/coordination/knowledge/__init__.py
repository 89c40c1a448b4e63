"""What a node believes of the fleet and the configuration, and how old that is."""

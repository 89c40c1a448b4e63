"""A node's view of the configuration and of other nodes, and the age of that view."""

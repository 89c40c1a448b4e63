"""What ran, and what may be said of it."""

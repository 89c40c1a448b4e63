"""Decision logic that maps messages and time to actions and performs no I/O."""

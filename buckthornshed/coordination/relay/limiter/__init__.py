"""Which calls may run now at the target beside a relay."""

"""Which calls may be sent again."""

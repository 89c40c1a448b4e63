"""Which client requests may come in when capacity runs short."""

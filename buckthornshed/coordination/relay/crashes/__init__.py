"""Which requests may have ended the targets that ran them."""

"""Where a call goes."""

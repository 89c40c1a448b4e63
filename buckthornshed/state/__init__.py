"""Plain data: configuration objects, bounded tables and windows."""

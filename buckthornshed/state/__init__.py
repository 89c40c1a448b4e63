"""Plain data: configuration objects, settings and bounded tables."""

"""Generated protobuf messages and service stubs; see ``scripts/generate``."""

"""Network input and output of a node: HTTP, gRPC, platform reads, logs and metrics."""

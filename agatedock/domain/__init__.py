"""Domain types: configuration, replicas and requests."""

"""Faults of router processes, peer links, the store and its links, replicas and store entries."""

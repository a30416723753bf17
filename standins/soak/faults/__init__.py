"""Faults by what they strike: router processes, the store and the ways to it, replicas."""

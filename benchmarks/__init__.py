"""Benchmarks that print the figures quoted in docs/."""

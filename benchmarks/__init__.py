"""Benchmarks that print the figures in docs/."""

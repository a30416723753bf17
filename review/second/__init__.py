"""Shared parts of the scripts of the second review."""

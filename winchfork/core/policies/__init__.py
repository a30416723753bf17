"""Placement policies, one a file, chosen by name."""

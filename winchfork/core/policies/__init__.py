"""Placement policies, one per module, chosen by name."""

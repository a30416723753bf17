"""Ports to what the platform gives, one adapter a file."""

"""Ports to the platform's key-value service and machine list, and their adapters."""

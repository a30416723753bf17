"""Model-checked specification of the claim protocol."""

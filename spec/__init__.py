"""Model-checked specifications of the claim protocol and of other distributed parts."""

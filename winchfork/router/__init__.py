"""The relaying router: one event loop that takes callers' requests to replicas and answers back."""

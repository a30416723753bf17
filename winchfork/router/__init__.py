"""The relaying router: one event loop relays callers' requests to replicas and their answers."""

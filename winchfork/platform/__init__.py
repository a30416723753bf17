"""Translates the platform's headers, documents and calls to the router's types, and back."""

"""Clients of the model engines and of the application back ends."""

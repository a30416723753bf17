"""Tests; `python -m tests.run` runs all of them."""

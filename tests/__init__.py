"""The test suite; `python -m tests.run` runs all of it."""

"""The decision core: no I/O, no clocks and no randomness; all three are passed in."""

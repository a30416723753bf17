"""Decision logic without I/O, clocks or randomness of its own; callers pass them in."""

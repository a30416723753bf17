"""Headers that say something of their sender which this build does not know."""

from __future__ import annotations

from winchfork.router.metrics import CounterChild, LabelledMetric


class UnknownHeaderCounter:
    """Counts them by name; of so many names each is told once, and more are not told apart."""

    def __init__(self, counts: LabelledMetric[CounterChild], max_names: int) -> None:
        self._counts = counts
        self._max_names = max_names
        self._names: set[str] = set()

    def count(self, name: str) -> bool:
        """Count one; True when its name is to be told."""
        is_new = name not in self._names
        if is_new and len(self._names) >= self._max_names:
            return False
        self._names.add(name)
        self._counts.labels(name).inc()
        return is_new

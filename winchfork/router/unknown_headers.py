"""Counts headers with names that this build does not know."""

from __future__ import annotations

from winchfork.router.metrics import CounterChild, LabelledMetric


class UnknownHeaderCounter:
    """Counts unknown headers by name, up to ``max_names`` different names."""

    def __init__(self, counts: LabelledMetric[CounterChild], max_names: int) -> None:
        self._counts = counts
        self._max_names = max_names
        self._names: set[str] = set()

    def count(self, name: str) -> bool:
        """Count a header; return whether its name is new and should be logged.

        Beyond ``max_names`` names, new ones are neither counted nor logged.
        """
        is_new = name not in self._names
        if is_new and len(self._names) >= self._max_names:
            return False
        self._names.add(name)
        self._counts.labels(name).inc()
        return is_new

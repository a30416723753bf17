"""The decision log: what was decided for each request, why, and what was observed after."""

from __future__ import annotations

import dataclasses
from collections import OrderedDict
from typing import Any

from winchfork.constants import DECISION_LOG_ENTRIES


@dataclasses.dataclass(frozen=True)
class DecisionEvent:
    """One step of a request's life. ``at_s`` is wall time; ``details`` holds plain values."""

    at_s: float
    step: str
    reason: str
    details: dict[str, Any]


class DecisionLog:
    """The newest requests with their decisions, bounded. Not thread-safe."""

    def __init__(self, max_requests: int = DECISION_LOG_ENTRIES) -> None:
        self._max_requests = max_requests
        self._events: OrderedDict[str, list[DecisionEvent]] = OrderedDict()

    def note(self, request_id: str, event: DecisionEvent) -> None:
        """Add one step to a request."""
        self._events.setdefault(request_id, []).append(event)
        while len(self._events) > self._max_requests:
            self._events.popitem(last=False)

    def explain(self, request_id: str) -> list[DecisionEvent]:
        """Return the steps of a request in order; empty when it is not (or no longer) known."""
        return list(self._events.get(request_id, ()))

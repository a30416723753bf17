"""The decision log: each request's routing decisions with their reasons and outcomes.

The steps of older requests are stored as compressed JSON to save memory.
"""

from __future__ import annotations

import dataclasses
import json
import zlib
from collections import OrderedDict
from typing import Any

from winchfork.constants import DECISION_LOG_ENTRIES

#: Requests whose steps are held as objects; beyond this the oldest is compressed.
MAX_UNCOMPRESSED_REQUESTS = 512


@dataclasses.dataclass(frozen=True)
class DecisionEvent:
    """One step in the handling of a request.

    ``at_s`` is wall time in seconds; ``details`` holds JSON-compatible values.
    """

    at_s: float
    step: str
    reason: str
    details: dict[str, Any]

    def to_document(self) -> dict[str, Any]:
        """Return the step as one JSON object."""
        return {"at_s": self.at_s, "step": self.step, "reason": self.reason, **self.details}


class DecisionLog:
    """The decisions of the newest requests, bounded. Not thread-safe."""

    def __init__(self, max_requests: int = DECISION_LOG_ENTRIES) -> None:
        self._max_requests = max_requests
        self._open: OrderedDict[str, list[DecisionEvent]] = OrderedDict()
        self._packed: OrderedDict[str, bytes] = OrderedDict()

    def record(self, request_id: str, event: DecisionEvent) -> None:
        """Add one step to a request."""
        self._open.setdefault(request_id, []).append(event)
        while len(self._open) > MAX_UNCOMPRESSED_REQUESTS:
            self._pack(*self._open.popitem(last=False))

    def explain(self, request_id: str) -> list[dict[str, Any]]:
        """Return the steps of a request in order; empty when it is unknown or was evicted."""
        return self._unpack(request_id) + [
            event.to_document() for event in self._open.get(request_id, ())
        ]

    def _pack(self, request_id: str, events: list[DecisionEvent]) -> None:
        # A slow request may have been packed before: append to its earlier steps.
        steps = self._unpack(request_id) + [event.to_document() for event in events]
        self._packed[request_id] = zlib.compress(json.dumps(steps).encode(), 1)
        while len(self._packed) > self._max_requests:
            self._packed.popitem(last=False)

    def _unpack(self, request_id: str) -> list[dict[str, Any]]:
        packed = self._packed.get(request_id)
        if packed is None:
            return []
        steps: list[dict[str, Any]] = json.loads(zlib.decompress(packed))
        return steps

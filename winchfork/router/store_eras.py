"""Tracks the newest era of the store.

A store that is restored from a backup begins a new era: revisions and leases that it assigned after
the backup are void and may be assigned again. Eras rise; 0 stands for an answer that names none.
"""

from __future__ import annotations

from collections.abc import Callable

from winchfork.logs import log_event
from winchfork.router.metrics import RouterMetrics
from winchfork.router.unknown_headers import UnknownHeaderCounter
from winchfork.stores.async_key_value import StoreAnswer

STATUS_OK = 200
#: The store no longer has the history from which a watch was to continue.
STATUS_GONE = 410
#: Maximum number of different unknown header names to log.
MAX_UNKNOWN_HEADERS = 20


class StoreEras:
    """The newest known era, and counts of unusual answers. Not thread-safe."""

    def __init__(self, metrics: RouterMetrics) -> None:
        self._metrics = metrics
        self._unknown_headers = UnknownHeaderCounter(metrics.unknown_headers, MAX_UNKNOWN_HEADERS)
        self.newest = 0
        #: Called for each newer era, before anything of it is used.
        self.on_advance: Callable[[], None] = lambda: None

    def handle_answer(self, answer: StoreAnswer) -> None:
        """Record the era, the status and any unknown headers of an answer of the store."""
        self.advance_to(answer.era)
        for name in answer.unknown_headers:
            if self._unknown_headers.count(name):
                log_event("store_header_unknown", "WARNING", header=name)
        if answer.status != STATUS_OK:
            self._metrics.store_refusals.labels(str(answer.status)).inc()
        if answer.status == STATUS_GONE:
            log_event("store_history_lost", "WARNING", era=answer.era or None)

    def advance_to(self, era: int, *, reported_by: str = "store") -> None:
        """Record an era that the store or a peer named; ignore it if it is not newer."""
        if era <= self.newest:
            return
        before, self.newest = self.newest, era
        level = "WARNING" if before else "INFO"
        log_event("store_era", level, era=era, before=before or None, told_by=reported_by)
        self.on_advance()

"""Counters and latency histograms of one router process, and the page that shows them."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

#: Upper bounds of the latency buckets, in seconds.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class RouterMetrics:
    """All figures of one process, in a registry of its own."""

    def __init__(self) -> None:
        registry = self._registry = CollectorRegistry()
        self.requests = Counter(
            "winchfork_requests", "Requests ended, by outcome.", ["outcome"], registry=registry
        )
        self.request_seconds = Histogram(
            "winchfork_request_seconds",
            "From the first byte of a request to the end of its answer, by kind of route.",
            ["kind"],
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.first_event_seconds = Histogram(
            "winchfork_first_event_seconds",
            "From the first byte of a request to the first event of its stream.",
            buckets=BUCKETS_S,
            registry=registry,
        )
        self.calls = Counter(
            "winchfork_calls", "Calls to the store and to replicas.", ["call"], registry=registry
        )
        self.bad_datagrams = Counter(
            "winchfork_bad_datagrams", "Datagrams that no peer has made.", registry=registry
        )
        self.datagrams_refused = Counter(
            "winchfork_datagrams_refused", "Datagrams that a machine refused.", registry=registry
        )
        self.updates_relayed = Counter(
            "winchfork_updates_relayed",
            "Updates of the store's entries taken from peers.",
            ["outcome"],
            registry=registry,
        )

    def show(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Show a figure that is read when the page is asked for."""
        gauge = Gauge(f"winchfork_{name}", description, registry=self._registry)
        gauge.set_function(read)

    def render(self) -> bytes:
        """Return the page in the text exposition format."""
        return generate_latest(self._registry)

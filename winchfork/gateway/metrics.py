"""The daemon's Prometheus metrics, in a registry of its own."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from winchfork.gateway.requests import CallerContext

_FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.3, 2.0, 4.0, 8.0, 16.0)


class GatewayMetrics:
    """The metrics of one daemon."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "winchfork_requests", "Requests by outcome", ["outcome"], registry=self.registry
        )
        self._first_token = Histogram(
            "winchfork_first_token_seconds",
            "Time from dispatch to the first token",
            ["traffic_class"],
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self._prompt_tokens = Counter(
            "winchfork_prompt_tokens", "Prompt tokens dispatched", registry=self.registry
        )
        self._cached_tokens = Counter(
            "winchfork_cached_tokens", "Prompt tokens reused", registry=self.registry
        )
        self._claims = Counter(
            "winchfork_claims", "Claims of commands by result", ["result"], registry=self.registry
        )
        self.open_requests = Gauge(
            "winchfork_open_requests", "Requests running", registry=self.registry
        )
        self.waiting_requests = Gauge(
            "winchfork_waiting_requests", "Requests waiting", registry=self.registry
        )
        self.index_blocks = Gauge(
            "winchfork_index_blocks", "Blocks in the cache index", registry=self.registry
        )

    def count_request(self, outcome: str) -> None:
        """Count a request by its outcome: ``completed`` or a failure's code."""
        self._requests.labels(outcome).inc()

    def observe_first_token(self, context: CallerContext, seconds: float) -> None:
        """Record a time to first token."""
        self._first_token.labels(context.traffic_class.name).observe(seconds)

    def count_prompt_tokens(self, prompt_tokens: int, cached_tokens: int) -> None:
        """Count the prompt tokens of a dispatch, and how many of them the cache provided."""
        self._prompt_tokens.inc(prompt_tokens)
        self._cached_tokens.inc(min(prompt_tokens, cached_tokens))

    def count_claim(self, result: str) -> None:
        """Count a claim by its result."""
        self._claims.labels(result).inc()

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)

"""Estimates the prefill rate of a service's engines from times to first token.

The time to first token is a fixed part (network round trip and first decoding step) plus the
prefill of the prompt. Short prompts update the fixed part, long prompts the rate. Callers report
only prompts with no known queue ahead of them, since queueing would distort the estimate.
"""

from __future__ import annotations

#: Initial prefill rate, in prompt tokens per second.
PRIOR_PREFILL_TOKENS_PER_S = 40_000.0
#: Samples are clamped to the initial rate divided or multiplied by this factor.
MAX_PRIOR_RATIO = 20.0
#: Initial estimate of the fixed part of the time to first token, in seconds.
PRIOR_FIRST_TOKEN_S = 0.02
#: Weight of a new sample in the exponential moving averages.
SAMPLE_WEIGHT = 0.1
#: Prompts with fewer uncached tokens than this update the fixed part.
SHORT_TOKENS = 300
#: Prompts with more uncached tokens than this update the rate.
LONG_TOKENS = 2_000


class EngineSpeed:
    """The estimated prefill rate, in tokens per second, of one service's engines."""

    def __init__(self) -> None:
        self.prefill_tokens_per_s = PRIOR_PREFILL_TOKENS_PER_S
        self._first_token_s = PRIOR_FIRST_TOKEN_S

    def record_first_token(self, prefill_tokens: int, took_s: float) -> None:
        """Add a sample from a prompt with no queue ahead of it and no copied parts.

        ``took_s`` is the time to first token in seconds.
        """
        if prefill_tokens < SHORT_TOKENS:
            self._first_token_s += SAMPLE_WEIGHT * (took_s - self._first_token_s)
        elif prefill_tokens > LONG_TOKENS:
            self._record_rate(prefill_tokens / max(1e-3, took_s - self._first_token_s))

    def _record_rate(self, tokens_per_s: float) -> None:
        """Average seconds per token, not tokens per second, so that slow samples weigh more."""
        slowest = PRIOR_PREFILL_TOKENS_PER_S / MAX_PRIOR_RATIO
        fastest = PRIOR_PREFILL_TOKENS_PER_S * MAX_PRIOR_RATIO
        token_s = 1.0 / max(slowest, min(fastest, tokens_per_s))
        known_s = 1.0 / self.prefill_tokens_per_s
        self.prefill_tokens_per_s = 1.0 / (known_s + SAMPLE_WEIGHT * (token_s - known_s))

"""How fast a service's engines read prompts, learned from first tokens of prompts read alone.

A first token comes after a fixed time (the way there and back, the first step) and the time to read
the prompt. Short prompts show the fixed time, long ones the rate. Only prompts before which nothing
was known to wait count: with others ahead, the time says more about those.
"""

from __future__ import annotations

#: Prompt tokens read a second until measured, and how far from it a measurement may lead.
PRIOR_PREFILL_TOKENS_PER_S = 40_000.0
MAX_PRIOR_RATIO = 20.0
#: Seconds to a first token beside the reading, until measured.
PRIOR_FIRST_TOKEN_S = 0.02
#: Share of a new sample in the moving averages: the last ten or so count.
SAMPLE_WEIGHT = 0.1
#: Prompts of fewer unread tokens show the fixed time, of more than the second number the rate.
SHORT_TOKENS = 300
LONG_TOKENS = 2_000


class EngineSpeed:
    """The learned speed of one service's engines."""

    def __init__(self) -> None:
        self.prefill_tokens_per_s = PRIOR_PREFILL_TOKENS_PER_S
        self._first_token_s = PRIOR_FIRST_TOKEN_S

    def record_first_token(self, prefill_tokens: int, took_s: float) -> None:
        """Learn from a prompt that nothing waited before and whose parts were not copied."""
        if prefill_tokens < SHORT_TOKENS:
            self._first_token_s += SAMPLE_WEIGHT * (took_s - self._first_token_s)
        elif prefill_tokens > LONG_TOKENS:
            self._record_rate(prefill_tokens / max(1e-3, took_s - self._first_token_s))

    def _record_rate(self, tokens_per_s: float) -> None:
        """Average the time for a token: slow samples must count for as much as they cost."""
        slowest = PRIOR_PREFILL_TOKENS_PER_S / MAX_PRIOR_RATIO
        fastest = PRIOR_PREFILL_TOKENS_PER_S * MAX_PRIOR_RATIO
        token_s = 1.0 / max(slowest, min(fastest, tokens_per_s))
        known_s = 1.0 / self.prefill_tokens_per_s
        self.prefill_tokens_per_s = 1.0 / (known_s + SAMPLE_WEIGHT * (token_s - known_s))

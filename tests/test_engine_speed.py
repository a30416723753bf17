"""Tests the estimate of an engine's prefill rate from times to first token, and its bounds."""

from __future__ import annotations

import unittest

from tests.relay_case import RelayTestCase
from tests.relay_support import (
    ReceivedRequest,
    ScriptedReplica,
    answering,
    chunk,
    event,
    stream_head,
)
from winchfork.core.engine_speed import MAX_PRIOR_RATIO, PRIOR_PREFILL_TOKENS_PER_S, EngineSpeed
from winchfork.core.routing import RouteKind


def estimated_rate(rate: float, first_token_s: float, samples: int = 60) -> float:
    """Return the estimate after samples of short and long prompts at a true ``rate``."""
    speed = EngineSpeed()
    for number in range(samples):
        tokens = 100 if number % 2 else 3_000 + 100 * number
        speed.record_first_token(tokens, first_token_s + tokens / rate)
    return speed.prefill_tokens_per_s


class EngineSpeedTest(unittest.TestCase):
    def test_estimate_converges_to_rates_above_and_below_the_initial_one(self) -> None:
        """Guards against underestimated queues where engines are slower than assumed."""
        for rate in (13_000.0, 57_000.0, 120_000.0):
            self.assertAlmostEqual(estimated_rate(rate, 0.03) / rate, 1.0, delta=0.15)

    def test_prompts_of_medium_length_are_ignored(self) -> None:
        speed = EngineSpeed()
        speed.record_first_token(1_000, 5.0)
        self.assertEqual(speed.prefill_tokens_per_s, PRIOR_PREFILL_TOKENS_PER_S)

    def test_extreme_samples_are_clamped(self) -> None:
        self.assertGreaterEqual(
            estimated_rate(1.0, 0.0), PRIOR_PREFILL_TOKENS_PER_S / MAX_PRIOR_RATIO
        )
        self.assertLessEqual(
            estimated_rate(1e12, 0.0), PRIOR_PREFILL_TOKENS_PER_S * MAX_PRIOR_RATIO
        )


class RelayedPromptTest(RelayTestCase):
    async def test_a_prompt_without_a_queue_updates_the_estimate(self) -> None:
        def stream(request: ReceivedRequest) -> bytes:
            return stream_head(request) + chunk(event(1)) + b"0\r\n\r\n"

        relay = await self.relay(ScriptedReplica(answering(stream)), kind=RouteKind.STREAMING)
        usage = "X-Model: m\r\nX-Token-Usage: 9000,9\r\nX-Prefix-Hash: aa:9000\r\n"
        await relay.ask(method="POST", extra=usage)
        self.assertNotEqual(
            relay.state.engine_speed("s").prefill_tokens_per_s, PRIOR_PREFILL_TOKENS_PER_S
        )

"""Tests that short prompts are sent with a higher urgency than long ones."""

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
from winchfork.core.routing import RouteKind
from winchfork.core.urgency import LOWEST_URGENCY, MAX_PENALTY_LEVELS, urgency_level


class UrgencyLevelTest(unittest.TestCase):
    def test_a_short_prefill_keeps_the_configured_priority(self) -> None:
        self.assertEqual([urgency_level(priority, 0.01, 0.5) for priority in (0, 1, 3)], [0, 1, 3])

    def test_each_doubling_lowers_the_urgency_by_one_level(self) -> None:
        levels = [urgency_level(0, prefill_s, 0.5) for prefill_s in (0.03, 0.06, 0.12, 0.24)]
        self.assertEqual(levels, [1, 2, 3, 4])

    def test_the_penalty_of_long_prompts_is_bounded(self) -> None:
        self.assertEqual(urgency_level(1, 100.0, 0.5), 1 + MAX_PENALTY_LEVELS)
        self.assertEqual(urgency_level(8, 100.0, 0.5), LOWEST_URGENCY)

    def test_a_route_without_a_target_latency_keeps_the_configured_priority(self) -> None:
        self.assertEqual(urgency_level(2, 1.0, 0.0), 2)


class SentUrgencyTest(RelayTestCase):
    async def test_a_short_prompt_of_the_same_tenant_is_more_urgent(self) -> None:
        """Guards against equal urgency of all prompts of a tenant, which delays all in overload."""

        def stream(request: ReceivedRequest) -> bytes:
            return stream_head(request) + chunk(event(1)) + b"0\r\n\r\n"

        replica = ScriptedReplica(answering(stream))
        relay = await self.relay(replica, kind=RouteKind.STREAMING)
        for request_id, tokens in (("id-1", 500), ("id-2", 9000)):
            usage = f"X-Model: m\r\nX-Token-Usage: {tokens},9\r\nX-Prefix-Hash: {request_id}:9\r\n"
            await relay.ask(request_id, method="POST", extra=usage)
        short, long = (int(seen.headers["x-request-priority"]) for seen in replica.received)
        self.assertLess(short, long)

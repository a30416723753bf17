"""Tests the queue for permits of replicas with request limits.

Guards against urgent requests that lose permits to less urgent ones, and against requests that wait
until their deadline where an early refusal is possible.
"""

from __future__ import annotations

import asyncio
import math
import unittest

from tests.relay_case import RelayTestCase
from tests.relay_support import URGENT_KEY, RelayUnderTest, ScriptedReplica, answering, signed
from winchfork.core.permit_queue import (
    PermitOpening,
    PermitQueue,
    PermitTicket,
    max_permit_wait_s,
    permit_in_s,
)


def limited(per_s: str) -> ScriptedReplica:
    """Return a replica that announces a limit in each answer."""
    extra = f"Server-Limit: {per_s}\r\n"
    return ScriptedReplica(answering(lambda r: signed(r, b"ok", extra=extra)))


class ScarcePermitsTest(RelayTestCase):
    async def limited_relay(self, per_s: str) -> tuple[RelayUnderTest, ScriptedReplica]:
        """Return a router that has just sent a request to its only replica, which is limited."""
        replica = limited(per_s)
        relay = await self.relay(replica, target_latency_s=1.0)
        self.assertEqual((await relay.ask("id-0")).status, 200)
        return relay, replica

    async def test_urgent_requests_are_served_first_and_excess_ones_refused_early(self) -> None:
        relay, replica = await self.limited_relay("2")
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        usual = [asyncio.create_task(relay.ask(f"usual-{number}")) for number in range(6)]
        await asyncio.sleep(0.1)
        urgent = await relay.ask("urgent-0", key=URGENT_KEY)
        self.assertEqual(urgent.status, 200)
        self.assertEqual(replica.received[1].headers["x-request-id"], "urgent-0")
        answers = await asyncio.gather(*usual)
        refused = [answer for answer in answers if answer.status == 503]
        served = [answer for answer in answers if answer.status == 200]
        self.assertGreaterEqual(len(served), 1)
        self.assertGreaterEqual(len(refused), 3)
        self.assertLess(loop.time() - started_s, 2.0)
        for answer in refused:
            self.assert_not_run(answer)
            self.assertIn(b"limit", answer.body)
            self.assertGreater(float(answer.headers["retry-after"]), 0.8)
        effects = relay.state.metrics.limit_effects
        self.assertEqual(effects.labels("refused").value, len(refused))
        self.assertGreaterEqual(effects.labels("waited").value, 2)
        self.assertEqual(relay.state.metrics.sent_under_limit.labels("i-0").value, len(served) + 1)

    async def test_a_request_waits_for_a_permit_that_is_available_in_time(self) -> None:
        relay, _ = await self.limited_relay("0.5")
        answer = await relay.ask("id-1")
        self.assertEqual(answer.status, 200)


class PermitQueueTest(unittest.TestCase):
    def test_permits_are_counted_over_all_replicas(self) -> None:
        openings = [PermitOpening(0.0, 1.0), PermitOpening(0.5, 2.0), PermitOpening(math.inf, 1.0)]
        expected = [0.0, 0.5, 1.0, 2.0, 2.5, 3.0, 4.0, 4.5]
        self.assertEqual([permit_in_s(openings, ahead) for ahead in range(8)], expected)
        self.assertEqual(permit_in_s([], 0), math.inf)

    def test_requests_are_served_by_priority_then_by_arrival(self) -> None:
        queue = PermitQueue()
        first, second, urgent = queue.join(1), queue.join(1), queue.join(0)
        self.assertEqual([queue.ahead(ticket) for ticket in (urgent, first, second)], [0, 1, 2])
        queue.leave(first)
        self.assertEqual(queue.ahead(second), 1)
        queue.leave(urgent)
        queue.leave(second)
        self.assertEqual(len(queue), 0)

    def test_the_longest_wait_is_half_the_objective_or_two_permit_intervals(self) -> None:
        self.assertEqual(max_permit_wait_s([PermitOpening(0.3, 0.1)], target_s=0.8), 0.4)
        self.assertEqual(max_permit_wait_s([PermitOpening(0.3, 2.0)], target_s=0.8), 4.0)
        self.assertEqual(max_permit_wait_s([PermitOpening(math.inf, 2.0)], target_s=0.8), 0.4)

    def test_requests_served_in_a_long_overload_are_served_in_time(self) -> None:
        """Twelve permits and thirty requests per second, a tenth of them urgent, for 20 s."""
        queue, waiting = PermitQueue(), dict[PermitTicket, float]()
        openings = [PermitOpening(0.0, 1.0 / 3.0)] * 4
        due_s = [0.0] * 4
        waits_s: dict[int, list[float]] = {0: [], 1: []}
        refused = {0: 0, 1: 0}
        for step in range(2000):
            now_s = step * 0.01
            if step % 100 < 90 and step % 3 == 0:
                waiting[queue.join(0 if step % 30 == 0 else 1)] = now_s
            for ticket in sorted(waiting):
                openings = [PermitOpening(max(0.0, at_s - now_s), 1.0 / 3.0) for at_s in due_s]
                permit_after_s = permit_in_s(openings, queue.ahead(ticket))
                waited_s = now_s - waiting[ticket]
                if permit_after_s <= 0.0:
                    due_s[due_s.index(min(due_s))] = now_s + 1.0 / 3.0
                    waits_s[ticket.priority].append(waited_s)
                elif permit_after_s > max_permit_wait_s(openings, 0.8) - waited_s:
                    refused[ticket.priority] += 1
                else:
                    continue
                queue.leave(ticket)
                del waiting[ticket]
        self.assertEqual(refused[0], 0)
        self.assertGreater(refused[1], 250)
        # The four replicas' permits coincide, so an urgent request waits for one interval at most.
        self.assertLess(max(waits_s[0]), 1.0 / 3.0 + 0.02)
        self.assertLess(max(waits_s[1]), 0.8)
        self.assertGreater(len(waits_s[0]) + len(waits_s[1]), 0.95 * 12 * 20)

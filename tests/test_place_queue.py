"""Who gets the places of replicas that name limits, where no other replica has room.

Four replicas that took 31 streams a second named 3 a second each. Of 72 requests of a tenant that
comes first 36 were in time, 22 late and 14 turned away, as of all others: every request looked for
a place again and again until its deadline, and whichever looked first after one had opened took
it. When the limits ended, 151 that had waited went out within a second.
"""

from __future__ import annotations

import asyncio

from tests.relay_case import RelayTestCase
from tests.relay_support import URGENT_KEY, RelayUnderTest, ScriptedReplica, answering, signed


def limited(per_s: str) -> ScriptedReplica:
    """Return a replica that names a limit in each answer."""
    extra = f"Server-Limit: {per_s}\r\n"
    return ScriptedReplica(answering(lambda r: signed(r, b"ok", extra=extra)))


class ScarcePlacesTest(RelayTestCase):
    async def scarce(self, per_s: str) -> tuple[RelayUnderTest, ScriptedReplica]:
        """Return a router that has just sent a request to its only replica, which is limited."""
        replica = limited(per_s)
        relay = await self.relay(replica, target_latency_s=1.0)
        self.assertEqual((await relay.ask("id-0")).status, 200)
        return relay, replica

    async def test_the_urgent_are_served_first_and_who_has_no_place_is_told_at_once(self) -> None:
        relay, replica = await self.scarce("2")
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        usual = [asyncio.create_task(relay.ask(f"usual-{number}")) for number in range(6)]
        await asyncio.sleep(0.1)
        urgent = await relay.ask("urgent-0", key=URGENT_KEY)
        self.assertEqual(urgent.status, 200)
        self.assertEqual(replica.seen[1].headers["x-request-id"], "urgent-0")
        answers = await asyncio.gather(*usual)
        refused = [answer for answer in answers if answer.status == 503]
        served = [answer for answer in answers if answer.status == 200]
        self.assertGreaterEqual(len(served), 1)
        self.assertGreaterEqual(len(refused), 3)
        self.assertLess(loop.time() - begun_s, 2.0)
        for answer in refused:
            self.assert_not_run(answer)
            self.assertIn(b"limit", answer.body)
            self.assertGreater(float(answer.headers["retry-after"]), 0.8)

    async def test_few_requests_wait_for_a_place_that_comes_in_time(self) -> None:
        relay, _ = await self.scarce("0.5")
        answer = await relay.ask("id-1")
        self.assertEqual(answer.status, 200)

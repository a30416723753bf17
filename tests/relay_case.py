"""A test case that runs a router service in front of scripted replicas on loopback."""

from __future__ import annotations

import unittest

from tests.relay_support import ReceivedAnswer, RelayUnderTest, ScriptedReplica

#: Headers of a prompt of 100 tokens in two parts, with 20 output tokens.
PROMPT_HEADERS = "X-Model: m\r\nX-Token-Usage: 100,20\r\nX-Prefix-Hash: aa:60,bb:40\r\n"


class RelayTestCase(unittest.IsolatedAsyncioTestCase):
    async def relay(self, *replicas: ScriptedReplica, **route: object) -> RelayUnderTest:
        relay = RelayUnderTest(**route)
        relay.configure()
        for number, replica in enumerate(replicas):
            await replica.start()
            # The first replica is in the router's zone and is preferred.
            zone = "z1" if number == 0 else "z2"
            relay.add(replica, f"i-{number}", versions={"m": 1}, zone=zone)
            self.addAsyncCleanup(replica.stop)
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        return relay

    def assert_not_run(self, answer: ReceivedAnswer) -> None:
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0)
        self.assertNotIn("x-server-signature", answer.headers)

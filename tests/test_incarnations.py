"""State about a replica ends with its incarnation, even if its id is reused. Virtual time."""

from __future__ import annotations

import asyncio
import unittest
from typing import cast

from tests.test_store_sync import Followed, follow
from winchfork.core.rendezvous import member_hash
from winchfork.router.peer_messages import WeightsEntry, WeightsProgress
from winchfork.router.peer_messenger import PeerMessenger
from winchfork.router.weights_announcer import WeightsAnnouncer
from winchfork.router.weights_exchange import WeightsExchange


class RestartUnderTheSameIdTest(unittest.TestCase):
    """A replica that restarts under the same id inherits no state of its former incarnation."""

    def test_no_state_of_the_former_incarnation_remains(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.put_replica("i-1", born=1_000)
            await asyncio.sleep(0.2)
            state = followed.state
            former = state.fleet.get("i-1")
            assert former is not None
            state.record_cached_parts(former, [11, 12])
            former.loading_until_s = state.clock() + 60.0
            former.record_sent(1, 500, state.clock() + 60.0, 700)
            state.record_failure(former, "refused", certain=True)
            followed.put_replica("i-1", born=2_000)
            await asyncio.sleep(0.2)
            current = state.fleet.get("i-1")
            assert current is not None
            self.assertIsNot(current, former)
            self.assertTrue(current.accepting)
            self.assertEqual((current.loading_until_s, current.ejected_until_s), (0.0, 0.0))
            self.assertEqual(
                (current.running, current.queued_prefill_tokens, current.used_tokens), (0, 0, 0)
            )
            self.assertEqual(state.parts.holders(11), {})
            state.record_peer_cached_parts(former.incarnation_hash, (13,))
            self.assertNotIn(current.incarnation_hash, state.parts.holders(13))

        follow(scenario)

    def test_late_heartbeat_of_the_former_incarnation_is_ignored(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.put_replica("i-1", born=2_000)
            await asyncio.sleep(0.2)
            current = followed.state.fleet.get("i-1")
            followed.put_replica("i-1", born=1_000, State="draining")
            await asyncio.sleep(0.2)
            self.assertIs(followed.state.fleet.get("i-1"), current)
            assert current is not None
            self.assertTrue(current.accepting)

        follow(scenario)

    def test_late_hold_for_the_former_incarnation_is_ignored(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.put_replica("i-1", born=2_000)
            await asyncio.sleep(0.2)
            current = followed.state.fleet.get("i-1")
            assert current is not None
            exchange = WeightsExchange(followed.state, cast(PeerMessenger, None))
            former = member_hash("i-1@1000")
            exchange.handle_weights(
                WeightsProgress("n2", 5, (WeightsEntry("i-1", former, "daka510000", 9, 60_000, 0),))
            )
            self.assertEqual((current.loading_until_s, current.versions), (0.0, {"daka510000": 1}))

        follow(scenario)

    def test_hold_is_announced_again_for_a_new_incarnation(self) -> None:
        """Peers drop a hold together with the incarnation that it applies to."""

        async def scenario(followed: Followed) -> None:
            sent: list[WeightsEntry] = []
            announcer = WeightsAnnouncer(
                lambda fence, entries: sent.extend(entries), followed.state.clock
            )
            for started_at_ms in (1_000, 2_000):
                followed.put_replica("i-1", born=started_at_ms)
                await asyncio.sleep(0.2)
                current = followed.state.fleet.get("i-1")
                assert current is not None
                announcer.hold(current, "daka510000", 5)
                await asyncio.sleep(0.1)
            self.assertEqual(len({entry.incarnation for entry in sent if entry.held_ms}), 2)

        follow(scenario)

"""What is believed of a replica ends with its incarnation, whatever its id. Virtual time."""

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
    """A replica that starts again under the id that it had holds nothing of before."""

    def test_nothing_that_was_believed_of_the_former_life_is_left(self) -> None:
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
            living = state.fleet.get("i-1")
            assert living is not None
            self.assertIsNot(living, former)
            self.assertTrue(living.accepting)
            self.assertEqual((living.loading_until_s, living.ejected_until_s), (0.0, 0.0))
            self.assertEqual(
                (living.running, living.queued_prefill_tokens, living.used_tokens), (0, 0, 0)
            )
            self.assertEqual(state.parts.holders(11), {})
            state.record_peer_cached_parts(former.order_hash, (13,))
            self.assertNotIn(living.order_hash, state.parts.holders(13))

        follow(scenario)

    def test_a_late_heartbeat_of_the_former_life_changes_nothing(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.put_replica("i-1", born=2_000)
            await asyncio.sleep(0.2)
            living = followed.state.fleet.get("i-1")
            followed.put_replica("i-1", born=1_000, State="draining")
            await asyncio.sleep(0.2)
            self.assertIs(followed.state.fleet.get("i-1"), living)
            assert living is not None
            self.assertTrue(living.accepting)

        follow(scenario)

    def test_a_late_hold_for_the_former_life_holds_nothing_up(self) -> None:
        async def scenario(followed: Followed) -> None:
            followed.put_replica("i-1", born=2_000)
            await asyncio.sleep(0.2)
            living = followed.state.fleet.get("i-1")
            assert living is not None
            news = WeightsExchange(followed.state, cast(PeerMessenger, None))
            former = member_hash("i-1@1000")
            news.handle_weights(
                WeightsProgress("n2", 5, (WeightsEntry("i-1", former, "daka510000", 9, 60_000, 0),))
            )
            self.assertEqual((living.loading_until_s, living.versions), (0.0, {"daka510000": 1}))

        follow(scenario)

    def test_a_hold_is_told_anew_for_a_new_life(self) -> None:
        """Peers have dropped the former hold with the former life."""

        async def scenario(followed: Followed) -> None:
            told: list[WeightsEntry] = []
            notes = WeightsAnnouncer(lambda fence, notes: told.extend(notes), followed.state.clock)
            for born_ms in (1_000, 2_000):
                followed.put_replica("i-1", born=born_ms)
                await asyncio.sleep(0.2)
                living = followed.state.fleet.get("i-1")
                assert living is not None
                notes.hold(living, "daka510000", 5)
                await asyncio.sleep(0.1)
            self.assertEqual(len({note.incarnation for note in told if note.held_ms}), 2)

        follow(scenario)

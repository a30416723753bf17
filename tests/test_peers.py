"""Exchange of freshness proofs, work, failure reports and rollouts between daemons."""

from __future__ import annotations

import asyncio
import random
import unittest

from tests.peer_support import Daemon, Network, run_with_daemons
from winchfork.core.rendezvous import member_hash
from winchfork.core.store_position import StorePosition
from winchfork.core.weight_rollout import VersionHistory
from winchfork.router.peer_messages import Resignation, WeightsEntry


class PeersTest(unittest.TestCase):
    def test_all_members_are_found_through_one_seed(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            self.assertEqual([daemon.peers.member_count() for daemon in daemons], [5] * 5)

        run_with_daemons(5, scenario)

    def test_a_daemon_cut_off_from_the_store_adopts_a_peers_proof(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            first, second = daemons
            first.state.store_position = second.state.store_position = StorePosition(0, 8)
            for _ in range(40):
                first.state.freshness.prove(first.state.clock())
                await asyncio.sleep(0.1)
            self.assertLess(second.age_s(), 1.5)
            self.assertGreaterEqual(second.age_s(), 0.0)

        run_with_daemons(2, scenario)

    def test_a_proof_at_a_later_store_position_is_not_adopted(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            first, second = daemons
            first.state.store_position = first.state.document_position = StorePosition(0, 9)
            second.state.store_position = second.state.document_position = StorePosition(0, 8)
            for _ in range(40):
                first.state.freshness.prove(first.state.clock())
                await asyncio.sleep(0.1)
            self.assertGreater(second.age_s(), 1000.0)

        run_with_daemons(2, scenario)

    def test_a_proof_is_adopted_if_only_records_of_streams_have_changed_since(self) -> None:
        """Guards against daemons that pull documents whenever streams are archived."""

        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            first, second = daemons
            first.state.store_position = StorePosition(0, 9)
            first.state.document_position = StorePosition(0, 8)
            second.state.store_position = second.state.document_position = StorePosition(0, 8)
            for _ in range(40):
                first.state.freshness.prove(first.state.clock())
                await asyncio.sleep(0.1)
            self.assertLess(second.age_s(), 1.5)

        run_with_daemons(2, scenario)

    def test_a_late_reply_ages_by_the_time_since_its_probe(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            first, second = daemons
            first.state.store_position = second.state.store_position = StorePosition(0, 8)
            network.delay_s = 0.9
            proven_s = first.state.clock()
            first.state.freshness.prove(proven_s)
            for _ in range(30):
                await asyncio.sleep(0.1)
                adopted_s = second.state.clock() - second.age_s()
                self.assertLessEqual(adopted_s, proven_s)

        run_with_daemons(2, scenario)

    def test_work_is_sent_to_peers_and_expires(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            first, second = daemons
            replica = first.state.fleet.get("i-1")
            seen = second.state.fleet.get("i-1")
            assert replica is not None and seen is not None
            replica.record_sent(1, 5000, first.state.clock() + 2.0)
            await asyncio.sleep(0.5)
            self.assertEqual((seen.peer_in_flight, seen.peer_pending_prefill_tokens), (1, 5000))
            self.assertGreater(seen.busy_until_s, second.state.clock())
            network.drop = lambda sender, receiver: True
            await asyncio.sleep(3.0)
            self.assertEqual((seen.peer_in_flight, seen.peer_pending_prefill_tokens), (0, 0))

        run_with_daemons(2, scenario)

    def test_a_replica_that_two_peers_have_ejected_is_ejected_here(self) -> None:
        """Guards against every daemon having to time out on a silent replica itself."""

        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replicas = [daemon.state.fleet.get("i-1") for daemon in daemons]
            first, second, third, fourth = [item for item in replicas if item is not None]
            daemons[0].state.record_unreachable(first, "silent", confirmed=True)
            await asyncio.sleep(0.1)
            self.assertEqual((third.ejected_until_s, fourth.ejected_until_s), (0.0, 0.0))
            daemons[1].state.record_unreachable(second, "silent", confirmed=True)
            await asyncio.sleep(0.1)
            for replica, daemon in ((third, daemons[2]), (fourth, daemons[3])):
                self.assertGreater(replica.ejected_until_s, daemon.state.clock())
            await asyncio.sleep(1.5)
            self.assertLess(third.ejected_until_s, daemons[2].state.clock())

        run_with_daemons(4, scenario)

    def test_failure_reports_of_one_isolated_daemon_eject_no_replica(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            for _ in range(5):
                for replica in daemons[0].state.fleet.replicas():
                    daemons[0].state.record_unreachable(replica, "silent", confirmed=True)
                await asyncio.sleep(1.0)
            for replica in daemons[1].state.fleet.replicas():
                self.assertEqual(replica.ejected_until_s, 0.0)

        run_with_daemons(3, scenario)

    def test_what_only_its_reporters_have_seen_ejects_no_replica(self) -> None:
        """Guards against routers that lost their own links speaking for all."""

        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            for daemon in daemons[:2]:
                for replica in daemon.state.fleet.replicas():
                    daemon.state.record_unreachable(replica, "silent", confirmed=False)
            await asyncio.sleep(0.5)
            for replica in daemons[2].state.fleet.replicas():
                self.assertEqual(replica.ejected_until_s, 0.0)

        run_with_daemons(3, scenario)

    def test_reports_eject_no_replica_that_has_answered_here_meanwhile(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = daemons[2].state.fleet.get("i-1")
            assert replica is not None
            for daemon in daemons[:2]:
                silent = daemon.state.fleet.get("i-1")
                assert silent is not None
                daemon.state.record_unreachable(silent, "silent", confirmed=True)
                await asyncio.sleep(0.1)
                replica.last_received_at_s = daemons[2].state.clock()
            self.assertEqual(replica.ejected_until_s, 0.0)

        run_with_daemons(3, scenario)

    def test_cached_parts_are_sent_once(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            first, second = daemons
            replica = first.state.fleet.get("i-2")
            assert replica is not None
            first.state.record_cached_parts(replica, [11, 12])
            await asyncio.sleep(0.5)
            self.assertEqual(
                second.state.parts.cached_part_count([11, 12], replica.incarnation_hash), 2
            )
            sent = first.peers.sent_bytes
            first.state.record_cached_parts(replica, [11, 12])
            self.assertEqual(first.state.cached_parts_backlog.pop(10), [])
            self.assertGreater(sent, 0)

        run_with_daemons(2, scenario)

    def test_a_leader_with_a_lower_fence_is_ignored(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            first, second, third = daemons
            held = WeightsEntry("i-1", member_hash("i-1"), "m", 2, 1500, 0)
            free = WeightsEntry("i-1", member_hash("i-1"), "m", 2, 0, 0)
            first.weights.broadcast_weights(7, (held,))
            await asyncio.sleep(0.1)
            second.weights.broadcast_weights(5, (free,))
            await asyncio.sleep(0.1)
            replica = third.state.fleet.get("i-1")
            assert replica is not None
            self.assertGreater(replica.loading_until_s, third.state.clock())
            self.assertEqual(replica.versions["m"], 2)

        run_with_daemons(3, scenario)

    def test_a_new_member_receives_the_ages_of_versions(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            first = daemons[0]
            first.state.weights_versions["m"] = VersionHistory()
            first.state.weights_versions["m"].add(2, first.state.clock() - 5.0)
            new_member = Daemon(network, 9)
            new_member.state.weights_versions["m"] = VersionHistory()
            new_member.state.weights_versions["m"].add(2, new_member.state.clock())
            await asyncio.sleep(3.0)
            due_s = (
                new_member.state.weights_versions["m"].expires_at_s(1, 8.0)
                - new_member.state.clock()
            )
            self.assertLess(due_s, 0.1)

        run_with_daemons(2, scenario)

    def test_invalid_datagrams_are_counted_and_dropped(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            group, generator = daemons[0].peers, random.Random(4)
            for _ in range(200):
                group.datagram_received(generator.randbytes(generator.randrange(80)), None)
            page = daemons[0].state.metrics.render().decode()
            self.assertIn("winchfork_bad_datagrams_total 200.0", page)
            received: list[Resignation] = []
            daemons[1].peers.register_handler(Resignation, received.append)
            group.broadcast(Resignation(3, 10, 20))
            await asyncio.sleep(0.1)
            self.assertEqual(received, [Resignation(3, 10, 20)])

        run_with_daemons(2, scenario)

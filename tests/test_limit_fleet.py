"""Tests the exchange of request limits between daemons, in virtual time on a virtual network.

Guards against exceeding a limit that other daemons already know, and against missing its end.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.limit_fleet import REPLICA, LimitedReplica, install_limited_replica
from tests.peer_support import Daemon, Network, run_with_daemons
from tests.virtual_loop import run_virtually
from winchfork.core.request_limit import MIN_REQUESTS_PER_S, TRIAL_AFTER_SILENCE_S
from winchfork.router.peer_messages import Forward, LimitEntry, ReplicaNoticeEntry, ReplicaNotices

#: Time within which all daemons receive a change of a limit.
PROPAGATION_S = 0.5
#: Time within which a new daemon learns of a limit.
JOIN_S = 3.0
#: Allowed bytes per second of a daemon for one limit: a fifth of 6,000 for twelve limits together.
MAX_BYTES_PER_S = 6000.0 / 5 / 12


def max_requests(per_s: float) -> float:
    """Return the allowed number of requests in any 4 s while membership changes."""
    return 1.5 * per_s * 4.0 + 5


class LimitFleetTest(unittest.TestCase):
    def test_all_daemons_receive_the_beginning_and_the_end_of_a_limit(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 1.0)
            replica.send_if_allowed(daemons[0])
            await asyncio.sleep(PROPAGATION_S)
            self.assertEqual(set(replica.limits()), {1.0})
            replica.per_s = None
            await replica.generate_load(3.0)
            self.assertEqual(set(replica.limits()), {None})
            await asyncio.sleep(12.0)
            for daemon in daemons:
                self.assertEqual(daemon.state.limits._limited, {})
                self.assertEqual(daemon.exchanges.notices._announced_at_s, {})

        for count in (3, 15, 42):
            run_with_daemons(count, scenario)

    def test_the_sum_over_all_daemons_stays_within_the_limit(self) -> None:
        for count in (7, 15, 42):
            for per_s in (0.0, 0.5, 1.0, 3.0, 8.0):

                async def scenario(
                    network: Network, daemons: list[Daemon], per_s: float = per_s
                ) -> None:
                    replica = LimitedReplica(network, daemons, per_s)
                    from_s = daemons[0].state.clock() + PROPAGATION_S
                    await replica.generate_load(40.0)
                    in_window = replica.max_in_window(from_s)
                    self.assertLessEqual(in_window, 4 * max(per_s, MIN_REQUESTS_PER_S) + 2)
                    used = sum(at_s > from_s for at_s in replica.arrivals_s) / 39.5
                    self.assertGreaterEqual(used, 0.85 * per_s)

                with self.subTest(count=count, per_s=per_s):
                    run_with_daemons(count, scenario)

    def test_killed_holders_are_replaced_by_others(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 3.0)
            await replica.generate_load(6.0)
            from_s = daemons[0].state.clock()
            for daemon in daemons:
                if replica.replica_at(daemon).notice.limit.is_holder:
                    daemon.kill(network)
            await replica.generate_load(20.0)
            self.assertLessEqual(replica.max_in_window(from_s), max_requests(3.0))
            late = [at_s for at_s in replica.arrivals_s if at_s > from_s + 15.0]
            self.assertGreaterEqual(len(late), 9)

        for count in (7, 42):
            run_with_daemons(count, scenario)

    def test_a_new_daemon_learns_of_a_limit_within_seconds(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 1.0)
            await replica.generate_load(6.0)
            new_daemon = Daemon(network, len(daemons) + 1)
            install_limited_replica(new_daemon)
            await replica.generate_load(JOIN_S)
            self.assertEqual(replica.replica_at(new_daemon).notice.limit.per_s, 1.0)
            from_s = new_daemon.state.clock()
            daemons.append(new_daemon)
            await replica.generate_load(10.0)
            self.assertLessEqual(replica.max_in_window(from_s), max_requests(1.0))

        run_with_daemons(15, scenario)

    def test_a_new_daemon_is_no_holder_before_it_knows_the_others(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 3.0)
            network.drop = lambda sender, receiver: True
            new_daemon = Daemon(network, len(daemons) + 1)
            install_limited_replica(new_daemon)
            replica.send_if_allowed(new_daemon)
            await asyncio.sleep(1.0)
            self.assertEqual(replica.replica_at(new_daemon).notice.limit.per_s, 3.0)
            self.assertFalse(replica.send_if_allowed(new_daemon))

        run_with_daemons(3, scenario)

    def test_a_daemon_sends_at_most_one_request_after_a_stall(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 1.0)
            await replica.generate_load(6.0)
            holders = [item for item in daemons if replica.replica_at(item).notice.limit.is_holder]
            replica.daemons = [item for item in daemons if item is not holders[0]]
            await asyncio.gather(holders[0].stall(5.0, network), replica.generate_load(5.0))
            replica.daemons = daemons
            from_s = daemons[0].state.clock() - 4.0
            self.assertTrue(replica.send_if_allowed(holders[0]))
            self.assertFalse(replica.send_if_allowed(holders[0]))
            await replica.generate_load(10.0)
            self.assertLessEqual(replica.max_in_window(from_s), max_requests(1.0))

        run_with_daemons(7, scenario)

    def test_trial_requests_of_others_reveal_the_end_to_idle_holders(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 1.0)
            await replica.generate_load(6.0)
            replica.per_s = None
            idle = [item for item in daemons if replica.replica_at(item).notice.limit.is_holder]
            replica.daemons = [item for item in daemons if item not in idle]
            await replica.generate_load(TRIAL_AFTER_SILENCE_S + 5.0)
            self.assertEqual(set(replica.limits()), {None})

        run_with_daemons(7, scenario)

    def test_messages_stay_within_the_bandwidth(self) -> None:
        """An unchanged limit is reported by one daemon and relayed by hubs, whoever sends."""

        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 8.0)
            await replica.generate_load(4.0)
            sizes: list[int] = []

            def count(sender: str, receiver: str, data: bytes) -> None:
                message = daemons[0].peers._codec.decode(data)
                if isinstance(message, Forward):
                    message = daemons[0].peers._codec.decode(message.datagram)
                if isinstance(message, ReplicaNotices):
                    sizes.append(len(data))

            network.on_sent = count
            await replica.generate_load(20.0)
            self.assertGreater(len(sizes), 0)
            self.assertLess(sum(sizes) / 20.0 / len(daemons), MAX_BYTES_PER_S)

        for daemons in (7, 42):
            run_with_daemons(daemons, scenario)


class NearestHoldersTest(unittest.TestCase):
    def test_holders_are_in_the_zone_of_the_replica(self) -> None:
        """Holders in another zone would prefer other replicas and leave the limit unused."""

        async def main() -> None:
            network = Network()
            zones = ("z2", "z3", "z1")
            daemons = [Daemon(network, number, zone=zones[number % 3]) for number in range(1, 10)]
            await asyncio.sleep(4.0)
            replica = LimitedReplica(network, daemons, 3.0)
            replica.send_if_allowed(daemons[0])
            await asyncio.sleep(PROPAGATION_S)
            holders = [item for item in daemons if replica.replica_at(item).notice.limit.is_holder]
            self.assertEqual([item.state.settings.zone for item in holders], ["z1"] * 3)

        run_virtually(main())


class PeerReportTest(unittest.TestCase):
    def test_one_peer_alone_cannot_disable_all_replicas_of_a_service(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            daemon = daemons[0]
            replicas = [daemon.state.fleet.get(name) for name in ("i-1", "i-2")]
            entries = tuple(
                ReplicaNoticeEntry(item.incarnation_hash, False, 0, LimitEntry(0.0, 0))
                for item in replicas
                if item
            )
            message = ReplicaNotices("n2", entries)
            network.groups[daemon.ip]._handlers[ReplicaNotices](message)
            limits = [item.notice.limit.per_s for item in replicas if item]
            self.assertEqual(limits, [0.0, None])
            network.groups[daemon.ip]._handlers[ReplicaNotices](ReplicaNotices("n3", entries))
            limits = [item.notice.limit.per_s for item in replicas if item]
            self.assertEqual(limits, [0.0, 0.0])

        run_with_daemons(3, scenario)

    def test_older_reports_and_reports_of_unknown_replicas_are_ignored(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 2.0)
            replica.send_if_allowed(daemons[0])
            await asyncio.sleep(PROPAGATION_S)
            handle = network.groups[daemons[0].ip]._handlers[ReplicaNotices]
            key = replica.replica_at(daemons[0]).incarnation_hash
            old, unknown = LimitEntry(None, 5000), LimitEntry(1.0, 0)
            entries = (
                ReplicaNoticeEntry(key, False, 0, old),
                ReplicaNoticeEntry(5, False, 0, unknown),
            )
            handle(ReplicaNotices("n2", entries))
            self.assertEqual(replica.replica_at(daemons[0]).notice.limit.per_s, 2.0)
            handle(ReplicaNotices("n2", (ReplicaNoticeEntry(key, False, 0, LimitEntry(None, 0)),)))
            self.assertIsNone(replica.replica_at(daemons[0]).notice.limit.per_s)

        run_with_daemons(3, scenario)

    def test_a_limit_received_before_the_start_of_an_incarnation_is_not_adopted(self) -> None:
        self._restart(started_s_ago=-5.0, limit_per_s=None)

    def test_a_limit_received_since_the_start_of_an_incarnation_is_adopted(self) -> None:
        self._restart(started_s_ago=5.0, limit_per_s=1.0)

    def _restart(self, started_s_ago: float, limit_per_s: float | None) -> None:
        """List a later incarnation after a limit was received; check the limit known for it."""

        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 1.0)
            replica.send_if_allowed(daemons[0])
            await asyncio.sleep(PROPAGATION_S)
            for daemon in daemons:
                daemon.state.fleet.remove(REPLICA)
                started_at_s = daemon.state.notices.wall_clock() - started_s_ago
                install_limited_replica(daemon, int(started_at_s * 1000))
            self.assertEqual(set(replica.limits()), {limit_per_s})

        run_with_daemons(3, scenario)

"""Daemons that tell each other of limits, in virtual time on a virtual network.

In a large fleet nearly every request to one replica is its daemon's first. So a daemon that knows
only of its own answers would send at least one request more, whatever the limit, and one that sends
nothing would never hear of its end.
"""

from __future__ import annotations

import asyncio
import unittest

from tests.limit_fleet import REPLICA, LimitedReplica, install_limited_replica
from tests.peer_support import Daemon, Network, run_with_daemons
from tests.virtual_loop import run_virtually
from winchfork.core.request_limit import MIN_REQUESTS_PER_S, TRIAL_AFTER_SILENCE_S
from winchfork.router.peer_messages import Forward, LimitEntry, ReplicaNoticeEntry, ReplicaNotices

#: All daemons know within this time what one has heard.
TOLD_WITHIN_S = 0.5
CONTACT_S = 3.0
#: A daemon may spend 6,000 bytes a second on control at the target size, where one replica in
#: fifty, twelve in all, may name limits at once: a fifth of it is for these.
MOST_BYTES_PER_S = 6000.0 / 5 / 12


def allowed(per_s: float) -> float:
    """Return the most requests that any 4 s may hold."""
    return 1.5 * per_s * 4.0 + 5


class LimitFleetTest(unittest.TestCase):
    def test_one_answer_tells_all_and_the_end_too(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 1.0)
            replica.send_if_allowed(daemons[0])
            await asyncio.sleep(TOLD_WITHIN_S)
            self.assertEqual(set(replica.limits()), {1.0})
            replica.per_s = None
            await replica.generate_load(3.0)
            self.assertEqual(set(replica.limits()), {None})
            await asyncio.sleep(12.0)
            for daemon in daemons:
                self.assertEqual(daemon.state.limits._limited, {})
                self.assertEqual(daemon.parts.notices._announced_at_s, {})

        for count in (3, 15, 42):
            run_with_daemons(count, scenario)

    def test_the_sum_over_all_daemons_is_kept(self) -> None:
        for count in (7, 15, 42):
            for per_s in (0.0, 0.5, 1.0, 3.0, 8.0):

                async def scenario(
                    network: Network, daemons: list[Daemon], per_s: float = per_s
                ) -> None:
                    replica = LimitedReplica(network, daemons, per_s)
                    from_s = daemons[0].state.clock() + TOLD_WITHIN_S
                    await replica.generate_load(40.0)
                    most = replica.max_in_window(from_s)
                    self.assertLessEqual(most, 4 * max(per_s, MIN_REQUESTS_PER_S) + 2)
                    used = sum(at_s > from_s for at_s in replica.arrivals_s) / 39.5
                    self.assertGreaterEqual(used, 0.85 * per_s)

                with self.subTest(count=count, per_s=per_s):
                    run_with_daemons(count, scenario)

    def test_killed_holders_are_followed_by_others(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 3.0)
            await replica.generate_load(6.0)
            from_s = daemons[0].state.clock()
            for daemon in daemons:
                if replica.replica_at(daemon).notice.limit.is_holder:
                    daemon.kill(network)
            await replica.generate_load(20.0)
            self.assertLessEqual(replica.max_in_window(from_s), allowed(3.0))
            late = [at_s for at_s in replica.arrivals_s if at_s > from_s + 15.0]
            self.assertGreaterEqual(len(late), 9)

        for count in (7, 42):
            run_with_daemons(count, scenario)

    def test_a_daemon_that_starts_knows_within_seconds(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 1.0)
            await replica.generate_load(6.0)
            newcomer = Daemon(network, len(daemons) + 1)
            install_limited_replica(newcomer)
            await replica.generate_load(CONTACT_S)
            self.assertEqual(replica.replica_at(newcomer).notice.limit.per_s, 1.0)
            from_s = newcomer.state.clock()
            daemons.append(newcomer)
            await replica.generate_load(10.0)
            self.assertLessEqual(replica.max_in_window(from_s), allowed(1.0))

        run_with_daemons(15, scenario)

    def test_one_that_has_just_started_holds_nothing_before_it_knows_the_others(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 3.0)
            network.drop = lambda sender, receiver: True
            newcomer = Daemon(network, len(daemons) + 1)
            install_limited_replica(newcomer)
            replica.send_if_allowed(newcomer)
            await asyncio.sleep(1.0)
            self.assertEqual(replica.replica_at(newcomer).notice.limit.per_s, 3.0)
            self.assertFalse(replica.send_if_allowed(newcomer))

        run_with_daemons(3, scenario)

    def test_one_that_stood_still_sends_no_more_than_what_it_had_in_hand(self) -> None:
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
            self.assertLessEqual(replica.max_in_window(from_s), allowed(1.0))

        run_with_daemons(7, scenario)

    def test_holders_without_callers_hear_of_the_end_in_the_others_turns(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 1.0)
            await replica.generate_load(6.0)
            replica.per_s = None
            idle = [item for item in daemons if replica.replica_at(item).notice.limit.is_holder]
            replica.daemons = [item for item in daemons if item not in idle]
            await replica.generate_load(TRIAL_AFTER_SILENCE_S + 5.0)
            self.assertEqual(set(replica.limits()), {None})

        run_with_daemons(7, scenario)

    def test_messages_are_few(self) -> None:
        """One daemon tells of a limit that goes on, however many send; hubs pass it on."""

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
            self.assertLess(sum(sizes) / 20.0 / len(daemons), MOST_BYTES_PER_S)

        for daemons in (7, 42):
            run_with_daemons(daemons, scenario)


class NearestHoldersTest(unittest.TestCase):
    def test_daemons_near_a_replica_hold_its_limit(self) -> None:
        """Where they lie in another zone, nobody else may send and they send elsewhere."""

        async def main() -> None:
            network = Network()
            zones = ("z2", "z3", "z1")
            daemons = [Daemon(network, number, zone=zones[number % 3]) for number in range(1, 10)]
            await asyncio.sleep(4.0)
            replica = LimitedReplica(network, daemons, 3.0)
            replica.send_if_allowed(daemons[0])
            await asyncio.sleep(TOLD_WITHIN_S)
            holders = [item for item in daemons if replica.replica_at(item).notice.limit.is_holder]
            self.assertEqual([item.state.settings.zone for item in holders], ["z1"] * 3)

        run_virtually(main())


class HearsayTest(unittest.TestCase):
    def test_one_peer_alone_does_not_empty_a_service(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            daemon = daemons[0]
            replicas = [daemon.state.fleet.get(name) for name in ("i-1", "i-2")]
            notes = tuple(
                ReplicaNoticeEntry(item.order_hash, False, 0, LimitEntry(0.0, 0))
                for item in replicas
                if item
            )
            told = ReplicaNotices("n2", notes)
            network.groups[daemon.ip]._handlers[ReplicaNotices](told)
            limits = [item.notice.limit.per_s for item in replicas if item]
            self.assertEqual(limits, [0.0, None])
            network.groups[daemon.ip]._handlers[ReplicaNotices](ReplicaNotices("n3", notes))
            limits = [item.notice.limit.per_s for item in replicas if item]
            self.assertEqual(limits, [0.0, 0.0])

        run_with_daemons(3, scenario)

    def test_an_older_word_changes_nothing_and_one_of_an_unknown_replica_neither(self) -> None:
        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 2.0)
            replica.send_if_allowed(daemons[0])
            await asyncio.sleep(TOLD_WITHIN_S)
            take = network.groups[daemons[0].ip]._handlers[ReplicaNotices]
            key = replica.replica_at(daemons[0]).order_hash
            old, unknown = LimitEntry(None, 5000), LimitEntry(1.0, 0)
            notes = (
                ReplicaNoticeEntry(key, False, 0, old),
                ReplicaNoticeEntry(5, False, 0, unknown),
            )
            take(ReplicaNotices("n2", notes))
            self.assertEqual(replica.replica_at(daemons[0]).notice.limit.per_s, 2.0)
            take(ReplicaNotices("n2", (ReplicaNoticeEntry(key, False, 0, LimitEntry(None, 0)),)))
            self.assertIsNone(replica.replica_at(daemons[0]).notice.limit.per_s)

        run_with_daemons(3, scenario)

    def test_what_a_former_life_said_binds_no_successor(self) -> None:
        self._restart(started_s_ago=-5.0, limit_per_s=None)

    def test_what_it_said_before_it_was_listed_binds_itself(self) -> None:
        self._restart(started_s_ago=5.0, limit_per_s=1.0)

    def _restart(self, started_s_ago: float, limit_per_s: float | None) -> None:
        """List a later incarnation after a limit was heard; check what is known of its limit."""

        async def scenario(network: Network, daemons: list[Daemon]) -> None:
            replica = LimitedReplica(network, daemons, 1.0)
            replica.send_if_allowed(daemons[0])
            await asyncio.sleep(TOLD_WITHIN_S)
            for daemon in daemons:
                daemon.state.fleet.remove(REPLICA)
                born_s = daemon.state.notices.wall_clock() - started_s_ago
                install_limited_replica(daemon, int(born_s * 1000))
            self.assertEqual(set(replica.limits()), {limit_per_s})

        run_with_daemons(3, scenario)

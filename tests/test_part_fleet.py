"""Prompt parts that crash replicas: what daemons tell each other, and records in the store.

Runs in virtual time.
"""

from __future__ import annotations

import asyncio
import random
import unittest

from tests.memory_store import MemoryStore
from tests.test_crash_fleet import Fleet, run_with_fleet
from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.prompt_parts import Prompt, PromptPart
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.request_digest import shared_part_digests
from winchfork.router.part_guard import MAX_LONG_REFUSALS, MAX_TRIAL_S, RESOLVE_S, PartGuard
from winchfork.router.refusal_records import is_part_refusal_key


def prompt(*part_ids: str, model: str = "m") -> Prompt:
    return Prompt(model, tuple(PromptPart(part_id, 10) for part_id in part_ids), 100)


BAD, SOUND = shared_part_digests(prompt("bad", "sound", "last"))
#: Stands for the request of a run; each daemon has one at a time.
OWNER = object()
#: Time from the beginning of a run to the crash of its replica, and to its detection.
RUN_S, DETECTION_S = 0.05, 0.03
#: Time for datagrams and clearances to arrive.
SETTLED_S = 0.5


def replica_at(incarnation: int) -> RelayReplica:
    listing = ReplicaListing(
        f"i-{incarnation}", "s", "a:1", "z", 8, True, started_at_ms=incarnation
    )
    return RelayReplica(listing, {}, listing.incarnation)


class PartFleet:
    """The part guards of a fleet's daemons, and replicas that crash under their runs."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._incarnations = 0

    @property
    def guards(self) -> list[PartGuard]:
        return [daemon.state.crashes.parts for daemon in self.fleet.daemons]

    def begin(self, number: int, *parts: bytes) -> RelayReplica:
        """Send a request with parts to a replica of its own."""
        self._incarnations += 1
        replica = replica_at(self._incarnations)
        guard = self.guards[number % len(self.guards)]
        until_s = self.fleet.daemons[0].state.clock() + 5.0
        guard.begin_run(OWNER, parts, replica, until_s)
        return replica

    async def crash(self, number: int, replica: RelayReplica, *parts: bytes) -> None:
        """Let the replica crash under the request, and let the crash be detected."""
        guard = self.guards[number % len(self.guards)]
        await asyncio.sleep(RUN_S)
        guard.record_broken_run(OWNER, parts, replica, silent=False)
        guard.end_run(OWNER, parts, replica)
        await asyncio.sleep(DETECTION_S)
        guard.record_crash(replica, CrashEvidence.PORT_CLOSED, announced=False)

    def succeed(self, number: int, replica: RelayReplica, *parts: bytes) -> None:
        """Let the request's answer become complete."""
        guard = self.guards[number % len(self.guards)]
        guard.record_success(parts)
        guard.end_run(OWNER, parts, replica)

    async def run_and_crash(self, number: int, *parts: bytes) -> None:
        await self.crash(number, self.begin(number, *parts), *parts)

    def limited(self, part: bytes) -> int:
        return sum(guard.is_limited([part]) for guard in self.guards)

    def refused(self, part: bytes) -> int:
        return sum(guard.refusal([part]) is not None for guard in self.guards)

    def may_run(self, part: bytes) -> int:
        return sum(guard.may_run([part]) for guard in self.guards)

    async def limit(self, part: bytes) -> None:
        """Let two replicas crash under requests with the part."""
        for number in range(2):
            await self.run_and_crash(number, part)
            await asyncio.sleep(0.1)


class PartDigestTest(unittest.TestCase):
    def test_a_part_is_the_same_wherever_it_stands_and_never_the_last(self) -> None:
        first = shared_part_digests(prompt("bad", "a", "last"))
        later = shared_part_digests(prompt("a", "b", "bad", "other"))
        self.assertIn(BAD, first)
        self.assertIn(BAD, later)
        self.assertNotIn(BAD, shared_part_digests(prompt("a", "bad")))
        self.assertNotIn(BAD, shared_part_digests(prompt("bad", "a", model="other")))
        self.assertEqual(len(shared_part_digests(prompt("bad", "bad", "last"))), 1)
        self.assertEqual(shared_part_digests(None), ())


class VerdictTest(unittest.TestCase):
    def test_a_part_that_crashes_replicas_is_limited_then_refused_by_every_daemon(self) -> None:
        for count in (3, 30):
            with self.subTest(daemons=count):

                async def scenario(store: MemoryStore, fleet: Fleet) -> None:
                    parts = PartFleet(fleet)
                    await parts.run_and_crash(0, BAD, SOUND)
                    await asyncio.sleep(0.2)
                    self.assertEqual(parts.limited(BAD), 0)
                    await parts.run_and_crash(1, BAD)
                    await asyncio.sleep(0.2)
                    self.assertEqual(parts.limited(BAD), len(fleet.daemons))
                    self.assertEqual(parts.limited(SOUND), 0)
                    self.assertEqual(parts.refused(BAD), 0)
                    await parts.run_and_crash(2, BAD)
                    await asyncio.sleep(0.2)
                    self.assertEqual(parts.refused(BAD), 0)
                    self.assertEqual(parts.may_run(BAD), 0)
                    await asyncio.sleep(1.5)
                    self.assertEqual(parts.may_run(BAD), len(fleet.daemons))
                    await parts.run_and_crash(0, BAD)
                    await asyncio.sleep(1.5)
                    self.assertEqual(parts.refused(BAD), 0)
                    await parts.run_and_crash(1, BAD)
                    await asyncio.sleep(5.0)
                    self.assertEqual(parts.refused(BAD), len(fleet.daemons))
                    keys = [key for key in store.items if is_part_refusal_key(key)]
                    self.assertEqual(len(keys), 1)

                run_with_fleet(count, scenario)

    def test_requests_with_a_limited_part_run_one_at_a_time_in_the_fleet(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            await parts.limit(BAD)
            self.assertEqual(parts.may_run(BAD), 5)
            replica = parts.begin(2, BAD)
            await asyncio.sleep(0.1)
            self.assertEqual(parts.may_run(BAD), 0)
            # Its connection breaks, and it is not known yet whether the replica crashed.
            guard = parts.guards[2]
            guard.record_broken_run(OWNER, (BAD,), replica, silent=False)
            guard.end_run(OWNER, (BAD,), replica)
            await asyncio.sleep(0.1)
            self.assertEqual(parts.may_run(BAD), 0)
            guard.record_connected(replica, fleet.daemons[0].state.clock())
            await asyncio.sleep(0.1)
            self.assertEqual(parts.may_run(BAD), 5)

        run_with_fleet(5, scenario)

    def test_a_broken_trial_keeps_others_back_only_until_it_should_be_resolved(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            await parts.limit(BAD)
            replica = parts.begin(2, BAD)
            guard = parts.guards[2]
            guard.record_broken_run(OWNER, (BAD,), replica, silent=True)
            guard.end_run(OWNER, (BAD,), replica)
            await asyncio.sleep(RESOLVE_S + 0.1)
            self.assertEqual(parts.may_run(BAD), 3)

        run_with_fleet(3, scenario)

    def test_a_trial_that_did_not_run_makes_way_for_the_next_at_once(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            await parts.limit(BAD)
            replica = parts.begin(2, BAD)
            await asyncio.sleep(0.1)
            parts.guards[2].end_run(OWNER, (BAD,), replica)
            await asyncio.sleep(0.1)
            self.assertEqual(parts.may_run(BAD), 3)

        run_with_fleet(3, scenario)

    def test_a_trial_that_is_never_reported_over_keeps_others_back_for_a_bounded_time(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            await parts.limit(BAD)
            parts.begin(0, BAD)
            fleet.daemons[0].kill(fleet.network)
            await asyncio.sleep(MAX_TRIAL_S + 0.1)
            self.assertEqual(sum(guard.may_run([BAD]) for guard in parts.guards[1:]), 2)
            fleet.network.groups[fleet.daemons[0].ip] = fleet.daemons[0].peers

        run_with_fleet(3, scenario)

    def test_a_success_clears_a_limited_part_everywhere_and_in_the_store(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            await parts.limit(SOUND)
            # The last report has been resent.
            await asyncio.sleep(2.0)
            self.assertEqual(parts.limited(SOUND), 3)
            parts.succeed(2, parts.begin(2, SOUND), SOUND)
            await asyncio.sleep(2.0)
            self.assertEqual(parts.limited(SOUND), 0)
            successors = Fleet(store, 2, first=10)
            await asyncio.sleep(1.0)
            self.assertEqual(PartFleet(successors).limited(SOUND), 0)
            successors.kill()

        run_with_fleet(3, scenario)

    def test_crashes_of_all_replicas_limit_no_part_that_succeeded_recently_anywhere(self) -> None:
        """Guards against limiting the parts of all sound requests when all replicas crash."""
        for count in (3, 30):
            with self.subTest(daemons=count):

                async def scenario(store: MemoryStore, fleet: Fleet) -> None:
                    parts = PartFleet(fleet)
                    last = len(fleet.daemons) - 1
                    parts.succeed(last, parts.begin(last, SOUND), SOUND)
                    for number in range(2):
                        for _ in range(8):
                            await parts.run_and_crash(number, SOUND)
                    await asyncio.sleep(SETTLED_S)
                    self.assertEqual(parts.limited(SOUND), 0)
                    self.assertEqual(parts.refused(SOUND), 0)

                run_with_fleet(count, scenario)

    def test_daemons_object_to_a_verdict_without_the_store(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            store.down = True
            parts = PartFleet(fleet)
            parts.succeed(2, parts.begin(2, SOUND), SOUND)
            await parts.limit(SOUND)
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(parts.limited(SOUND), 0)

        run_with_fleet(5, scenario)

    def test_a_daemon_limits_no_part_that_succeeded_there_recently(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            parts.succeed(0, parts.begin(0, SOUND), SOUND)
            for _ in range(4):
                await parts.run_and_crash(0, SOUND)
                self.assertEqual(parts.limited(SOUND), 0)

        run_with_fleet(1, scenario)

    def test_few_of_many_daemons_that_know_a_success_send_the_clearance(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            for number in range(2, len(fleet.daemons)):
                parts.succeed(number, parts.begin(number, SOUND), SOUND)
            sent = 0
            for guard in parts.guards:
                daemon = fleet.daemons[parts.guards.index(guard)]
                broadcast = daemon.peers.broadcast

                def counting(message: object, broadcast: object = broadcast) -> None:
                    nonlocal sent
                    sent += type(message).__name__ == "ClearedRequests"
                    broadcast(message)  # type: ignore[operator]

                daemon.peers.broadcast = counting  # type: ignore[method-assign]
            await parts.limit(SOUND)
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(parts.limited(SOUND), 0)
            self.assertGreater(sent, 0)
            self.assertLess(sent, len(fleet.daemons) / 2)

        run_with_fleet(60, scenario)

    def test_verdicts_reach_every_daemon_despite_lost_datagrams(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            generator = random.Random(5)
            store.down = True
            fleet.network.drop = lambda sender, receiver: generator.random() < 0.3
            parts = PartFleet(fleet)
            for number in range(5):
                await parts.run_and_crash(0, BAD)
                await asyncio.sleep(0.3 + number)
            self.assertEqual(parts.refused(BAD), len(fleet.daemons))

        run_with_fleet(7, scenario)

    def test_a_refusal_survives_the_restart_of_every_daemon(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            for number in range(5):
                await parts.run_and_crash(number, BAD)
                await asyncio.sleep(0.2)
            await asyncio.sleep(1.0)
            fleet.kill()
            successors = Fleet(store, 3)
            await asyncio.sleep(1.0)
            self.assertEqual(PartFleet(successors).refused(BAD), 3)
            successors.kill()
            fleet.network.groups.update({daemon.ip: daemon.peers for daemon in fleet.daemons})

        run_with_fleet(3, scenario)

    def test_operators_release_a_part_by_removing_its_entry(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            for number in range(5):
                await parts.run_and_crash(number, BAD)
                await asyncio.sleep(0.2)
            await asyncio.sleep(2.0)
            store.remove(next(key for key in store.items if is_part_refusal_key(key)))
            await asyncio.sleep(1.0)
            self.assertEqual(parts.limited(BAD), 0)

        run_with_fleet(3, scenario)

    def test_no_sound_part_is_refused_when_the_replica_of_its_trial_crashes_for_another_cause(
        self,
    ) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            await parts.limit(SOUND)
            await parts.run_and_crash(2, SOUND)
            await asyncio.sleep(0.2)
            self.assertEqual(parts.refused(SOUND), 0)
            await asyncio.sleep(1.0)
            parts.succeed(1, parts.begin(1, SOUND), SOUND)
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(parts.limited(SOUND), 0)

        run_with_fleet(3, scenario)

    def test_of_the_parts_of_a_trial_those_suspected_longest_are_refused(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            await parts.limit(BAD)
            for _ in range(2):
                await parts.run_and_crash(0, BAD)
                await asyncio.sleep(1.2)
            await parts.limit(SOUND)
            await parts.run_and_crash(0, BAD, SOUND)
            await asyncio.sleep(0.2)
            self.assertEqual(parts.refused(BAD), 3)
            self.assertEqual(parts.refused(SOUND), 0)
            self.assertEqual(parts.may_run(SOUND), 3)

        run_with_fleet(3, scenario)

    def test_announced_ends_limit_no_part(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            guard = parts.guards[0]
            for _ in range(3):
                replica = parts.begin(0, SOUND)
                guard.record_broken_run(OWNER, (SOUND,), replica, silent=False)
                guard.record_crash(replica, CrashEvidence.ENTRY_LAPSED, announced=True)
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(parts.limited(SOUND), 0)

        run_with_fleet(3, scenario)

    def test_when_replicas_crash_under_any_part_none_of_them_is_refused_for_long(self) -> None:
        """Guards against refusing a whole service for its faulty weights."""

        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            digests = [
                shared_part_digests(prompt(f"part-{number}", "last"))[0] for number in range(60)
            ]
            for round_number in range(5):
                for digest in digests:
                    if parts.refused(digest) == 0:
                        await parts.run_and_crash(round_number, digest)
                await asyncio.sleep(1.5)
            refused = sum(parts.refused(digest) == len(fleet.daemons) for digest in digests)
            self.assertLessEqual(refused, MAX_LONG_REFUSALS)

        run_with_fleet(3, scenario)


class EndInOrderTest(unittest.TestCase):
    def test_an_unframed_end_clears_a_part_only_when_its_replica_is_reached_again(self) -> None:
        async def scenario(store: MemoryStore, fleet: Fleet) -> None:
            parts = PartFleet(fleet)
            await parts.limit(BAD)
            guard = parts.guards[0]
            crashing, running = parts.begin(0, BAD), replica_at(99)
            guard.record_broken_run(OWNER, (BAD,), crashing, silent=False, in_order=True)
            guard.end_run(OWNER, (BAD,), crashing)
            await asyncio.sleep(0.1)
            self.assertEqual(parts.may_run(BAD), 0)
            guard.record_crash(crashing, CrashEvidence.PORT_CLOSED, announced=False)
            await asyncio.sleep(RESOLVE_S / 2)
            self.assertEqual(parts.may_run(BAD), 0)
            self.assertEqual(guard.history.times_refused(BAD), 2)
            guard.record_broken_run(OWNER, (BAD,), running, silent=False, in_order=True)
            guard.record_connected(running, fleet.daemons[0].state.clock())
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(parts.limited(BAD), 0)

        run_with_fleet(3, scenario)

"""A store that is back from a backup names an earlier configuration; in virtual time.

Daemons that know the later one keep it. One that has just started, or has missed it, must not take
the earlier one for the newest.
"""

from __future__ import annotations

import asyncio
import math
import unittest

from tests.peer_support import Daemon
from tests.store_restore_fleet import StoreRestoreFleet, run_in_store_restore_fleet
from winchfork.core.configuration_check import MAX_WAIT_S, REPLIES_NEEDED, ConfigurationCheck
from winchfork.errors import Failure, FailureKind
from winchfork.router.header_codec import RequestFields
from winchfork.router.http_types import IncomingRequest
from winchfork.router.request_admission import RequestAdmission

#: Fleet sizes: every daemon watches the store, or two daemons watch it for all.
FLEETS = (3, 7, 36)
LATER = 9
#: How long the operators take to write again what was lost.
REWRITTEN_AFTER_S = 2.0
#: Longer than it takes daemons to list a store that has returned.
RELISTED_AFTER_S = 1.0
STEP_S = 0.01


def version_of(daemon: Daemon) -> int:
    table = daemon.state.routing_table
    return table.version if table is not None else 0


def restart(fleet: StoreRestoreFleet, index: int) -> Daemon:
    """Kill a daemon and start it anew."""
    former = fleet.daemons[index]
    former.kill(fleet.network)
    number = int(former.state.settings.node_id.removeprefix("n"))
    daemon = Daemon(fleet.network, number, former.state.settings.zone, fleet.store)
    fleet.daemons[index] = daemon
    daemon.follow()
    return daemon


async def earlier_uses(daemon: Daemon, for_s: float) -> int:
    """Return how often, within ``for_s``, a daemon took an earlier configuration for the newest."""
    uses = 0
    until_s = asyncio.get_running_loop().time() + for_s
    while asyncio.get_running_loop().time() < until_s:
        uses += daemon.state.api_keys_fresh and version_of(daemon) < LATER
        await asyncio.sleep(STEP_S)
    return uses


class ConfigurationAfterRestoreTest(unittest.TestCase):
    def test_a_daemon_that_starts_does_not_use_the_backups_configuration(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            await fleet.lose_recent_writes(lambda: fleet.configure(LATER))
            daemon = restart(fleet, 1)
            self.assertEqual(await earlier_uses(daemon, REWRITTEN_AFTER_S), 0)
            self.assertFalse(daemon.state.ready)
            fleet.configure(LATER)
            self.assertEqual(await fleet.uninformed_after(_uses_later, fleet.contact_s), [])

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)

    def test_a_daemon_that_missed_the_version_does_not_use_the_backups(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            daemon = fleet.daemons[1]
            daemon.store.cut = True
            fleet.network.drop = lambda sender, receiver: daemon.ip in (sender, receiver)
            await fleet.lose_recent_writes(lambda: fleet.configure(LATER))
            # The others list the new era, after which none passes the lost version on.
            await asyncio.sleep(RELISTED_AFTER_S)
            self.assertFalse(daemon.state.api_keys_fresh)
            daemon.store.cut = False
            fleet.network.drop = lambda sender, receiver: False
            self.assertEqual(await earlier_uses(daemon, REWRITTEN_AFTER_S), 0)
            fleet.configure(LATER)
            self.assertEqual(await fleet.uninformed_after(_uses_later, fleet.contact_s), [])

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)

    def test_a_key_or_route_that_the_backup_lacks_is_not_refused_for_good(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            await fleet.lose_recent_writes(lambda: fleet.configure(LATER))
            daemon = restart(fleet, 1)
            await asyncio.sleep(REWRITTEN_AFTER_S)
            for host in (b"a.example", b"added.example"):
                request = IncomingRequest(
                    b"GET", b"/x/1", [(b"Host", host)], b"", False, True, daemon.state.clock()
                )
                fields = RequestFields("id", None, "added-key", None, None)
                refused = RequestAdmission(daemon.state).admit(request, fields)
                assert isinstance(refused, Failure)
                self.assertIs(refused.kind, FailureKind.CONFIGURATION_STALE)

        run_in_store_restore_fleet(3, scenario)

    def test_daemons_that_run_serve_on_through_a_restore(self) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            unready = 0

            async def watch() -> None:
                nonlocal unready
                while True:
                    unready += sum(not daemon.state.api_keys_fresh for daemon in fleet.daemons)
                    await asyncio.sleep(STEP_S)

            watching = asyncio.create_task(watch())
            await fleet.lose_recent_writes()
            await asyncio.sleep(2.0 * fleet.contact_s)
            watching.cancel()
            self.assertEqual(unready, 0)

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)

    def test_a_daemon_that_starts_serves_before_it_counts_as_in_touch(self) -> None:
        self._start_without_a_restore(silent_peers=False)

    def test_a_daemon_whose_peers_are_silent_serves_before_it_counts_as_in_touch(self) -> None:
        self._start_without_a_restore(silent_peers=True)

    def _start_without_a_restore(self, *, silent_peers: bool) -> None:
        async def scenario(fleet: StoreRestoreFleet) -> None:
            daemon = restart(fleet, 1)
            if silent_peers:
                fleet.network.drop = lambda sender, receiver: daemon.ip in (sender, receiver)
            await asyncio.sleep(fleet.contact_s)
            self.assertTrue(daemon.state.api_keys_fresh)
            self.assertTrue(daemon.state.ready)

        for count in FLEETS:
            with self.subTest(daemons=count):
                run_in_store_restore_fleet(count, scenario)


def _uses_later(daemon: Daemon) -> bool:
    return daemon.state.api_keys_fresh and version_of(daemon) == LATER


def begun_check(other_seeds: int) -> ConfigurationCheck:
    """Return the check of a daemon that has just started."""
    check = ConfigurationCheck(other_seeds)
    check.begin(-math.inf)
    return check


class ConfigurationCheckTest(unittest.TestCase):
    def test_a_daemon_without_peers_waits_for_nobody(self) -> None:
        check = ConfigurationCheck(0)
        self.assertEqual(check.age_s(3, 9.0, 10.0), 1.0)
        check.begin(9.0)
        self.assertFalse(check.is_pending)

    def test_nothing_is_proven_until_enough_peers_have_replied(self) -> None:
        check = begun_check(6)
        check.record_question(10.0)
        for number in range(REPLIES_NEEDED):
            self.assertEqual(check.age_s(3, 10.0, 10.0), math.inf)
            self.assertFalse(check.end_if_due(6, 10.0))
            check.record_reply(f"n{number}", 3)
        self.assertTrue(check.end_if_due(6, 10.0))
        self.assertEqual(check.age_s(3, 10.0, 10.5), 0.5)

    def test_fewer_replies_are_enough_only_once_the_members_are_known(self) -> None:
        check = begun_check(1)
        check.record_question(10.0)
        check.record_reply("n1", 3)
        self.assertFalse(check.end_if_due(0, 10.0))
        self.assertTrue(check.end_if_due(1, 10.0))

    def test_a_peer_without_a_configuration_decides_nothing(self) -> None:
        check = begun_check(1)
        check.record_question(10.0)
        check.record_reply("n1", 0)
        self.assertFalse(check.end_if_due(1, 10.0))

    def test_peers_that_do_not_reply_are_waited_for_only_so_long(self) -> None:
        check = begun_check(6)
        self.assertFalse(check.end_if_due(6, 99.0))
        check.record_question(100.0)
        self.assertFalse(check.end_if_due(6, 100.0 + 0.9 * MAX_WAIT_S))
        self.assertTrue(check.end_if_due(6, 100.0 + MAX_WAIT_S))

    def test_an_earlier_version_is_never_proven_and_a_later_one_is(self) -> None:
        check = begun_check(6)
        check.record_reply("n1", 9)
        check.record_question(10.0)
        self.assertTrue(check.end_if_due(6, 10.0 + MAX_WAIT_S))
        self.assertEqual(check.age_s(8, 12.0, 12.0), math.inf)
        self.assertEqual(check.age_s(9, 12.0, 12.0), 0.0)

    def test_a_proof_of_the_era_before_counts_until_the_check_has_ended(self) -> None:
        check = begun_check(1)
        check.record_question(1.0)
        check.record_reply("n1", 3)
        self.assertTrue(check.end_if_due(1, 1.0))
        check.begin(20.0)
        self.assertEqual(check.age_s(3, 22.0, 22.0), 2.0)
        check.record_question(22.0)
        self.assertFalse(check.end_if_due(1, 22.0))
        check.record_reply("n1", 3)
        self.assertTrue(check.end_if_due(1, 22.0))
        self.assertEqual(check.age_s(3, 22.0, 22.0), 0.0)


if __name__ == "__main__":
    unittest.main()

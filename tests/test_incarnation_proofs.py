"""What reports prove of connections and incarnations, in virtual time."""

from __future__ import annotations

import asyncio
import math
import random
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from tests.virtual_loop import run_virtually
from winchfork.backends.replica_control import (
    OnNotice,
    OrderOutcome,
    ReplicaReport,
    WeightsOrder,
    ignore_notice,
)
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.unlisted_software import UnlistedIncarnation, unlisted_incarnation
from winchfork.errors import Failure, FailureKind
from winchfork.router.incarnation_proofs import MAX_WAIT_S, RETRY_DELAY_S, Proof
from winchfork.router.settings import RouterSettings
from winchfork.router.state import RouterState

BORN, REBORN = 1_000, 2_000
ADDRESS = "10.0.0.1:80"
CALL_S = 0.05
#: The name of the returned incarnation's software.
RETURNED = UnlistedIncarnation("i-1", REBORN).software


class ScriptedControl:
    """Answers each report call after a delay, with the start time of its end."""

    def __init__(self) -> None:
        self.born = BORN
        self.versions = {"m": 3}
        self.delay_s = CALL_S
        self.fails = False
        self.calls = 0

    async def report(
        self, address: str, on_notice: OnNotice = ignore_notice
    ) -> ReplicaReport | Failure:
        self.calls += 1
        await asyncio.sleep(self.delay_s)
        if self.fails:
            return FailureKind.BACKEND_FAILED.because("no report")
        return ReplicaReport(0, False, 0, 0, self.versions, self.born)

    async def order(
        self,
        address: str,
        order: WeightsOrder,
        allowed: Callable[[], bool],
        on_notice: OnNotice = ignore_notice,
    ) -> OrderOutcome | Failure:
        raise AssertionError("no order is given")


class ProofsUnderTest:
    """The proofs of a daemon that lists replica i-1 at version v1."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        settings = RouterSettings("n1", "z1", "g", "127.0.0.1", "", "", "")
        self.state = RouterState(settings, loop.time, random.Random(1))
        self.control = ScriptedControl()
        self.proofs = self.state.incarnations
        self.proofs.control = self.control
        self.list(BORN, "v1")

    def list(self, born: int, software: str, replica_id: str = "i-1") -> None:
        versions = {"m": 1}
        self.state.install_listing(
            ReplicaListing(replica_id, "s", ADDRESS, "z1", 8, True, versions, software, born)
        )

    @property
    def replica(self) -> RelayReplica:
        replica = self.state.fleet.get("i-1")
        assert replica is not None
        return replica

    async def prove(self) -> Proof:
        """Prove a connection that is opened now."""
        return await self.proofs.prove(self.replica, self.state.clock())


class IncarnationProofsTest(unittest.TestCase):
    def run_scenario(
        self, scenario: Callable[[ProofsUnderTest], Coroutine[Any, Any, None]]
    ) -> None:
        async def run() -> None:
            await scenario(ProofsUnderTest())

        run_virtually(run())

    def test_a_report_proves_the_connections_opened_before_its_call(self) -> None:
        """Guards against a call for each request."""

        async def scenario(case: ProofsUnderTest) -> None:
            opened_at_s = case.state.clock()
            self.assertIs(await case.prove(), Proof.PROVEN)
            self.assertIs(await case.proofs.prove(case.replica, opened_at_s), Proof.PROVEN)
            self.assertEqual(case.control.calls, 1)
            self.assertIs(await case.prove(), Proof.PROVEN)
            self.assertEqual(case.control.calls, 2)

        self.run_scenario(scenario)

    def test_connections_opened_during_a_call_share_the_next_one(self) -> None:
        """Guards against a proof by a call that began before the connection was opened."""

        async def scenario(case: ProofsUnderTest) -> None:
            first = [asyncio.create_task(case.prove()) for _ in range(5)]
            await asyncio.sleep(CALL_S / 2)
            later = [asyncio.create_task(case.prove()) for _ in range(5)]
            self.assertEqual(await asyncio.gather(*first), [Proof.PROVEN] * 5)
            self.assertFalse(any(task.done() for task in later))
            self.assertEqual(await asyncio.gather(*later), [Proof.PROVEN] * 5)
            self.assertEqual(case.control.calls, 2)

        self.run_scenario(scenario)

    def test_a_later_incarnation_replaces_the_listed_one(self) -> None:
        """Guards against streams and cached parts of a replica that knows nothing of before."""

        async def scenario(case: ProofsUnderTest) -> None:
            former = case.replica
            case.control.born = REBORN
            opened_at_s = case.state.clock()
            self.assertIs(await case.prove(), Proof.REPLACED)
            returned = case.replica
            self.assertIsNot(returned, former)
            self.assertEqual(returned.listing.software, RETURNED)
            self.assertEqual(returned.listing.started_at_ms, REBORN)
            self.assertEqual(returned.versions, {"m": 3})
            self.assertTrue(returned.accepting)
            self.assertTrue(returned.is_proven_for(opened_at_s))
            case.list(BORN, "v1")
            self.assertIs(case.replica, returned)

        self.run_scenario(scenario)

    def test_an_earlier_start_proves_nothing_and_replaces_nothing(self) -> None:
        """Guards against a delayed answer that undoes a newer entry."""

        async def scenario(case: ProofsUnderTest) -> None:
            former = case.replica
            case.control.born = BORN - 1
            self.assertIs(await case.prove(), Proof.UNKNOWN)
            self.assertIs(case.replica, former)
            self.assertFalse(former.is_proven_for(0.0))

        self.run_scenario(scenario)

    def test_a_failed_call_is_not_repeated_at_once(self) -> None:
        async def scenario(case: ProofsUnderTest) -> None:
            case.control.fails = True
            self.assertIs(await case.prove(), Proof.UNKNOWN)
            self.assertIs(await case.prove(), Proof.UNKNOWN)
            self.assertEqual(case.control.calls, 1)
            case.control.fails = False
            await asyncio.sleep(RETRY_DELAY_S)
            self.assertIs(await case.prove(), Proof.PROVEN)

        self.run_scenario(scenario)

    def test_a_late_report_is_not_waited_for_but_counts(self) -> None:
        """Guards against requests that wait, and against replicas that are never proven."""

        async def scenario(case: ProofsUnderTest) -> None:
            case.control.delay_s = 2 * MAX_WAIT_S
            opened_at_s = case.state.clock()
            self.assertIs(await case.prove(), Proof.UNKNOWN)
            self.assertLessEqual(case.state.clock() - opened_at_s, MAX_WAIT_S + 1e-3)
            await asyncio.sleep(2 * MAX_WAIT_S)
            self.assertIs(await case.proofs.prove(case.replica, opened_at_s), Proof.PROVEN)
            self.assertEqual(case.control.calls, 1)

        self.run_scenario(scenario)

    def test_a_report_without_a_start_time_proves_nothing(self) -> None:
        async def scenario(case: ProofsUnderTest) -> None:
            case.control.born = 0
            self.assertIs(await case.prove(), Proof.UNKNOWN)
            self.assertEqual(case.replica.listing.software, "v1")

        self.run_scenario(scenario)

    def test_an_entry_without_a_start_time_needs_no_proof(self) -> None:
        async def scenario(case: ProofsUnderTest) -> None:
            case.state.fleet.remove("i-1")
            case.list(0, "v1")
            self.assertIs(await case.prove(), Proof.PROVEN)
            self.assertEqual(case.control.calls, 0)

        self.run_scenario(scenario)

    def test_another_replica_listed_at_the_address_becomes_current(self) -> None:
        async def scenario(case: ProofsUnderTest) -> None:
            case.list(REBORN, "v1.1", "i-2")
            asked_at_s = case.state.clock()
            report = ReplicaReport(0, False, 0, 0, {}, REBORN)
            case.proofs.record(case.replica, report, asked_at_s)
            other = case.state.fleet.get("i-2")
            assert other is not None
            self.assertTrue(case.replica.superseded)
            self.assertFalse(other.superseded)
            self.assertTrue(other.is_proven_for(asked_at_s))
            self.assertIs(await case.prove(), Proof.REPLACED)

        self.run_scenario(scenario)

    def test_a_proof_ends_with_the_incarnation(self) -> None:
        async def scenario(case: ProofsUnderTest) -> None:
            self.assertIs(await case.prove(), Proof.PROVEN)
            case.state.fleet.remove("i-1")
            case.list(REBORN, "v1.1")
            self.assertEqual(case.replica.proven_at_s, -math.inf)

        self.run_scenario(scenario)

    def test_an_incarnation_that_another_daemon_has_found_is_looked_for(self) -> None:
        async def scenario(case: ProofsUnderTest) -> None:
            await case.proofs.find("v1")
            await case.proofs.find(UnlistedIncarnation("i-1", BORN).software)
            self.assertEqual(case.control.calls, 0)
            case.control.born = REBORN
            await case.proofs.find(RETURNED)
            self.assertEqual(case.replica.listing.software, RETURNED)
            self.assertEqual(case.control.calls, 1)

        self.run_scenario(scenario)

    def test_a_relayed_request_goes_to_its_incarnation_only(self) -> None:
        async def scenario(case: ProofsUnderTest) -> None:
            case.control.born = REBORN
            opened_at_s = case.state.clock()
            listed = case.replica
            self.assertIsNone(await case.proofs.leads_to(listed, opened_at_s, BORN))
            found = await case.proofs.leads_to(listed, opened_at_s, REBORN)
            self.assertIs(found, case.replica)

        self.run_scenario(scenario)


class UnlistedSoftwareTest(unittest.TestCase):
    def test_the_entry_tells_the_version_also_after_its_removal(self) -> None:
        async def scenario() -> None:
            case = ProofsUnderTest()
            fleet = case.state.fleet
            case.control.born = REBORN
            await case.prove()
            self.assertEqual(fleet.resolve_software(RETURNED), RETURNED)
            case.list(REBORN, "v1.1")
            self.assertEqual(fleet.resolve_software(RETURNED), "v1.1")
            fleet.remove("i-1")
            case.list(REBORN + 1, "v1.2")
            self.assertEqual(fleet.resolve_software(RETURNED), "v1.1")
            self.assertEqual(fleet.resolve_software("v1.2"), "v1.2")

        run_virtually(scenario())

    def test_a_name_gives_its_incarnation_and_a_version_none(self) -> None:
        unlisted = UnlistedIncarnation("i@model", REBORN)
        self.assertEqual(unlisted_incarnation(unlisted.software), unlisted)
        for version in ("", "v1", "unlisted:", "unlisted:i-1", "unlisted:i-1@x", "unlisted:i@-1"):
            self.assertIsNone(unlisted_incarnation(version))

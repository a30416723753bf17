"""What is remembered of requests that end replicas, and what that costs requests that were near."""

from __future__ import annotations

import unittest

from benchmarks.crashing_requests import simulate
from winchfork.core.broken_runs import BrokenRuns, CrashEvidence
from winchfork.core.crash_history import (
    CRASHES_TO_REFUSE,
    SUSPICION_TTL_S,
    CrashHistory,
)
from winchfork.core.request_digest import request_digest
from winchfork.core.suspect_runs import SuspectRun, SuspectRuns


class DigestTest(unittest.TestCase):
    def test_caller_method_host_target_and_body_each_count(self) -> None:
        fields = ("school", b"POST", "a.example", b"/x", b"body")
        others = [
            ("other", b"POST", "a.example", b"/x", b"body"),
            ("school", b"PUT", "a.example", b"/x", b"body"),
            ("school", b"POST", "b.example", b"/x", b"body"),
            ("school", b"POST", "a.example", b"/x?q=1", b"body"),
            ("school", b"POST", "a.example", b"/x", b"other"),
            ("school", b"POST", "a.example", b"/xb", b"ody"),
        ]
        digests = {request_digest(*other) for other in [fields, *others]}
        self.assertEqual(len(digests), 1 + len(others))
        self.assertEqual(request_digest(*fields), request_digest(*fields))


class LedgerTest(unittest.TestCase):
    def test_reports_of_one_end_are_one_end(self) -> None:
        ledger = CrashHistory()
        self.assertTrue(ledger.record_crash(b"d", 1, 0.0))
        self.assertFalse(ledger.record_crash(b"d", 1, 0.1))
        self.assertEqual(ledger.crash_count(b"d", 0.2), 1)

    def test_a_run_that_ends_well_clears_it(self) -> None:
        ledger = CrashHistory()
        for incarnation in range(CRASHES_TO_REFUSE - 1):
            ledger.record_crash(b"d", incarnation, 0.0)
        self.assertTrue(ledger.clear(b"d"))
        self.assertEqual(ledger.crash_count(b"d", 0.0), 0)
        self.assertFalse(ledger.clear(b"d"))

    def test_a_slow_repeater_is_remembered_and_an_old_suspicion_is_not(self) -> None:
        ledger = CrashHistory()
        ledger.record_crash(b"d", 1, 0.0)
        ledger.record_crash(b"d", 2, SUSPICION_TTL_S * 0.9)
        self.assertEqual(ledger.crash_count(b"d", SUSPICION_TTL_S * 1.8), 2)
        self.assertEqual(ledger.crash_count(b"d", SUSPICION_TTL_S * 2.0), 0)

    def test_a_refusal_ends_with_its_time_and_with_its_release(self) -> None:
        ledger = CrashHistory()
        ledger.refuse(b"d", 1, 10.0)
        ledger.refuse(b"e", 1, 10.0)
        ledger.clear(b"e")
        self.assertTrue(ledger.is_refused(b"d", 9.9))
        self.assertFalse(ledger.is_refused(b"e", 9.9))
        self.assertFalse(ledger.is_refused(b"d", 10.0))

    def test_suspects_do_not_push_refusals_out_and_both_are_bounded(self) -> None:
        ledger = CrashHistory(max_suspects=100, max_refused=10)
        ledger.refuse(b"d", 1, 1e9)
        for number in range(1000):
            ledger.record_crash(b"%d" % number, 1, float(number) / 1000)
        self.assertTrue(ledger.is_refused(b"d", 1.0))
        self.assertEqual((ledger.suspected_count, ledger.refused_count), (100, 1))
        for number in range(1000):
            ledger.refuse(b"%d" % number, 1, 1e9)
        self.assertEqual(ledger.refused_count, 10)


class BrokenRunsTest(unittest.TestCase):
    def test_only_an_end_that_is_shown_counts(self) -> None:
        broken = BrokenRuns()
        broken.record(1, b"d", 0.0, silent=False)
        broken.record(1, b"e", 0.0, silent=False)
        self.assertEqual(broken.count_unconfirmed(b"d", 0.1), 1)
        self.assertEqual(set(broken.pop_crashed(1, CrashEvidence.PORT_CLOSED, 0.2)), {b"d", b"e"})
        self.assertEqual(broken.pop_crashed(1, CrashEvidence.ENTRY_LAPSED, 3.0), ())

    def test_a_replica_that_is_reached_after_the_break_is_hardly_suspected(self) -> None:
        """A lost answer, a garbled one, a reset: the replica lives. One that came back does not."""
        broken = BrokenRuns()
        broken.record(1, b"d", 0.0, silent=False)
        broken.mark_reached(1, 0.03)
        broken.record(1, b"e", 0.05, silent=False)
        self.assertEqual(
            (broken.count_unconfirmed(b"d", 0.1), broken.count_unconfirmed(b"e", 0.1)), (0, 1)
        )
        self.assertEqual(broken.pop_crashed(1, CrashEvidence.REPLACED, 2.0), (b"d", b"e"))

    def test_a_cut_replica_whose_entry_lapses_has_not_ended(self) -> None:
        broken = BrokenRuns()
        broken.record(1, b"d", 0.0, silent=True)
        self.assertEqual(broken.count_unconfirmed(b"d", 0.1), 0)
        self.assertEqual(broken.pop_crashed(1, CrashEvidence.ENTRY_LAPSED, 3.0), ())
        self.assertEqual(broken.pop_crashed(1, CrashEvidence.REPLACED, 4.0), (b"d",))

    def test_a_run_that_ends_well_before_it_is_settled_clears_it(self) -> None:
        broken = BrokenRuns()
        broken.record(1, b"d", 0.0, silent=False)
        broken.record(1, b"e", 0.0, silent=False)
        broken.clear(b"d")
        self.assertEqual(broken.pop_crashed(1, CrashEvidence.PORT_CLOSED, 0.1), (b"e",))

    def test_evidence_that_comes_late_is_of_another_event(self) -> None:
        broken = BrokenRuns()
        broken.record(1, b"d", 0.0, silent=False)
        self.assertEqual(broken.pop_crashed(1, CrashEvidence.ENTRY_LAPSED, 30.0), ())


class SuspectRunsTest(unittest.TestCase):
    def test_runs_are_over_when_told_or_when_their_time_is_up(self) -> None:
        runs = SuspectRuns()
        runs.begin("n1", b"d", SuspectRun(7, 5.0, is_exclusive=True))
        runs.begin("n2", b"e", SuspectRun(8, 5.0, is_exclusive=False))
        self.assertTrue(runs.is_running(b"d", 1.0))
        self.assertEqual(runs.exclusive_incarnations(1.0), {7})
        self.assertIsNotNone(runs.end("n1", b"d"))
        self.assertIsNone(runs.end("n1", b"d"))
        self.assertFalse(runs.is_running(b"d", 1.0))
        self.assertFalse(runs.is_running(b"e", 5.0))


class BystanderTest(unittest.TestCase):
    def test_what_the_others_lose_beside_requests_that_end_replicas(self) -> None:
        """Nobody innocent is refused, and five such bodies a minute cost less than one in 500."""
        for seed in (1, 2):
            fleet = simulate(seed, bodies_per_minute=5, guarded=True, seconds=60.0)
            self.assertLessEqual(max(fleet.crashes.values()), CRASHES_TO_REFUSE)
            self.assertEqual(fleet.innocent["refused"], 0)
            self.assertLess(fleet.innocent["lost"], fleet.innocent["sent"] / 500)

    def test_so_many_bodies_that_replicas_are_hardly_up_get_nobody_else_refused(self) -> None:
        fleet = simulate(3, bodies_per_minute=50, guarded=True, seconds=30.0)
        self.assertLessEqual(max(fleet.crashes.values()), CRASHES_TO_REFUSE)
        self.assertEqual(fleet.innocent["refused"], 0)

"""Crash history of requests that crash replicas, and its effect on other requests."""

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


class CrashHistoryTest(unittest.TestCase):
    def test_repeated_reports_of_a_crash_count_once(self) -> None:
        history = CrashHistory()
        self.assertTrue(history.record_crash(b"d", 1, 0.0))
        self.assertFalse(history.record_crash(b"d", 1, 0.1))
        self.assertEqual(history.crash_count(b"d", 0.2), 1)

    def test_success_clears_the_suspicion(self) -> None:
        history = CrashHistory()
        for incarnation in range(CRASHES_TO_REFUSE - 1):
            history.record_crash(b"d", incarnation, 0.0)
        self.assertTrue(history.clear(b"d"))
        self.assertEqual(history.crash_count(b"d", 0.0), 0)
        self.assertFalse(history.clear(b"d"))

    def test_each_crash_renews_a_suspicion_until_it_expires(self) -> None:
        history = CrashHistory()
        history.record_crash(b"d", 1, 0.0)
        history.record_crash(b"d", 2, SUSPICION_TTL_S * 0.9)
        self.assertEqual(history.crash_count(b"d", SUSPICION_TTL_S * 1.8), 2)
        self.assertEqual(history.crash_count(b"d", SUSPICION_TTL_S * 2.0), 0)

    def test_refusal_ends_when_it_expires_or_is_cleared(self) -> None:
        history = CrashHistory()
        history.refuse(b"d", 1, 10.0)
        history.refuse(b"e", 1, 10.0)
        history.clear(b"e")
        self.assertTrue(history.is_refused(b"d", 9.9))
        self.assertFalse(history.is_refused(b"e", 9.9))
        self.assertFalse(history.is_refused(b"d", 10.0))

    def test_suspects_do_not_evict_refusals_and_both_tables_are_bounded(self) -> None:
        history = CrashHistory(max_suspects=100, max_refused=10)
        history.refuse(b"d", 1, 1e9)
        for number in range(1000):
            history.record_crash(b"%d" % number, 1, float(number) / 1000)
        self.assertTrue(history.is_refused(b"d", 1.0))
        self.assertEqual((history.suspected_count, history.refused_count), (100, 1))
        for number in range(1000):
            history.refuse(b"%d" % number, 1, 1e9)
        self.assertEqual(history.refused_count, 10)


class BrokenRunsTest(unittest.TestCase):
    def test_evidence_confirms_all_broken_runs_of_an_incarnation_once(self) -> None:
        broken_runs = BrokenRuns()
        broken_runs.record(1, b"d", 0.0, silent=False)
        broken_runs.record(1, b"e", 0.0, silent=False)
        self.assertEqual(broken_runs.count_unconfirmed(b"d", 0.1), 1)
        self.assertEqual(
            set(broken_runs.pop_crashed(1, CrashEvidence.PORT_CLOSED, 0.2)), {b"d", b"e"}
        )
        self.assertEqual(broken_runs.pop_crashed(1, CrashEvidence.ENTRY_LAPSED, 3.0), ())

    def test_replica_reached_after_the_break_counts_only_once_replaced(self) -> None:
        """A lost or garbled answer or a reset is no crash unless another incarnation appears."""
        broken_runs = BrokenRuns()
        broken_runs.record(1, b"d", 0.0, silent=False)
        broken_runs.mark_reached(1, 0.03)
        broken_runs.record(1, b"e", 0.05, silent=False)
        self.assertEqual(
            (broken_runs.count_unconfirmed(b"d", 0.1), broken_runs.count_unconfirmed(b"e", 0.1)),
            (0, 1),
        )
        self.assertEqual(broken_runs.pop_crashed(1, CrashEvidence.REPLACED, 2.0), (b"d", b"e"))

    def test_expired_entry_does_not_confirm_a_crash_of_a_silent_replica(self) -> None:
        broken_runs = BrokenRuns()
        broken_runs.record(1, b"d", 0.0, silent=True)
        self.assertEqual(broken_runs.count_unconfirmed(b"d", 0.1), 0)
        self.assertEqual(broken_runs.pop_crashed(1, CrashEvidence.ENTRY_LAPSED, 3.0), ())
        self.assertEqual(broken_runs.pop_crashed(1, CrashEvidence.REPLACED, 4.0), (b"d",))

    def test_success_before_the_evidence_clears_a_broken_run(self) -> None:
        broken_runs = BrokenRuns()
        broken_runs.record(1, b"d", 0.0, silent=False)
        broken_runs.record(1, b"e", 0.0, silent=False)
        broken_runs.clear(b"d")
        self.assertEqual(broken_runs.pop_crashed(1, CrashEvidence.PORT_CLOSED, 0.1), (b"e",))

    def test_late_evidence_does_not_apply_to_a_broken_run(self) -> None:
        broken_runs = BrokenRuns()
        broken_runs.record(1, b"d", 0.0, silent=False)
        self.assertEqual(broken_runs.pop_crashed(1, CrashEvidence.ENTRY_LAPSED, 30.0), ())


class SuspectRunsTest(unittest.TestCase):
    def test_run_ends_when_reported_or_when_it_expires(self) -> None:
        runs = SuspectRuns()
        runs.begin("n1", b"d", SuspectRun(7, 5.0, is_exclusive=True))
        runs.begin("n2", b"e", SuspectRun(8, 5.0, is_exclusive=False))
        self.assertTrue(runs.is_running(b"d", 1.0))
        self.assertEqual(runs.exclusive_incarnations(1.0), {7})
        self.assertIsNotNone(runs.end("n1", b"d"))
        self.assertIsNone(runs.end("n1", b"d"))
        self.assertFalse(runs.is_running(b"d", 1.0))
        self.assertFalse(runs.is_running(b"e", 5.0))


class UnrelatedRequestsTest(unittest.TestCase):
    def test_other_requests_are_not_refused_and_few_are_lost(self) -> None:
        """Five crashing bodies a minute cost fewer than one in 500 of the other requests."""
        for seed in (1, 2):
            fleet = simulate(seed, bodies_per_minute=5, guarded=True, seconds=60.0)
            self.assertLessEqual(max(fleet.crashes.values()), CRASHES_TO_REFUSE)
            self.assertEqual(fleet.innocent["refused"], 0)
            self.assertLess(fleet.innocent["lost"], fleet.innocent["sent"] / 500)

    def test_constant_crashes_get_no_other_request_refused(self) -> None:
        fleet = simulate(3, bodies_per_minute=50, guarded=True, seconds=30.0)
        self.assertLessEqual(max(fleet.crashes.values()), CRASHES_TO_REFUSE)
        self.assertEqual(fleet.innocent["refused"], 0)

"""Tests how notices are parsed from answers, and the rules of pauses and trial requests."""

from __future__ import annotations

import unittest

from winchfork.core.replica_notice import (
    CLOCK_TOLERANCE_S,
    MAX_BACKOFF_S,
    TRIAL_S,
    UNCONFIRMED_DRAINING_S,
    AnswerNotice,
    NoticeChange,
    ReplicaNotice,
)
from winchfork.platform.notices import read_notice
from winchfork.router.http_types import AnswerHead, Headers


class ReadNoticeTest(unittest.TestCase):
    def read(self, status: int, *headers: tuple[str, str], not_run: bool = False) -> AnswerNotice:
        lines: Headers = [(name.encode(), value.encode()) for name, value in headers]
        if not_run:
            lines.append((b"X-Not-Executed", b"1"))
        return read_notice(AnswerHead(status, b"", lines, 0))

    def backoff_s(self, *values: str, status: int = 503, not_run: bool = False) -> float | None:
        headers = [("retry-AFTER", value) for value in values]
        return self.read(status, *headers, not_run=not_run).backoff_s

    def test_retry_after_in_seconds_is_a_backoff(self) -> None:
        self.assertEqual(self.backoff_s("3"), 3.0)
        self.assertEqual(self.backoff_s(" 0.25 "), 0.25)
        self.assertEqual(self.backoff_s("0"), 0.0)
        self.assertEqual(self.backoff_s("2", "5", "3"), 5.0)
        self.assertEqual(self.backoff_s("2", "soon"), 2.0)

    def test_an_unreadable_retry_after_is_ignored_and_reported(self) -> None:
        for value in ("-1", "nan", "inf", "soon", "", "Wed, 21 Oct 2026 07:28:00 GMT"):
            with self.subTest(value):
                notice = self.read(503, ("Retry-After", value))
                self.assertIsNone(notice.backoff_s)
                self.assertIn("Retry-After holds", notice.unreadable)

    def test_retry_after_counts_only_with_503_or_a_refusal(self) -> None:
        for status in (200, 301, 404, 429, 500, 502):
            self.assertIsNone(self.backoff_s("3", status=status), status)
        self.assertEqual(self.backoff_s("3", status=429, not_run=True), 3.0)

    def test_only_one_value_announces_draining(self) -> None:
        self.assertTrue(self.read(200, ("server-leaving", "1")).draining)
        for value in ("0", "", "true", "11"):
            notice = self.read(200, ("Server-Leaving", value))
            self.assertFalse(notice.draining)
            self.assertIn("Server-Leaving holds", notice.unreadable)
        self.assertTrue(self.read(200, ("X-Own", "1"), ("Connection", "close")).is_empty)


class ReplicaNoticeTest(unittest.TestCase):
    def test_an_excessive_backoff_is_bounded(self) -> None:
        notice = ReplicaNotice()
        notice.record(AnswerNotice(backoff_s=1e12), 10.0)
        self.assertEqual(notice.backoff_until_s, 10.0 + MAX_BACKOFF_S)

    def test_a_backoff_is_reported_as_a_change_once(self) -> None:
        notice = ReplicaNotice()
        asked = AnswerNotice(backoff_s=3.0)
        changes = [notice.record(asked, at_s) for at_s in (10.0, 10.1, 12.9, 16.0)]
        nothing, backoff = NoticeChange.NOTHING, NoticeChange.BACKOFF
        self.assertEqual(changes, [backoff, nothing, nothing, backoff])

    def test_an_accepted_trial_request_ends_the_pause(self) -> None:
        notice = ReplicaNotice()
        notice.record(AnswerNotice(backoff_s=3.0), 10.0)
        self.assertEqual(notice.available_in_s(11.0), 2.0)
        notice.record_sent(13.5)
        self.assertFalse(notice.accepts_requests(13.6))
        self.assertTrue(notice.accepts_requests(13.5 + TRIAL_S))
        notice.record_answer(13.5, refused=False)
        self.assertTrue(notice.accepts_requests(13.6))
        notice.record_sent(13.6)
        self.assertTrue(notice.accepts_requests(13.6))

    def test_an_answer_to_a_request_sent_before_the_backoff_ended_is_no_trial(self) -> None:
        notice = ReplicaNotice()
        notice.record(AnswerNotice(backoff_s=3.0), 10.0)
        notice.record_answer(9.0, refused=False)
        notice.record_sent(13.5)
        self.assertFalse(notice.accepts_requests(13.6))

    def test_a_refused_trial_request_is_followed_by_another(self) -> None:
        notice = ReplicaNotice()
        notice.record(AnswerNotice(backoff_s=3.0), 10.0)
        notice.record_sent(13.5)
        notice.record_answer(13.5, refused=True)
        self.assertTrue(notice.accepts_requests(13.6))
        notice.record_sent(13.6)
        self.assertFalse(notice.accepts_requests(13.7))

    def test_draining_is_permanent_even_with_a_backoff(self) -> None:
        notice = ReplicaNotice()
        both = AnswerNotice(draining=True, backoff_s=3.0)
        self.assertIs(notice.record(both, 10.0), NoticeChange.DRAINING)
        self.assertFalse(notice.accepts_requests(1e9))

    def test_adopted_draining_is_a_pause_and_not_permanent(self) -> None:
        previous, successor = ReplicaNotice(), ReplicaNotice()
        previous.record(AnswerNotice(draining=True), 10.0)
        self.assertTrue(successor.adopt(previous, started_s=8.0, now_s=12.0))
        self.assertFalse(successor.draining)
        self.assertFalse(successor.accepts_requests(11.9 + UNCONFIRMED_DRAINING_S))
        self.assertTrue(successor.accepts_requests(12.0 + UNCONFIRMED_DRAINING_S))

    def test_a_notice_received_before_the_successors_start_is_not_adopted(self) -> None:
        previous = ReplicaNotice()
        previous.record(AnswerNotice(draining=True, backoff_s=600.0), 10.0)
        successor = ReplicaNotice()
        self.assertFalse(successor.adopt(previous, started_s=10.0 + CLOCK_TOLERANCE_S, now_s=12.0))
        self.assertTrue(successor.accepts_requests(12.0))
        self.assertFalse(ReplicaNotice().adopt(ReplicaNotice(), started_s=1.0, now_s=12.0))

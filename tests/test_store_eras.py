"""The store's era and unknown headers in its answers, and how they are logged and counted."""

from __future__ import annotations

import unittest
from unittest import mock

from winchfork.platform.store_headers import read_store_answer
from winchfork.router import store_eras
from winchfork.router.http_types import AnswerHead, Headers
from winchfork.router.metrics import RouterMetrics
from winchfork.router.store_eras import StoreEras
from winchfork.stores.async_key_value import StoreAnswer


def answer(*headers: tuple[bytes, bytes], status: int = 200) -> StoreAnswer:
    named: Headers = [(b"Content-Type", b"application/json"), *headers]
    return read_store_answer(AnswerHead(status, b"", named, 0))


class StoreHeadersTest(unittest.TestCase):
    def test_the_name_of_the_era_header_is_case_insensitive(self) -> None:
        self.assertEqual(answer((b"Store-Era", b"3")).era, 3)
        self.assertEqual(answer((b"STORE-ERA", b" 12 ")).era, 12)

    def test_an_invalid_or_ambiguous_era_counts_as_none(self) -> None:
        for value in (b"", b"x", b"-1", b"1.5", b"1e3", b"9" * 40, b"2, 3"):
            with self.subTest(value):
                self.assertEqual(answer((b"Store-Era", value)).era, 0)
        self.assertEqual(answer((b"Store-Era", b"2"), (b"Store-Era", b"3")).era, 0)
        self.assertEqual(answer().era, 0)

    def test_a_repeated_era_counts_once(self) -> None:
        self.assertEqual(answer((b"Store-Era", b"2"), (b"Store-Era", b"2")).era, 2)
        self.assertEqual(answer((b"Store-Era", b"2, 2")).era, 2)

    def test_unknown_store_headers_are_reported_by_name(self) -> None:
        self.assertEqual(answer((b"Store-Mood", b"1")).unknown_headers, ("store-mood",))


class StoreErasTest(unittest.TestCase):
    def setUp(self) -> None:
        self.metrics = RouterMetrics()
        self.eras = StoreEras(self.metrics)

    def test_eras_only_rise_and_each_is_logged_once(self) -> None:
        with mock.patch.object(store_eras, "log_event") as log:
            for era in (0, 3, 3, 2, 4, 0):
                self.eras.handle_answer(StoreAnswer(200, era))
        self.assertEqual(self.eras.newest, 4)
        logged = [(call.kwargs["era"], call.kwargs["before"]) for call in log.call_args_list]
        self.assertEqual(logged, [(3, None), (4, 3)])

    def test_an_unknown_header_is_logged_once_and_counted(self) -> None:
        with mock.patch.object(store_eras, "log_event") as log:
            for _ in range(3):
                self.eras.handle_answer(StoreAnswer(200, 0, ("store-mood",)))
        self.assertEqual(log.call_count, 1)
        self.assertEqual(self.metrics.unknown_headers.labels("store-mood").value, 3)

    def test_refusals_are_counted_by_status_and_lost_history_is_logged(self) -> None:
        with mock.patch.object(store_eras, "log_event") as log:
            self.eras.handle_answer(StoreAnswer(410, 0))
            self.eras.handle_answer(StoreAnswer(429, 0))
        self.assertEqual(log.call_args_list[0].args[0], "store_history_lost")
        self.assertEqual(log.call_count, 1)
        self.assertEqual(self.metrics.store_refusals.labels("410").value, 1)
        self.assertEqual(self.metrics.store_refusals.labels("429").value, 1)


if __name__ == "__main__":
    unittest.main()

"""Tests how request limits are parsed from answers and when a limit begins, changes and ends."""

from __future__ import annotations

import unittest

from tests.relay_case import RelayTestCase
from tests.relay_support import ScriptedReplica, answering, signed
from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.replica_notice import AnswerNotice
from winchfork.core.request_limit import LimitChange, RequestLimit
from winchfork.platform.notices import read_notice
from winchfork.router.http_types import AnswerHead


def read(*values: str, name: str = "Server-Limit") -> AnswerNotice:
    """Return the notice of an answer with these values of a header."""
    headers = [(name.encode(), value.encode()) for value in values]
    return read_notice(AnswerHead(200, b"OK", headers, 0))


class ReadLimitTest(unittest.TestCase):
    def test_decimal_numbers_are_accepted(self) -> None:
        for value, per_s in (("3", 3.0), ("0.5", 0.5), (" 3 ", 3.0), ("3.0", 3.0), ("0", 0.0)):
            notice = read(value)
            self.assertEqual((notice.limit_per_s, notice.has_limit), (per_s, True), value)
            self.assertFalse(notice.unreadable)
        self.assertEqual(read("3", name="sERVER-lIMIT").limit_per_s, 3.0)

    def test_the_lowest_of_several_limits_applies(self) -> None:
        for values in (("3", "5"), ("5", "3"), ("3, 5",), ("5,3",)):
            self.assertEqual(read(*values).limit_per_s, 3.0, values)

    def test_other_values_are_reported_as_unreadable(self) -> None:
        for value in ("-1", "+3", "nan", "inf", "1e12", "9" * 400, "three", "", "3 5"):
            with self.subTest(value):
                notice = read(value)
                self.assertIsNone(notice.limit_per_s)
                self.assertTrue(notice.has_limit)
                self.assertIn("Server-Limit holds", notice.unreadable)
        self.assertEqual(read("many, 4").limit_per_s, 4.0)

    def test_an_answer_without_the_header_has_no_limit(self) -> None:
        self.assertFalse(read("3", name="X-Limit").has_limit)

    def test_unknown_headers_are_reported_by_name(self) -> None:
        self.assertEqual(read("1", name="Server-Mood").unknown_names, ("server-mood",))
        for name in ("Server-Leaving", "Server-Limit", "Server-Timing", "Server", "X-Server-Id"):
            self.assertEqual(read("1", name=name).unknown_names, (), name)


class RequestLimitTest(unittest.TestCase):
    def test_a_limit_begins_changes_and_ends(self) -> None:
        limit = RequestLimit()
        self.assertIs(limit.update(3.0, received_at_s=10.0), LimitChange.BEGUN)
        self.assertIs(limit.update(3.0, received_at_s=11.0), LimitChange.NOTHING)
        self.assertIs(limit.update(1.0, received_at_s=12.0), LimitChange.CHANGED)
        self.assertIs(limit.clear(received_at_s=13.0), LimitChange.ENDED)
        self.assertIs(limit.clear(received_at_s=14.0), LimitChange.NOTHING)
        self.assertIsNone(limit.per_s)

    def test_only_requests_sent_after_the_last_report_may_end_a_limit(self) -> None:
        limit = RequestLimit()
        limit.update(3.0, received_at_s=10.0)
        self.assertFalse(limit.may_be_ended_by_answer(sent_s=9.9))
        self.assertTrue(limit.may_be_ended_by_answer(sent_s=10.1))


class ReceivedLimitTest(RelayTestCase):
    async def test_an_outdated_answer_does_not_restart_an_ended_limit(self) -> None:
        relay = await self.relay(ScriptedReplica(answering(lambda r: signed(r, b"ok"))))
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        now_s = relay.state.clock()
        limits = relay.state.limits
        limits.record_limit(replica, 2.0, now_s - 3.0)
        limits.record_unlimited_answer(replica, now_s + 1.0)
        self.assertIsNone(replica.notice.limit.per_s)
        limits.record_limit(replica, 2.0, now_s - 0.5)
        self.assertIsNone(replica.notice.limit.per_s)
        limits.record_limit(replica, 2.0, relay.state.clock() + 0.1)
        self.assertEqual(replica.notice.limit.per_s, 2.0)

    async def test_answers_begin_keep_change_and_end_a_limit(self) -> None:
        answers = {
            "Server-Limit: 2\r\n": 2.0,
            "Server-Limit: many\r\n": 2.0,
            "Server-Limit: 0.5\r\n": 0.5,
            "": None,
        }
        scripts = [
            answering(lambda r, extra=extra: signed(r, b"ok", extra=extra))  # type: ignore[misc]
            for extra in answers
        ]
        relay = await self.relay(ScriptedReplica(*scripts))
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        for number, (extra, per_s) in enumerate(answers.items()):
            self.assertEqual((await relay.ask(f"id-{number}")).status, 200)
            self.assertEqual(replica.notice.limit.per_s, per_s, extra)

    async def test_an_answer_without_proof_of_origin_does_not_end_a_limit(self) -> None:
        limited = answering(lambda r: signed(r, b"ok", extra="Server-Limit: 2\r\n"))
        refused = answering(
            lambda r: (
                b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\nX-Request-Id: "
                + r.headers["x-request-id"].encode()
                + b"\r\n\r\n"
            )
        )
        relay = await self.relay(ScriptedReplica(limited, refused))
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        await relay.ask("id-0")

        await relay.ask("id-1")
        self.assertEqual(replica.notice.limit.per_s, 2.0)

    async def test_unknown_headers_are_counted_by_name(self) -> None:
        answer = answering(lambda r: signed(r, b"ok", extra="Server-Mood: bad\r\n"))
        relay = await self.relay(ScriptedReplica(answer))
        for number in range(3):
            await relay.ask(f"id-{number}")
        self.assertEqual(relay.state.metrics.unknown_headers.labels("server-mood").value, 3)


class AppliedLimitTest(RelayTestCase):
    """A single router uses the whole limit, one request at a time."""

    async def test_requests_beyond_the_limit_go_to_another_replica(self) -> None:
        limited = ScriptedReplica(
            answering(lambda r: signed(r, b"ok", extra="Server-Limit: 2\r\n"))
        )
        other = ScriptedReplica(answering(lambda r: signed(r, b"ok")))
        relay = await self.relay(limited, other)
        for number in range(7):
            self.assertEqual((await relay.ask(f"id-{number}")).status, 200)
        self.assertEqual((len(limited.received), len(other.received)), (1, 6))
        self.assertEqual(relay.state.metrics.limit_effects.labels("elsewhere").value, 6)
        self.assertEqual(relay.state.limits.limits_by_replica(), {"i-0": 2.0})

    async def test_a_repeated_listing_does_not_revoke_a_limit(self) -> None:
        limited = ScriptedReplica(
            answering(lambda r: signed(r, b"ok", extra="Server-Limit: 1\r\n"))
        )
        other = ScriptedReplica(answering(lambda r: signed(r, b"ok")))
        relay = await self.relay(limited, other)
        await relay.ask("id-0")
        relay.state.fleet.remove("i-0")
        self.assertEqual(relay.state.limits.limits_by_replica(), {})
        relay.state.install_listing(
            ReplicaListing("i-0", "s", limited.address, "z1", 8, True, {"m": 1})
        )
        self.assertEqual(relay.state.limits.limits_by_replica(), {"i-0": 1.0})
        for number in range(3):
            await relay.ask(f"id-{number + 1}")
        self.assertEqual((len(limited.received), len(other.received)), (1, 3))

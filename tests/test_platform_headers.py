"""Translation between the platform's headers and the router's fields."""

from __future__ import annotations

import unittest

from winchfork.core.prompt_parts import PromptPart
from winchfork.errors import Failure
from winchfork.platform.headers import PlatformHeaderCodec
from winchfork.router.event_stream import EventSplitter
from winchfork.router.header_codec import DispatchFields
from winchfork.router.http_types import AnswerHead, Headers

REQUEST: Headers = [
    (b"Host", b"jepu9.example"),
    (b"X-Request-Id", b"9c41d07be2a35f68"),
    (b"Last-Event-Id", b"12"),
    (b"X-Model", b"daka510000"),
    (b"X-Token-Usage", b"1460,80"),
    (b"X-Prefix-Hash", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"X-Deadline-Ms", b"10000"),
    (b"X-Key", b"ctnfzs989anu6wsjnban"),
    (b"X-Length-Hint", b"40"),
    (b"Connection", b"keep-alive, X-Private"),
    (b"X-Private", b"hop"),
]


class HeadersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.codec = PlatformHeaderCodec()

    def test_a_full_request_is_read(self) -> None:
        fields = self.codec.read_request(REQUEST)
        assert not isinstance(fields, Failure) and fields.prompt is not None
        self.assertEqual(fields.request_id, "9c41d07be2a35f68")
        self.assertEqual((fields.deadline_s, fields.resume_after), (10.0, 12))
        self.assertEqual(fields.prompt.parts[0], PromptPart("5c1e07a2", 800))
        self.assertEqual((fields.prompt.prompt_tokens, fields.prompt.output_tokens), (1460, 80))

    def test_invalid_requests_are_failures_that_name_the_header(self) -> None:
        for name, value in (
            (b"X-Request-Id", b""),
            (b"X-Deadline-Ms", b"soon"),
            (b"X-Token-Usage", b"many"),
            (b"X-Prefix-Hash", b"5c1e07a2"),
        ):
            headers = [pair for pair in REQUEST if pair[0] != name] + [(name, value)]
            problem = self.codec.read_request(headers)
            assert isinstance(problem, Failure), name
            self.assertIn(name.decode(), problem.reason)
            self.assertTrue(problem.remedy)

    def test_event_ids_of_64_bits_are_read(self) -> None:
        """Guards against a stream that begins anew, since the caller's last id was not read."""
        for event_id in (0, 10**15, 10**18 + 7):
            headers = [pair for pair in REQUEST if pair[0] != b"Last-Event-Id"]
            headers.append((b"Last-Event-Id", str(event_id).encode()))
            fields = self.codec.read_request(headers)
            assert not isinstance(fields, Failure)
            self.assertEqual(fields.resume_after, event_id)
            events = EventSplitter().feed(b"id: %d\ndata: x\n\n" % event_id)
            self.assertEqual(events[0].event_id, event_id)

    def test_headers_that_a_caller_may_not_set_are_not_forwarded(self) -> None:
        forged = [
            (name, b"forged")
            for name in (
                b"X-Tenant-Id",
                b"x-cache-salt",
                b"X-Kv-Fetch",
                b"X-Kv-Save",
                b"X-Kv-Backup",
                b"X-Pin-Ms",
                b"X-Hold",
                b"X-Request-Priority",
                b"X-Expected-Instance",
                b"X-Expected-Version",
            )
        ]
        headers = self.codec.dispatch_headers(
            REQUEST + forged, DispatchFields(deadline_s=1.5, replica_id="i-7f3a91c2")
        )
        self.assertNotIn(b"forged", [value for _, value in headers])
        names = [name.lower() for name, _ in headers]
        self.assertNotIn(b"x-key", names)
        self.assertNotIn(b"x-private", names)
        self.assertNotIn(b"connection", names)
        self.assertNotIn(b"last-event-id", names)

    def test_a_dispatch_has_the_callers_and_the_routers_headers(self) -> None:
        fields = DispatchFields(
            1.5, "i-1", "sese880", 0, "-/m/2", 2, 12, "10.2.64.3:8080", "172.20.0.2:8080"
        )
        headers = dict(self.codec.dispatch_headers(REQUEST, fields))
        self.assertEqual(headers[b"X-Model"], b"daka510000")
        self.assertEqual(headers[b"X-Length-Hint"], b"40")
        self.assertEqual(headers[b"X-Deadline-Ms"], b"1500")
        self.assertEqual(headers[b"X-Tenant-Id"], b"sese880")
        self.assertEqual(headers[b"X-Request-Priority"], b"0")
        self.assertEqual(headers[b"X-Cache-Salt"], b"-/m/2")
        self.assertEqual(headers[b"X-Expected-Version"], b"2")
        self.assertEqual(headers[b"Last-Event-Id"], b"12")
        self.assertEqual(headers[b"X-Kv-Fetch"], b"10.2.64.3:8080")
        self.assertEqual(headers[b"X-Kv-Save"], b"172.20.0.2:8080")

    def test_answers_are_read(self) -> None:
        def read(status: int, headers: Headers) -> tuple[bool, bool, bool, int | None]:
            fields = self.codec.read_answer(AnswerHead(status, b"", headers, 0))
            return fields.authentic, fields.not_run, fields.misdirected, fields.weights_version

        self.assertEqual(
            read(200, [(b"X-Server-Signature", b"s"), (b"X-Weight-Versions", b"3")]),
            (True, False, False, 3),
        )
        self.assertEqual(read(503, [(b"X-Not-Executed", b"1")]), (False, True, False, None))
        self.assertEqual(read(421, [(b"X-Instance-Id", b"i")]), (False, False, True, None))
        self.assertEqual(read(503, []), (False, False, False, None))

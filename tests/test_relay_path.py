"""Requests over the relay path, with replicas that fail or misbehave."""

from __future__ import annotations

import asyncio
from unittest import mock

from tests.relay_case import PROMPT_HEADERS, RelayTestCase
from tests.relay_support import (
    KEY,
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    caller_request,
    chunk,
    event,
    never_answering,
    read_answer,
    resetting,
    signed,
    stream_head,
)
from winchfork.core.routing import RouteKind


class WholeAnswerTest(RelayTestCase):
    async def test_the_request_and_its_answer_pass_unchanged(self) -> None:
        replica = ScriptedReplica(answering(lambda r: signed(r, b"pong", extra="X-Own: 1\r\n")))
        relay = await self.relay(replica)
        answer = await relay.ask(
            method="POST", body=b"ping" * 5000, extra="X-Tenant-Id: forged\r\n"
        )
        self.assertEqual((answer.status, answer.body, answer.whole), (200, b"pong", True))
        self.assertEqual(answer.headers["x-server-signature"], "sig")
        self.assertEqual(answer.headers["x-own"], "1")
        seen = replica.received[0]
        self.assertEqual(seen.line, "POST /p/x?q=1 HTTP/1.1")
        self.assertEqual(seen.body, b"ping" * 5000)
        self.assertEqual(seen.headers["x-tenant-id"], "school")
        self.assertEqual(seen.headers["x-expected-instance"], "i-0")
        self.assertLessEqual(int(seen.headers["x-deadline-ms"]), 4000)
        self.assertNotIn(KEY, str(seen.headers))

    async def test_a_chunked_body_arrives_whole(self) -> None:
        replica = ScriptedReplica(answering(lambda r: signed(r, b"ok")))
        relay = await self.relay(replica)
        reader, writer = await relay.connect()
        head = caller_request(method="PUT").replace(
            b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for piece in (head, chunk(b"abc"), chunk(b"d" * 70_000), b"0\r\n\r\n"):
            writer.write(piece)
            await writer.drain()
        self.assertEqual((await read_answer(reader)).body, b"ok")
        self.assertEqual(replica.received[0].body, b"abc" + b"d" * 70_000)
        self.assertNotIn("transfer-encoding", replica.received[0].headers)
        writer.close()

    async def test_connections_are_reused_on_both_sides(self) -> None:
        replica = ScriptedReplica(answering(lambda r: signed(r, b"ok")))
        relay = await self.relay(replica)
        reader, writer = await relay.connect()
        for number in range(5):
            writer.write(caller_request(f"id-{number}"))
            self.assertEqual((await read_answer(reader)).headers["x-request-id"], f"id-{number}")
        self.assertEqual(replica.connections, 1)
        writer.close()

    async def test_a_surplus_answer_is_not_delivered(self) -> None:
        replica = ScriptedReplica(
            answering(lambda r: signed(r, b"first") + signed(r, b"surplus")),
            answering(lambda r: signed(r, b"second")),
        )
        relay = await self.relay(replica)
        self.assertEqual((await relay.ask("id-1")).body, b"first")
        self.assertEqual((await relay.ask("id-2")).body, b"second")

    async def test_a_late_surplus_answer_before_the_next_answer_is_skipped(self) -> None:
        first: list[ReceivedRequest] = []

        async def keep_first(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            first.append(request)
            writer.write(signed(request, b"first"))
            return True

        replica = ScriptedReplica(
            keep_first,
            answering(lambda r: signed(first[0], b"late surplus") + signed(r, b"second")),
        )
        relay = await self.relay(replica, kind=RouteKind.UNSAFE)
        self.assertEqual((await relay.ask("id-1")).body, b"first")
        self.assertEqual((await relay.ask("id-2")).body, b"second")
        self.assertEqual(replica.connections, 1)

    async def test_an_unframed_answer_is_complete_only_after_an_orderly_close(self) -> None:
        def unframed(request: ReceivedRequest) -> bytes:
            return stream_head(request, framing="") + b"body"

        whole = await self.relay(ScriptedReplica(answering(unframed, keep_open=False)))
        answer = await whole.ask()
        self.assertEqual((answer.status, answer.body), (200, b"body"))
        truncated = await self.relay(ScriptedReplica(resetting(unframed)))
        answer = await truncated.ask()
        self.assertEqual(answer.status, 502)
        self.assertNotIn("x-server-signature", answer.headers)

    async def test_a_success_without_proof_of_origin_is_not_delivered(self) -> None:
        def unsigned(request: ReceivedRequest) -> bytes:
            return signed(request, b"rot").replace(b"X-Server-Signature: sig\r\n", b"")

        relay = await self.relay(ScriptedReplica(answering(unsigned)), kind=RouteKind.UNSAFE)
        self.assertEqual((await relay.ask(method="POST")).status, 502)

    async def test_invalid_http_from_a_replica_is_not_delivered(self) -> None:
        replica = ScriptedReplica(answering(lambda r: b"NONSENSE\r\n\r\n"))
        relay = await self.relay(replica, kind=RouteKind.UNSAFE)
        self.assertEqual((await relay.ask(method="POST")).status, 502)
        self.assertEqual(len(replica.received), 1)


class RetryTest(RelayTestCase):
    async def test_a_safe_request_is_retried_at_another_replica_after_a_failure(self) -> None:
        failing = answering(lambda r: signed(r, b"no", "500 Internal Server Error"))
        good = answering(lambda r: signed(r, b"yes"))
        replicas = [ScriptedReplica(failing), ScriptedReplica(good)]
        relay = await self.relay(*replicas)
        answers = [await relay.ask(f"id-{number}") for number in range(4)]
        self.assertEqual({answer.body for answer in answers}, {b"yes"})

    async def test_attempts_are_bounded_and_the_last_failure_is_delivered(self) -> None:
        failing = answering(lambda r: signed(r, b"no", "500 Internal Server Error"))
        replicas = [ScriptedReplica(failing) for _ in range(4)]
        relay = await self.relay(*replicas, max_attempts=2)
        answer = await relay.ask()
        self.assertEqual((answer.status, answer.headers["x-server-signature"]), (500, "sig"))
        self.assertEqual(sum(len(replica.received) for replica in replicas), 2)

    async def test_an_unsafe_request_is_retried_only_after_proof_of_not_run(self) -> None:
        def refusing(request: ReceivedRequest) -> bytes:
            return b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

        replicas = [
            ScriptedReplica(answering(refusing), answering(lambda r: signed(r, b"ran")))
            for _ in range(2)
        ]
        relay = await self.relay(*replicas, kind=RouteKind.UNSAFE, max_attempts=2)
        self.assert_not_run(await relay.ask(method="POST"))
        self.assertEqual(sum(len(replica.received) for replica in replicas), 2)

    async def test_an_unsafe_request_that_may_have_run_is_not_retried(self) -> None:
        replicas = [ScriptedReplica(resetting(lambda r: b"")) for _ in range(3)]
        relay = await self.relay(*replicas, kind=RouteKind.UNSAFE, max_attempts=3)
        self.assertEqual((await relay.ask(method="POST")).status, 502)
        self.assertEqual(sum(len(replica.received) for replica in replicas), 1)

    async def test_a_refusal_after_a_possible_run_is_not_reported_as_not_run(self) -> None:
        def refusing(request: ReceivedRequest) -> bytes:
            return b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

        replicas = [
            ScriptedReplica(resetting(lambda r: b"")),
            ScriptedReplica(answering(refusing)),
        ]
        relay = await self.relay(*replicas, max_attempts=2)
        answer = await relay.ask()
        self.assertEqual([len(replica.received) for replica in replicas], [1, 1])
        self.assertEqual(answer.status, 502)

    async def test_a_refused_connection_does_not_count_as_an_attempt(self) -> None:
        dead, good = (
            ScriptedReplica(never_answering),
            ScriptedReplica(answering(lambda r: signed(r, b"ok"))),
        )
        relay = await self.relay(dead, good, kind=RouteKind.UNSAFE, max_attempts=1)
        await dead.stop()
        for number in range(3):
            self.assertEqual((await relay.ask(f"id-{number}", method="POST")).body, b"ok")


class DrainingTest(RelayTestCase):
    async def test_a_draining_replica_gets_no_new_requests(self) -> None:
        draining, ready = (ScriptedReplica(answering(lambda r: signed(r, b"ok"))) for _ in range(2))
        relay = await self.relay(draining, ready)
        self.assertEqual((await relay.ask("id-1")).status, 200)
        self.assertEqual(len(draining.received), 1)
        relay.add(draining, "i-0", accepting=False)
        for number in range(4):
            self.assertEqual((await relay.ask(f"id-1{number}")).status, 200)
        self.assertEqual((len(draining.received), len(ready.received)), (1, 4))
        relay.add(ready, "i-1", accepting=False)
        self.assert_not_run(await relay.ask("id-9"))


class CallerTest(RelayTestCase):
    async def test_a_disconnect_of_the_caller_ends_the_exchange_with_the_replica(self) -> None:
        replica = ScriptedReplica(never_answering)
        relay = await self.relay(replica)
        _, writer = await relay.connect()
        writer.write(caller_request())
        while not replica.received:
            await asyncio.sleep(0.005)
        writer.close()
        await asyncio.wait_for(replica.closed_by_router.wait(), 10.0)
        self.assertEqual(relay.state.fleet.get("i-0").in_flight, 0)  # type: ignore[union-attr]

    async def test_the_route_timeout_ends_a_request_that_may_have_run(self) -> None:
        replica = ScriptedReplica(never_answering)
        # Long enough for a busy machine to send the request before.
        relay = await self.relay(replica, kind=RouteKind.UNSAFE, timeout_s=2.0)
        answer = await relay.ask(method="POST")
        self.assertEqual(answer.status, 504)
        self.assertEqual(len(replica.received), 1)
        await asyncio.wait_for(replica.closed_by_router.wait(), 10.0)

    async def test_without_a_replica_the_refusal_has_a_retry_after(self) -> None:
        relay = await self.relay(target_latency_s=0.2)
        self.assert_not_run(await relay.ask())


class AdmissionTest(RelayTestCase):
    async def test_a_daemon_without_configuration_answers_503(self) -> None:
        relay = RelayUnderTest()
        await relay.start()
        self.addAsyncCleanup(relay.stop)
        self.assert_not_run(await relay.ask())

    async def test_unknown_routes_and_keys(self) -> None:
        relay = await self.relay(ScriptedReplica(answering(lambda r: signed(r, b"ok"))))
        self.assertEqual((await relay.ask(extra="X-Key: other\r\n")).status, 401)
        reader, writer = await relay.connect()
        writer.write(caller_request().replace(b"/p/x", b"/q/x"))
        self.assertEqual((await read_answer(reader)).status, 404)
        writer.close()

    async def test_a_key_that_cannot_be_verified_is_refused_as_not_run(self) -> None:
        relay = await self.relay(ScriptedReplica(answering(lambda r: signed(r, b"ok"))))
        relay.state.freshness._proven_at_s = relay.state.clock() - 4.0
        self.assert_not_run(await relay.ask())
        self.assertFalse(relay.state.ready)
        self.assert_not_run(await relay.ask(extra="X-Key: other\r\n"))

    async def test_numbers_in_callers_headers_that_cannot_be_read_get_an_answer(self) -> None:
        """Guards against a request that is never answered, because reading it has failed."""
        relay = await self.relay(ScriptedReplica(answering(lambda r: signed(r, b"ok"))))
        digits = b"1" * 5_000
        for number in (digits, b"\xb2"):
            for header, status in (
                (b"X-Token-Usage: %b,20" % number, 400),
                (b"X-Token-Usage: 100,%b" % number, 200),
                (b"X-Prefix-Hash: aa:%b" % number, 400),
                (b"X-Deadline-Ms: %b" % number, 200 if number is digits else 400),
                (b"Last-Event-Id: %b" % number, 200),
            ):
                with self.subTest(header=header[:30]):
                    reader, writer = await relay.connect()
                    request = caller_request().replace(b"X-Deadline-Ms: 4000\r\n", b"")
                    end = b"X-Model: m\r\n%b\r\n\r\n" % header
                    writer.write(request.removesuffix(b"\r\n") + end)
                    async with asyncio.timeout(1.0):
                        answer = await read_answer(reader)
                    self.assertEqual(answer.status, status)
                    writer.close()

    async def test_an_error_in_reading_a_request_is_answered(self) -> None:
        relay = await self.relay(ScriptedReplica(answering(lambda r: signed(r, b"ok"))))
        with mock.patch.object(relay.service.header_codec, "read_request", side_effect=ValueError):
            async with asyncio.timeout(1.0):
                answer = await relay.ask()
        self.assertEqual(answer.status, 502)
        self.assertEqual((await relay.ask()).status, 200)

    async def test_limits_on_callers_input(self) -> None:
        relay = await self.relay(ScriptedReplica(answering(lambda r: signed(r, b"ok"))))
        long = f"X-Long: {'x' * 20_000}\r\n"
        self.assertEqual((await relay.ask(extra=long)).status, 431)
        reader, writer = await relay.connect()
        writer.write(caller_request(method="POST", extra="Content-Length: 99999999\r\n"))
        self.assertIn((await read_answer(reader)).status, (400, 413))
        writer.close()
        reader, writer = await relay.connect()
        writer.write(b"GARBAGE\r\n\r\n")
        self.assertEqual((await read_answer(reader)).status, 400)
        writer.close()

    async def test_a_refusal_names_the_invalid_header(self) -> None:
        relay = await self.relay(ScriptedReplica(answering(lambda r: signed(r, b"ok"))))
        answer = await relay.ask(extra="X-Model: m\r\nX-Prefix-Hash: a:b\r\n")
        self.assertEqual(answer.status, 400)
        self.assertIn(b"X-Prefix-Hash", answer.body)


class StoppingTest(RelayTestCase):
    async def test_a_stop_completes_streams_and_refuses_late_requests(self) -> None:
        may_finish = asyncio.Event()

        async def slow_stream(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(stream_head(request) + chunk(event(1)))
            await may_finish.wait()
            writer.write(chunk(event(2)) + b"0\r\n\r\n")
            return True

        relay = await self.relay(ScriptedReplica(slow_stream), kind=RouteKind.STREAMING)
        idle_reader, idle_writer = await relay.connect()
        asking = asyncio.create_task(relay.ask(method="POST", extra=PROMPT_HEADERS))
        while not relay.service.active_requests:
            await asyncio.sleep(0.005)
        relay.state.stopping = True
        self.assertFalse(relay.state.ready)
        late_reader, late_writer = await relay.connect()
        relay.service.refusing_requests = True
        late_writer.write(caller_request("late"))
        self.assert_not_run(await read_answer(late_reader))
        relay.service.close_callers_when_idle()
        self.assertEqual(await idle_reader.read(), b"")
        may_finish.set()
        answer = await asking
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, event(1) + event(2))
        for writer in (idle_writer, late_writer):
            writer.close()

    async def test_a_stop_does_not_wait_for_a_connection_that_was_opened_late(self) -> None:
        relay = await self.relay(ScriptedReplica(answering(lambda r: signed(r, b"ok"))))
        request = caller_request("early", method="POST", body=b"ping")
        early_reader, early_writer = await relay.connect()
        early_writer.write(request[:-2])
        while not relay.service.busy_connections:
            await asyncio.sleep(0.005)
        relay.state.stopping = True
        relay.service.refusing_requests = True
        relay.service.close_callers_when_idle()
        late_reader, late_writer = await relay.connect()
        late_writer.write(request[:-2].replace(b"early", b"late"))
        opened_later_reader, opened_later_writer = await relay.connect()
        opened_later_writer.write(caller_request("later"))
        self.assert_not_run(await read_answer(opened_later_reader))
        self.assertEqual(relay.service.busy_connections, 1)
        early_writer.write(request[-2:])
        self.assert_not_run(await read_answer(early_reader))
        self.assertEqual(relay.service.busy_connections, 0)
        relay.service.close_late_callers()
        self.assertEqual(await late_reader.read(), b"")
        for writer in (early_writer, late_writer, opened_later_writer):
            writer.close()

"""Tests that the router follows draining and backoff notices in replicas' answers.

Guards against sending requests to a replica that has announced draining while its entry in the
store is outdated, and against ignoring the duration of a requested backoff.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tests.relay_case import PROMPT_HEADERS, RelayTestCase
from tests.relay_support import (
    ReceivedRequest,
    RelayUnderTest,
    ScriptedReplica,
    answering,
    caller_request,
    chunk,
    event,
    resetting,
    signed,
    stream_head,
)
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.replica_notice import (
    BACKOFF_JITTER_SHARE,
    AnswerNotice,
)
from winchfork.core.routing import RouteKind

DRAINING = "Server-Leaving: 1\r\n"
BACKOFF_S = 3.0


def refusing(retry_after: str = "3", extra: str = "X-Not-Executed: 1\r\n") -> ScriptedReplica:
    """Return a replica that refuses all requests and asks for a backoff."""
    return ScriptedReplica(answering(lambda r: refusal(r, retry_after, extra)))


def refusal(
    request: ReceivedRequest,
    retry_after: str,
    extra: str = "X-Not-Executed: 1\r\n",
    status: str = "503 Service Unavailable",
) -> bytes:
    """Return an answer that refuses a request."""
    return (
        f"HTTP/1.1 {status}\r\nX-Request-Id: {request.headers['x-request-id']}\r\n{extra}"
        f"Retry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def healthy() -> ScriptedReplica:
    """Return a replica that answers all requests."""
    return ScriptedReplica(answering(lambda r: signed(r, b"ok")))


class NoticeTestCase(RelayTestCase):
    def pass_time(self, relay: RelayUnderTest, seconds: float) -> None:
        """Advance the router's clock."""
        clock = relay.state.clock
        relay.state.clock = lambda: clock() + seconds

    async def ask(self, relay: RelayUnderTest, times: int = 1, extra: str = "") -> list[int]:
        return [(await relay.ask(f"id-{number}", extra=extra)).status for number in range(times)]


class DrainingTest(NoticeTestCase):
    async def check_drains(self, answer: Callable[[ReceivedRequest], bytes]) -> None:
        """The first replica announces draining in one answer; it must get no more requests."""
        draining = ScriptedReplica(answering(answer), answering(lambda r: signed(r, b"ok")))
        relay = await self.relay(draining, healthy(), max_attempts=1)
        await self.ask(relay)
        self.assertEqual(await self.ask(relay, 6), [200] * 6)
        self.assertEqual(len(draining.received), 1)

    async def test_a_draining_replica_gets_no_more_requests(self) -> None:
        await self.check_drains(lambda r: signed(r, b"ok", extra=DRAINING))

    async def test_draining_is_read_from_any_answer(self) -> None:
        answers = {
            "any case": lambda r: signed(r, b"ok", extra="sERVER-lEAVING:  1 \r\n"),
            "not found": lambda r: signed(r, b"", "404 Not Found", DRAINING),
            "failed": lambda r: signed(r, b"", "500 Failed", DRAINING),
            "refused": lambda r: refusal(r, "0", f"X-Not-Executed: 1\r\n{DRAINING}"),
            "a surplus answer": lambda r: (
                signed(r, b"late", extra=DRAINING).replace(b"id-0", b"id-9") + signed(r, b"ok")
            ),
        }
        for name, answer in answers.items():
            with self.subTest(name):
                await self.check_drains(answer)

    async def test_draining_in_the_head_of_a_stream_applies_before_its_end(self) -> None:
        async def stream(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            head = stream_head(request).replace(b"\r\n\r\n", b"\r\n" + DRAINING.encode() + b"\r\n")
            writer.write(head + chunk(event(1)))
            await asyncio.sleep(0.3)
            writer.write(chunk(event(2)) + b"0\r\n\r\n")
            return True

        draining = ScriptedReplica(stream)
        other = ScriptedReplica(
            answering(lambda r: stream_head(r) + chunk(event(1)) + b"0\r\n\r\n")
        )
        relay = await self.relay(draining, other, kind=RouteKind.STREAMING)
        running = asyncio.create_task(relay.ask("id-0", extra=PROMPT_HEADERS))
        while not relay.state.fleet.get("i-0").notice.draining:  # type: ignore[union-attr]
            await asyncio.sleep(0.01)
        self.assertEqual((await relay.ask("id-1", extra=PROMPT_HEADERS)).status, 200)
        answer = await running
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual((len(draining.received), len(other.received)), (1, 1))

    async def test_draining_is_recorded_even_if_the_caller_disconnects(self) -> None:
        async def announce_and_wait(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(signed(request, b"ok", extra=DRAINING)[:-1])
            await reader.readexactly(1)
            return False

        draining = ScriptedReplica(announce_and_wait)
        relay = await self.relay(draining, healthy())
        _, writer = await relay.connect()
        writer.write(caller_request("id-0"))
        while not relay.state.fleet.get("i-0").notice.draining:  # type: ignore[union-attr]
            await asyncio.sleep(0.01)
        writer.close()
        self.assertEqual(await self.ask(relay, 3), [200] * 3)
        self.assertEqual(len(draining.received), 1)

    async def test_a_retry_and_a_moved_stream_avoid_a_draining_replica(self) -> None:
        draining = ScriptedReplica(answering(lambda r: signed(r, b"ok", extra=DRAINING)))
        truncated = ScriptedReplica(resetting(lambda r: stream_head(r) + chunk(event(1))))
        complete = ScriptedReplica(
            answering(lambda r: stream_head(r) + chunk(event(1)) + chunk(event(2)) + b"0\r\n\r\n")
        )
        relay = await self.relay(draining, kind=RouteKind.STREAMING, resumable=True)
        await self.ask(relay)
        relay.add(truncated, "i-1", versions={"m": 1})
        await truncated.start()
        await complete.start()
        self.addAsyncCleanup(truncated.stop)
        self.addAsyncCleanup(complete.stop)
        relay.add(truncated, "i-1", versions={"m": 1})
        relay.add(complete, "i-2", versions={"m": 1}, zone="z2")
        answer = await relay.ask("id-9", extra=PROMPT_HEADERS)
        self.assertTrue(answer.whole)
        self.assertEqual(len(draining.received), 1)

    async def test_when_all_replicas_drain_the_refusal_gives_the_reason(self) -> None:
        draining = ScriptedReplica(answering(lambda r: signed(r, b"ok", extra=DRAINING)))
        relay = await self.relay(draining)
        await self.ask(relay)
        answer = await relay.ask("id-1", method="POST", body=b"x")
        self.assert_not_run(answer)
        self.assertIn(b"1 of 1 replicas drain", answer.body)
        self.assertEqual(len(draining.received), 1)

    async def test_a_later_incarnation_is_not_draining(self) -> None:
        draining = ScriptedReplica(answering(lambda r: signed(r, b"ok", extra=DRAINING)))
        relay = await self.relay(draining)
        await self.ask(relay)
        self.restart(relay, draining, started_s_ago=-2.0)
        self.assertEqual(await self.ask(relay), [200])

    async def test_a_notice_received_before_the_listing_applies_to_the_new_incarnation(
        self,
    ) -> None:
        """A restarted replica refuses a request with a notice before it is listed.

        Guards against attributing the notice to the earlier incarnation and ignoring it.
        """
        notices = {"draining": DRAINING, "backoff": ""}
        for name, extra in notices.items():
            with self.subTest(name):
                restarted = refusing("3", f"X-Not-Executed: 1\r\n{extra}")
                relay = await self.relay(restarted, healthy())
                await self.ask(relay)
                self.restart(relay, restarted, started_s_ago=1.7)
                candidates = relay.state.replica_selector.candidates("s", set())
                self.assertEqual([replica.replica_id for replica in candidates], ["i-1"])
                self.assertEqual(await self.ask(relay, 3), [200] * 3)
                self.assertEqual(len(restarted.received), 1)

    async def test_a_notice_received_after_the_listing_of_a_restart_applies_too(self) -> None:
        """The request was sent to the earlier incarnation and answered by the new one."""
        relay = await self.relay(healthy())
        previous = relay.state.fleet.get("i-0")
        assert previous is not None
        self.restart(relay, ScriptedReplica(), started_s_ago=1.7)
        relay.state.notices.record(previous, AnswerNotice(draining=True))
        self.assertEqual(relay.state.replica_selector.candidates("s", set()), [])

    def restart(
        self, relay: RelayUnderTest, replica: ScriptedReplica, started_s_ago: float
    ) -> None:
        """List a later incarnation under the id of the first replica."""
        relay.state.fleet.remove("i-0")
        started_at_ms = int((relay.state.notices.wall_clock() - started_s_ago) * 1000)
        listing = ReplicaListing(
            "i-0", "s", replica.address, "z1", 8, True, {"m": 1}, started_at_ms=started_at_ms
        )
        relay.state.install_listing(listing)

    async def test_broken_streams_of_a_draining_replica_are_not_counted_as_crashes(self) -> None:
        """A draining replica may close its connections before its requests end."""

        def truncating(extra: str) -> ScriptedReplica:
            head = b"\r\n" + extra.encode() + b"\r\n"
            return ScriptedReplica(
                resetting(lambda r: stream_head(r).replace(b"\r\n\r\n", head) + chunk(event(1)))
            )

        for extra, breaks in ((DRAINING, 0), ("X-Own: 1\r\n", 1)):
            relay = await self.relay(truncating(extra), kind=RouteKind.STREAMING)
            broken: list[RelayReplica] = []
            relay.state.crashes.on_connection_broken = broken.append
            self.assertFalse((await relay.ask(extra=PROMPT_HEADERS)).whole)
            self.assertEqual(len(broken), breaks, extra)

    async def test_a_new_listing_does_not_revoke_draining(self) -> None:
        draining = ScriptedReplica(answering(lambda r: signed(r, b"ok", extra=DRAINING)))
        relay = await self.relay(draining, healthy())
        await self.ask(relay)
        relay.add(draining, "i-0", versions={"m": 2})
        await self.ask(relay, 2)
        relay.state.fleet.remove("i-0")
        relay.add(draining, "i-0", versions={"m": 1})
        await self.ask(relay, 2)
        self.assertEqual(len(draining.received), 1)


class BackoffTest(NoticeTestCase):
    async def test_no_request_is_sent_during_a_backoff(self) -> None:
        pausing = refusing()
        relay = await self.relay(pausing, healthy())
        await self.ask(relay)
        for _ in range(5):
            self.pass_time(relay, 0.55)
            self.assertEqual(await self.ask(relay, 2, PROMPT_HEADERS), [200] * 2)
        self.assertEqual(len(pausing.received), 1)

    async def test_a_single_trial_request_is_sent_after_a_backoff(self) -> None:
        """Of a burst after the backoff one request reaches the replica; it is refused again."""
        pausing = refusing()
        relay = await self.relay(pausing, healthy())
        await self.ask(relay)
        self.pass_time(relay, BACKOFF_S * (1.0 + BACKOFF_JITTER_SHARE))
        answers = await asyncio.gather(*(relay.ask(f"burst-{number}") for number in range(5)))
        self.assertEqual([answer.status for answer in answers], [200] * 5)
        self.assertEqual(len(pausing.received), 2)

    async def test_an_accepted_trial_request_ends_the_pause(self) -> None:
        pausing = ScriptedReplica(
            answering(lambda r: refusal(r, "3")), answering(lambda r: signed(r, b"ok"))
        )
        relay = await self.relay(pausing, healthy())
        await self.ask(relay)
        self.pass_time(relay, BACKOFF_S * (1.0 + BACKOFF_JITTER_SHARE))
        await self.ask(relay, 6)
        self.assertEqual(len(pausing.received), 7)

    async def test_a_shorter_backoff_does_not_replace_a_longer_one(self) -> None:
        pausing = ScriptedReplica(
            answering(lambda r: refusal(r, "3")), answering(lambda r: refusal(r, "0.5"))
        )
        relay = await self.relay(pausing, healthy())
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        await self.ask(relay)
        until_s = replica.notice.backoff_until_s
        relay.state.notices.record(replica, AnswerNotice(backoff_s=0.5))
        self.assertEqual(replica.notice.backoff_until_s, until_s)

    async def test_retry_after_is_the_time_until_the_first_replica_is_available(self) -> None:
        """Guards against a Retry-After at which all replicas are still paused."""
        relay = await self.relay(refusing("3"), refusing("2"), max_attempts=2)
        answer = await relay.ask()
        self.assert_not_run(answer)
        self.assertGreaterEqual(float(answer.headers["retry-after"]), 1.9)

    async def test_a_request_is_refused_at_once_if_all_backoffs_are_long(self) -> None:
        pausing = refusing("9")
        relay = await self.relay(pausing, max_attempts=1)
        await self.ask(relay)
        answer = await relay.ask("id-1")
        self.assert_not_run(answer)
        self.assertGreaterEqual(float(answer.headers["retry-after"]), 8.5)
        self.assertIn(b"1 of 1 replicas back off", answer.body)
        self.assertEqual(len(pausing.received), 1)

    async def test_a_request_waits_for_a_short_backoff(self) -> None:
        pausing = ScriptedReplica(
            answering(lambda r: refusal(r, "0.3")), answering(lambda r: signed(r, b"ok"))
        )
        relay = await self.relay(pausing, max_attempts=1)
        await self.ask(relay)
        self.assertEqual((await relay.ask("id-1")).status, 200)
        self.assertEqual(len(pausing.received), 2)

    async def test_a_request_that_could_not_end_in_time_is_refused_at_once(self) -> None:
        """The backoff ends before the deadline, but not early enough for a run of 0.5 s."""
        pausing = refusing("3.7")
        relay = await self.relay(pausing, max_attempts=1)
        relay.state.run_s_per_token = 0.5 / 20
        await self.ask(relay)
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        sent_s = relay.state.clock()
        self.assert_not_run(await relay.ask("id-1", extra=PROMPT_HEADERS))
        self.assertLess(relay.state.clock(), sent_s + 2.0)

    async def test_a_request_placed_before_a_backoff_is_not_sent_during_it(self) -> None:
        """While its connection opens, the replica asks for a backoff on another connection."""
        pausing = refusing()
        relay = await self.relay(pausing, healthy())
        open_one = relay.pool._open_one
        notified = asyncio.Event()

        async def open_late(address: str) -> object:
            if address == pausing.address and not notified.is_set():
                notified.set()
                await self.ask(relay)
            return await open_one(address)

        relay.pool._open_one = open_late  # type: ignore[method-assign, assignment]
        self.assertEqual(await self.ask(relay), [200])
        self.assertEqual(len(pausing.received), 1)

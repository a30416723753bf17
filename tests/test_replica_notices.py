"""Replicas that say in their answers that they leave, or that they want no requests for a while.

A replica said that it leaves while the store could not be reached, so that its entry went on
saying "ready". The routers took leaving from the entry alone: eleven seconds after a router had
passed on an answer that said it, the router sent that replica two more requests (`request_sent ...
weighed=9`, all nine replicas of the service), and stopped only at `replica_listed ...
accepting=False`, 11.8 s after that answer. Another replica turned requests away and asked each
router for 3 s of rest. A router left it alone for 0.3 s whatever it asked for and sent it ten
requests in 4 s, 0.30 to 0.50 s apart; in six seconds 103 requests of all routers ended refused
(`outcome=overloaded reason="replica answered 503"`), 94 of them after one try.
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

LEAVING = "Server-Leaving: 1\r\n"
REST_S = 3.0


def turned_away(retry_after: str = "3", extra: str = "X-Not-Executed: 1\r\n") -> ScriptedReplica:
    """Return a replica that runs nothing and asks for rest."""
    return ScriptedReplica(answering(lambda r: refusal(r, retry_after, extra)))


def refusal(
    request: ReceivedRequest,
    retry_after: str,
    extra: str = "X-Not-Executed: 1\r\n",
    status: str = "503 Service Unavailable",
) -> bytes:
    """Return an answer that turns a request away."""
    return (
        f"HTTP/1.1 {status}\r\nX-Request-Id: {request.headers['x-request-id']}\r\n{extra}"
        f"Retry-After: {retry_after}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def sound() -> ScriptedReplica:
    """Return a replica that answers whatever it is asked."""
    return ScriptedReplica(answering(lambda r: signed(r, b"ok")))


class NoticeTestCase(RelayTestCase):
    def pass_time(self, relay: RelayUnderTest, seconds: float) -> None:
        """Put the router's clock forward."""
        clock = relay.state.clock
        relay.state.clock = lambda: clock() + seconds

    async def ask(self, relay: RelayUnderTest, times: int = 1, extra: str = "") -> list[int]:
        return [(await relay.ask(f"id-{number}", extra=extra)).status for number in range(times)]


class DrainingTest(NoticeTestCase):
    async def leave(self, answer: Callable[[ReceivedRequest], bytes]) -> None:
        """The first replica says once, in this answer, that it leaves; it must get nothing more."""
        leaving = ScriptedReplica(answering(answer), answering(lambda r: signed(r, b"ok")))
        relay = await self.relay(leaving, sound(), max_attempts=1)
        await self.ask(relay)
        self.assertEqual(await self.ask(relay, 6), [200] * 6)
        self.assertEqual(len(leaving.received), 1)

    async def test_a_replica_that_said_it_leaves_gets_nothing_more(self) -> None:
        await self.leave(lambda r: signed(r, b"ok", extra=LEAVING))

    async def test_whatever_answer_says_it(self) -> None:
        answers = {
            "any case": lambda r: signed(r, b"ok", extra="sERVER-lEAVING:  1 \r\n"),
            "not found": lambda r: signed(r, b"", "404 Not Found", LEAVING),
            "failed": lambda r: signed(r, b"", "500 Failed", LEAVING),
            "turned away": lambda r: refusal(r, "0", f"X-Not-Executed: 1\r\n{LEAVING}"),
            "a surplus answer": lambda r: (
                signed(r, b"late", extra=LEAVING).replace(b"id-0", b"id-9") + signed(r, b"ok")
            ),
        }
        for name, answer in answers.items():
            with self.subTest(name):
                await self.leave(answer)

    async def test_the_head_of_a_stream_says_it_before_the_stream_ends(self) -> None:
        async def stream(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            head = stream_head(request).replace(b"\r\n\r\n", b"\r\n" + LEAVING.encode() + b"\r\n")
            writer.write(head + chunk(event(1)))
            await asyncio.sleep(0.3)
            writer.write(chunk(event(2)) + b"0\r\n\r\n")
            return True

        leaving = ScriptedReplica(stream)
        other = ScriptedReplica(
            answering(lambda r: stream_head(r) + chunk(event(1)) + b"0\r\n\r\n")
        )
        relay = await self.relay(leaving, other, kind=RouteKind.STREAMING)
        running = asyncio.create_task(relay.ask("id-0", extra=PROMPT_HEADERS))
        while not relay.state.fleet.get("i-0").notice.draining:  # type: ignore[union-attr]
            await asyncio.sleep(0.01)
        self.assertEqual((await relay.ask("id-1", extra=PROMPT_HEADERS)).status, 200)
        answer = await running
        self.assertEqual((answer.status, answer.whole), (200, True))
        self.assertEqual((len(leaving.received), len(other.received)), (1, 1))

    async def test_a_caller_that_has_gone_leaves_the_word_behind(self) -> None:
        async def say_it_and_wait(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            writer.write(signed(request, b"ok", extra=LEAVING)[:-1])
            await reader.readexactly(1)
            return False

        leaving = ScriptedReplica(say_it_and_wait)
        relay = await self.relay(leaving, sound())
        _, writer = await relay.connect()
        writer.write(caller_request("id-0"))
        while not relay.state.fleet.get("i-0").notice.draining:  # type: ignore[union-attr]
            await asyncio.sleep(0.01)
        writer.close()
        self.assertEqual(await self.ask(relay, 3), [200] * 3)
        self.assertEqual(len(leaving.received), 1)

    async def test_a_repeat_and_a_stream_that_moves_go_elsewhere(self) -> None:
        leaving = ScriptedReplica(answering(lambda r: signed(r, b"ok", extra=LEAVING)))
        torn = ScriptedReplica(resetting(lambda r: stream_head(r) + chunk(event(1))))
        whole = ScriptedReplica(
            answering(lambda r: stream_head(r) + chunk(event(1)) + chunk(event(2)) + b"0\r\n\r\n")
        )
        relay = await self.relay(leaving, kind=RouteKind.STREAMING, resumable=True)
        await self.ask(relay)
        relay.add(torn, "i-1", versions={"m": 1})
        await torn.start()
        await whole.start()
        self.addAsyncCleanup(torn.stop)
        self.addAsyncCleanup(whole.stop)
        relay.add(torn, "i-1", versions={"m": 1})
        relay.add(whole, "i-2", versions={"m": 1}, zone="z2")
        answer = await relay.ask("id-9", extra=PROMPT_HEADERS)
        self.assertTrue(answer.whole)
        self.assertEqual(len(leaving.received), 1)

    async def test_when_all_leave_nothing_is_sent_and_the_reason_says_so(self) -> None:
        leaving = ScriptedReplica(answering(lambda r: signed(r, b"ok", extra=LEAVING)))
        relay = await self.relay(leaving)
        await self.ask(relay)
        answer = await relay.ask("id-1", method="POST", body=b"x")
        self.assert_not_run(answer)
        self.assertIn(b"1 of 1 replicas drain", answer.body)
        self.assertEqual(len(leaving.received), 1)

    async def test_a_later_incarnation_has_said_nothing(self) -> None:
        leaving = ScriptedReplica(answering(lambda r: signed(r, b"ok", extra=LEAVING)))
        relay = await self.relay(leaving)
        await self.ask(relay)
        self.restart(relay, leaving, started_s_ago=-2.0)
        self.assertEqual(await self.ask(relay), [200])

    async def test_what_it_said_before_it_was_listed_is_its_own_word(self) -> None:
        """A replica came back under its id and turned a request away; it was listed 1.7 s later.

        The router logged "replica_notice replica=i-model-1 notice=backoff backoff_s=2.21935" at
        6.808 s, of an incarnation that had started at 5.124 s, and "replica_gone" and
        "replica_listed ... born_ms=..." at 8.477 s. It took the word for the former life's, and
        sent the replica three more requests within its rest.
        """
        says = {"leaves": LEAVING, "rests": ""}
        for name, extra in says.items():
            with self.subTest(name):
                speaker = turned_away("3", f"X-Not-Executed: 1\r\n{extra}")
                relay = await self.relay(speaker, sound())
                await self.ask(relay)
                self.restart(relay, speaker, started_s_ago=1.7)
                open_now = relay.state.replica_selector.candidates("s", set())
                self.assertEqual([replica.replica_id for replica in open_now], ["i-1"])
                self.assertEqual(await self.ask(relay, 3), [200] * 3)
                self.assertEqual(len(speaker.received), 1)

    async def test_a_word_that_comes_after_the_list_told_of_the_restart(self) -> None:
        """The request was sent to the former life's address, and the new one answers it."""
        relay = await self.relay(sound())
        former = relay.state.fleet.get("i-0")
        assert former is not None
        self.restart(relay, ScriptedReplica(), started_s_ago=1.7)
        relay.state.notices.record(former, AnswerNotice(draining=True))
        self.assertEqual(relay.state.replica_selector.candidates("s", set()), [])

    def restart(
        self, relay: RelayUnderTest, replica: ScriptedReplica, started_s_ago: float
    ) -> None:
        """List a later incarnation under the id of the first replica."""
        relay.state.fleet.remove("i-0")
        born_ms = int((relay.state.notices.wall_clock() - started_s_ago) * 1000)
        listing = ReplicaListing(
            "i-0", "s", replica.address, "z1", 8, True, {"m": 1}, started_at_ms=born_ms
        )
        relay.state.install_listing(listing)

    async def test_its_runs_that_break_are_held_against_no_request(self) -> None:
        """A replica that leaves may cut what it runs, as planned."""

        def torn(extra: str) -> ScriptedReplica:
            head = b"\r\n" + extra.encode() + b"\r\n"
            return ScriptedReplica(
                resetting(lambda r: stream_head(r).replace(b"\r\n\r\n", head) + chunk(event(1)))
            )

        for extra, breaks in ((LEAVING, 0), ("X-Own: 1\r\n", 1)):
            relay = await self.relay(torn(extra), kind=RouteKind.STREAMING)
            broken: list[RelayReplica] = []
            relay.state.crashes.on_connection_broken = broken.append
            self.assertFalse((await relay.ask(extra=PROMPT_HEADERS)).whole)
            self.assertEqual(len(broken), breaks, extra)

    async def test_nothing_that_the_store_says_takes_the_word_back(self) -> None:
        leaving = ScriptedReplica(answering(lambda r: signed(r, b"ok", extra=LEAVING)))
        relay = await self.relay(leaving, sound())
        await self.ask(relay)
        relay.add(leaving, "i-0", versions={"m": 2})
        await self.ask(relay, 2)
        relay.state.fleet.remove("i-0")
        relay.add(leaving, "i-0", versions={"m": 1})
        await self.ask(relay, 2)
        self.assertEqual(len(leaving.received), 1)


class BackoffTest(NoticeTestCase):
    async def test_a_replica_that_wants_rest_gets_nothing_for_so_long(self) -> None:
        resting = turned_away()
        relay = await self.relay(resting, sound())
        await self.ask(relay)
        for _ in range(5):
            self.pass_time(relay, 0.55)
            self.assertEqual(await self.ask(relay, 2, PROMPT_HEADERS), [200] * 2)
        self.assertEqual(len(resting.received), 1)

    async def test_after_it_one_request_goes_first(self) -> None:
        """Of a burst after the rest one reaches the replica; it is turned away, the rest is not."""
        resting = turned_away()
        relay = await self.relay(resting, sound())
        await self.ask(relay)
        self.pass_time(relay, REST_S * (1.0 + BACKOFF_JITTER_SHARE))
        answers = await asyncio.gather(*(relay.ask(f"burst-{number}") for number in range(5)))
        self.assertEqual([answer.status for answer in answers], [200] * 5)
        self.assertEqual(len(resting.received), 2)

    async def test_once_it_takes_requests_again_it_gets_as_many_as_before(self) -> None:
        resting = ScriptedReplica(
            answering(lambda r: refusal(r, "3")), answering(lambda r: signed(r, b"ok"))
        )
        relay = await self.relay(resting, sound())
        await self.ask(relay)
        self.pass_time(relay, REST_S * (1.0 + BACKOFF_JITTER_SHARE))
        await self.ask(relay, 6)
        self.assertEqual(len(resting.received), 7)

    async def test_the_later_of_two_ends_holds(self) -> None:
        resting = ScriptedReplica(
            answering(lambda r: refusal(r, "3")), answering(lambda r: refusal(r, "0.5"))
        )
        relay = await self.relay(resting, sound())
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        await self.ask(relay)
        until_s = replica.notice.backoff_until_s
        relay.state.notices.record(replica, AnswerNotice(backoff_s=0.5))
        self.assertEqual(replica.notice.backoff_until_s, until_s)

    async def test_who_is_turned_away_by_the_last_is_told_when_the_first_takes_requests(
        self,
    ) -> None:
        """It was told to come back after a quarter of a second, and found all at rest."""
        relay = await self.relay(turned_away("3"), turned_away("2"), max_attempts=2)
        answer = await relay.ask()
        self.assert_not_run(answer)
        self.assertGreaterEqual(float(answer.headers["retry-after"]), 1.9)

    async def test_when_all_rest_for_long_a_request_is_refused_at_once(self) -> None:
        resting = turned_away("9")
        relay = await self.relay(resting, max_attempts=1)
        await self.ask(relay)
        answer = await relay.ask("id-1")
        self.assert_not_run(answer)
        self.assertGreaterEqual(float(answer.headers["retry-after"]), 8.5)
        self.assertIn(b"1 of 1 replicas back off", answer.body)
        self.assertEqual(len(resting.received), 1)

    async def test_when_all_rest_shortly_a_request_waits_and_is_served(self) -> None:
        resting = ScriptedReplica(
            answering(lambda r: refusal(r, "0.3")), answering(lambda r: signed(r, b"ok"))
        )
        relay = await self.relay(resting, max_attempts=1)
        await self.ask(relay)
        self.assertEqual((await relay.ask("id-1")).status, 200)
        self.assertEqual(len(resting.received), 2)

    async def test_a_request_that_could_not_end_in_time_after_it_is_refused_at_once(self) -> None:
        """The rest ends before the deadline, but not early enough for a run of half a second."""
        resting = turned_away("3.7")
        relay = await self.relay(resting, max_attempts=1)
        relay.state.run_s_per_token = 0.5 / 20
        await self.ask(relay)
        replica = relay.state.fleet.get("i-0")
        assert replica is not None
        asked_s = relay.state.clock()
        self.assert_not_run(await relay.ask("id-1", extra=PROMPT_HEADERS))
        self.assertLess(relay.state.clock(), asked_s + 2.0)

    async def test_a_request_chosen_before_the_word_came_is_not_sent_after_it(self) -> None:
        """While its connection comes up, the replica asks for rest on another connection."""
        resting = turned_away()
        relay = await self.relay(resting, sound())
        open_one = relay.pool._open_one
        told = asyncio.Event()

        async def open_late(address: str) -> object:
            if address == resting.address and not told.is_set():
                told.set()
                await self.ask(relay)
            return await open_one(address)

        relay.pool._open_one = open_late  # type: ignore[method-assign, assignment]
        self.assertEqual(await self.ask(relay), [200])
        self.assertEqual(len(resting.received), 1)

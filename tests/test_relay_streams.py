"""Streams over the relay path, with replicas that fail or misbehave."""

from __future__ import annotations

import asyncio

from tests.relay_case import PROMPT_HEADERS, RelayTestCase
from tests.relay_support import (
    ReceivedRequest,
    ScriptedReplica,
    answering,
    chunk,
    event,
    resetting,
    signed,
    stream_head,
)
from winchfork.core.routing import RouteKind
from winchfork.core.weight_rollout import VersionHistory
from winchfork.errors import Failure
from winchfork.router.replica_connection import ReplicaConnection


class StreamTest(RelayTestCase):
    async def test_all_events_are_delivered_and_the_stream_completes(self) -> None:
        def stream(request: ReceivedRequest) -> bytes:
            pieces = b"".join(chunk(event(number)) for number in range(1, 4))
            return stream_head(request) + pieces + b"0\r\n\r\n"

        replica = ScriptedReplica(answering(stream))
        relay = await self.relay(replica, kind=RouteKind.STREAMING)
        answer = await relay.ask(method="POST", extra=PROMPT_HEADERS)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, event(1) + event(2) + event(3))
        seen = replica.received[0].headers
        self.assertEqual((seen["x-expected-version"], seen["x-cache-salt"]), ("1", "-/m/1"))

    async def test_a_stream_that_ends_inside_an_event_is_truncated_whatever_its_framing(
        self,
    ) -> None:
        def cut_short(request: ReceivedRequest) -> bytes:
            pieces = chunk(event(1)) + chunk(b"id: 2\ndata: pie")
            return stream_head(request) + pieces + b"0\r\n\r\n"

        relay = await self.relay(
            ScriptedReplica(answering(cut_short)), kind=RouteKind.STREAMING, max_attempts=1
        )
        answer = await relay.ask(method="POST", extra=PROMPT_HEADERS)
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, event(1))

    async def test_a_truncated_stream_that_cannot_be_resumed_is_truncated_for_the_caller(
        self,
    ) -> None:
        def truncated(request: ReceivedRequest) -> bytes:
            return stream_head(request) + chunk(event(1)) + chunk(b"id: 2\ndata: pie")

        replica = ScriptedReplica(resetting(truncated))
        relay = await self.relay(replica, kind=RouteKind.STREAMING, max_attempts=2)
        answer = await relay.ask(method="POST", extra=PROMPT_HEADERS)
        self.assertFalse(answer.whole)
        self.assertEqual(answer.body, event(1))
        self.assertEqual(len(replica.received), 1)

    async def test_a_truncated_stream_resumes_elsewhere_after_its_last_whole_event(self) -> None:
        def truncated(request: ReceivedRequest) -> bytes:
            return stream_head(request) + chunk(event(1) + event(2)) + chunk(b"id: 3\ndata: pi")

        def rest(request: ReceivedRequest) -> bytes:
            after = int(request.headers.get("last-event-id", "0"))
            pieces = b"".join(chunk(event(number)) for number in range(after + 1, 5))
            return stream_head(request) + pieces + b"0\r\n\r\n"

        replicas = [ScriptedReplica(resetting(truncated)), ScriptedReplica(answering(rest))]
        relay = await self.relay(*replicas, kind=RouteKind.STREAMING, resumable=True)
        answer = await relay.ask(method="POST", extra=PROMPT_HEADERS)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, b"".join(event(number) for number in range(1, 5)))
        self.assertEqual([len(replica.received) for replica in replicas], [1, 1])

    async def test_a_resumed_stream_has_no_gap_and_no_duplicate_event(self) -> None:
        def truncated(request: ReceivedRequest) -> bytes:
            return stream_head(request) + chunk(event(1) + event(2)) + chunk(b"id: 3\ndata: pi")

        def rest(request: ReceivedRequest) -> bytes:
            self.assertEqual(request.headers["last-event-id"], "2")
            pieces = chunk(event(2)) + chunk(event(3))
            return stream_head(request) + pieces + b"0\r\n\r\n"

        replicas = [ScriptedReplica(resetting(truncated)), ScriptedReplica(answering(rest))]
        relay = await self.relay(*replicas, kind=RouteKind.STREAMING, resumable=True)
        answer = await relay.ask(method="POST", extra=PROMPT_HEADERS)
        self.assertTrue(answer.whole)
        self.assertEqual(answer.body, event(1) + event(2) + event(3))

    async def test_a_refused_weights_version_is_retried_at_the_same_replica(self) -> None:
        def other_version(request: ReceivedRequest) -> bytes:
            return (
                b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Instance-Id: i-0\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

        def stream(request: ReceivedRequest) -> bytes:
            return stream_head(request) + chunk(event(1)) + b"0\r\n\r\n"

        replica = ScriptedReplica(answering(other_version), answering(stream))
        relay = await self.relay(replica, kind=RouteKind.STREAMING, max_attempts=1)
        relay.state.weights_versions["m"] = VersionHistory()
        relay.state.weights_versions["m"].add(2, relay.state.clock())
        answer = await relay.ask(method="POST", extra=PROMPT_HEADERS)
        self.assertEqual((answer.status, answer.body), (200, event(1)))
        self.assertEqual(replica.received[1].headers["x-expected-version"], "2")
        self.assertEqual(replica.received[1].headers["x-cache-salt"], "-/m/2")

    async def test_a_refusal_does_not_raise_the_assumed_version_too_far(self) -> None:
        """Guards against a replica that refuses every request since its assumed version is too new.

        An assumed version is never lowered, so it may only be raised to the next version.
        """

        def by_version(request: ReceivedRequest) -> bytes:
            if request.headers["x-expected-version"] == "3":
                return stream_head(request) + chunk(event(1)) + b"0\r\n\r\n"
            return (
                b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Instance-Id: i-0\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

        replica = ScriptedReplica(*[answering(by_version)] * 4)
        relay = await self.relay(replica, kind=RouteKind.STREAMING, max_attempts=1)
        relay.state.weights_versions["m"] = VersionHistory()
        for version in (2, 3, 4, 5):
            relay.state.weights_versions["m"].add(version, relay.state.clock())
        self.assert_not_run(await relay.ask(method="POST", extra=PROMPT_HEADERS))
        answer = await relay.ask("id-2", method="POST", extra=PROMPT_HEADERS)
        self.assertEqual((answer.status, answer.body), (200, event(1)))
        versions = [replica.versions["m"] for replica in relay.state.fleet.replicas()]
        self.assertEqual(versions, [3])

    async def test_weights_that_expire_while_a_connection_is_opened_are_not_used(
        self,
    ) -> None:
        """Guards against a placement that is outdated once the connection is open."""

        def stream(request: ReceivedRequest) -> bytes:
            return stream_head(request) + chunk(event(1)) + b"0\r\n\r\n"

        replica = ScriptedReplica(answering(stream))
        relay = await self.relay(replica, kind=RouteKind.STREAMING, max_attempts=1, timeout_s=0.3)
        history = relay.state.weights_versions["m"] = VersionHistory()
        open_new = relay.pool.open_new

        async def open_late(address: str, limit: int) -> ReplicaConnection | Failure:
            connection = await open_new(address, limit)
            history.add(2, relay.state.clock() - relay.state.settings.bounds.weights_s)
            return connection

        relay.pool.open_new = open_late  # type: ignore[method-assign]
        self.assert_not_run(await relay.ask(method="POST", extra=PROMPT_HEADERS))
        self.assertEqual(replica.received, [])

    async def test_a_hold_that_begins_while_a_connection_is_opened_is_waited_for(self) -> None:
        """Guards against excluding the only replica for a hold of 0.2 s."""
        replica = ScriptedReplica(answering(lambda request: signed(request, b"pong")))
        relay = await self.relay(replica, max_attempts=3)
        open_new = relay.pool.open_new
        holds = [0.2]

        async def open_late(address: str, limit: int) -> ReplicaConnection | Failure:
            connection = await open_new(address, limit)
            for known in relay.state.fleet.replicas():
                known.loading_until_s = relay.state.clock() + holds.pop() if holds else 0.0
            return connection

        relay.pool.open_new = open_late  # type: ignore[method-assign]
        self.assertEqual((await relay.ask()).status, 200)
        self.assertEqual(len(replica.received), 1)

    async def test_another_replica_at_the_address_gets_no_further_request(self) -> None:
        def misdirected(request: ReceivedRequest) -> bytes:
            return (
                b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Instance-Id: i-other\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

        replica = ScriptedReplica(answering(misdirected))
        relay = await self.relay(replica, kind=RouteKind.STREAMING, max_attempts=2)
        relay.state.weights_versions["m"] = VersionHistory()
        relay.state.weights_versions["m"].add(2, relay.state.clock())
        self.assert_not_run(await relay.ask(method="POST", extra=PROMPT_HEADERS))
        self.assertEqual(len(replica.received), 1)
        self.assert_not_run(await relay.ask("id-2", method="POST", extra=PROMPT_HEADERS))
        self.assertEqual(len(replica.received), 1)

    async def test_an_outdated_entry_does_not_exclude_the_running_incarnation(self) -> None:
        """Guards against a replica that is excluded by late entries of its earlier incarnations.

        Its refusal of their requests (421) identifies the incarnation that runs at the address.
        """

        def answer_as_running(request: ReceivedRequest) -> bytes:
            if request.headers["x-expected-instance"] == "i-living":
                return signed(request, b"pong")
            return (
                b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Instance-Id: i-living\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

        replica = ScriptedReplica(answering(answer_as_running))
        relay = await self.relay(replica, max_attempts=1)
        relay.state.fleet.remove("i-0")
        for replica_id in ("i-living", "i-between", "i-late"):
            relay.add(replica, replica_id)
        self.assert_not_run(await relay.ask("id-1"))
        answers = [await relay.ask(f"id-{number}") for number in range(2, 5)]
        self.assertEqual([answer.status for answer in answers], [200] * 3)
        self.assertEqual(len(replica.received), 4)

    async def test_an_answer_restores_a_replica_that_a_late_entry_superseded(self) -> None:
        """Guards against excluding a replica that is still running a request."""
        late_is_listed = asyncio.Event()

        async def answer_after_the_entry(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            await late_is_listed.wait()
            writer.write(signed(request, b"pong"))
            return True

        replica = ScriptedReplica(answer_after_the_entry)
        relay = await self.relay(replica)
        running = asyncio.create_task(relay.ask("id-1"))
        while not replica.received and not running.done():
            await asyncio.sleep(0)
        relay.add(replica, "i-late")
        late_is_listed.set()
        self.assertEqual((await running).status, 200)
        self.assertEqual((await relay.ask("id-2")).status, 200)
        self.assertEqual(replica.received[1].headers["x-expected-instance"], "i-0")

    async def test_a_version_refusal_restores_a_replica_that_a_late_entry_superseded(self) -> None:
        late_is_listed = asyncio.Event()

        async def refuse_after_the_entry(
            request: ReceivedRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> bool:
            await late_is_listed.wait()
            writer.write(
                b"HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nX-Instance-Id: i-0\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            return True

        replica = ScriptedReplica(refuse_after_the_entry)
        relay = await self.relay(replica, kind=RouteKind.STREAMING, max_attempts=1)
        relay.state.weights_versions["m"] = VersionHistory()
        relay.state.weights_versions["m"].add(1, relay.state.clock())
        running = asyncio.create_task(relay.ask(method="POST", extra=PROMPT_HEADERS))
        while not replica.received and not running.done():
            await asyncio.sleep(0)
        relay.add(replica, "i-late", versions={"m": 1})
        late_is_listed.set()
        self.assert_not_run(await running)
        accepting = [item.replica_id for item in relay.state.fleet.replicas() if item.accepting]
        self.assertEqual(accepting, ["i-0"])

"""Requests that continue a stream at one router: bound to its origin, or refused at once."""

from __future__ import annotations

import asyncio

import msgspec

from tests.relay_case import PROMPT_HEADERS
from tests.relay_support import (
    KEY,
    URGENT_KEY,
    ReceivedAnswer,
    ReceivedRequest,
    ScriptedReplica,
    answering,
    caller_request,
    chunk,
    event,
    resetting,
    stream_head,
)
from tests.stream_case import StreamTestCase, begun, full, rest
from tests.stream_origin_fleet import attempt
from winchfork.core.routing import RouteKind, RoutingTable, Service, ServiceShare
from winchfork.core.software_history import SoftwareHistory
from winchfork.core.stream_origin import StreamOrigin, stream_key
from winchfork.errors import Failure, FailureKind
from winchfork.router.stream_origins import (
    DEADLINE_MARGIN_S,
    LIFETIME_ATTEMPTS,
    OriginQuestion,
    PeersAnswer,
)

SECOND_HALF = b"".join(event(number) for number in (3, 4, 5, 6))


def third(request: ReceivedRequest) -> bytes:
    """Return the third event of a stream."""
    return stream_head(request) + chunk(event(3))


class ContinuedStreamsTest(StreamTestCase):
    async def asyncSetUp(self) -> None:
        # One attempt an answer, so that a broken stream is continued by its caller.
        self.first = ScriptedReplica(resetting(begun), answering(rest))
        self.other = ScriptedReplica(answering(rest))
        self.same = ScriptedReplica(answering(rest))
        self.stream_relay = await self.relay(
            self.first,
            self.other,
            self.same,
            kind=RouteKind.STREAMING,
            resumable=True,
            max_attempts=1,
        )
        for replica, number, software in ((self.other, 1, "v1.1"), (self.same, 2, "v1")):
            self.list_replica(replica, number, software)
        self.list_replica(self.first, 0, "v1")

    def list_replica(self, replica: ScriptedReplica, number: int, software: str) -> None:
        """List a replica with a version of its software; lower numbers are preferred."""
        zone = "z1" if number < 2 else "z2"
        self.stream_relay.add(
            replica, f"i-{number}", versions={"m": 1}, zone=zone, software=software
        )

    async def begin(self, request_id: str = "id-1") -> ReceivedAnswer:
        """Begin a stream at v1, which breaks off after two events."""
        answer = await self.stream_relay.ask(request_id, method="POST", extra=PROMPT_HEADERS)
        self.assertFalse(answer.whole)
        return answer

    async def resume(
        self, headers: str, request_id: str = "id-2", key: str = KEY
    ) -> ReceivedAnswer:
        extra = PROMPT_HEADERS + headers
        return await self.stream_relay.ask(request_id, method="POST", extra=extra, key=key)

    def received_by_other(self) -> int:
        return len(self.other.received)

    async def test_a_resumed_stream_goes_on_at_its_version(self) -> None:
        """Guards against a resumption that is placed like a new request."""
        await self.begin()
        for number in range(4):
            answer = await self.resume("Last-Event-Id: 2\r\nResumes: id-1\r\n", f"again-{number}")
            self.assertEqual(answer.body, SECOND_HALF)
        self.assertEqual(self.received_by_other(), 0)
        headers = (self.first.received + self.same.received)[-1].headers
        self.assertEqual((headers["resumes"], headers["last-event-id"]), ("id-1", "2"))

    async def test_a_stream_of_unknown_origin_is_refused_at_once(self) -> None:
        """Guards against a guess at a stream that began at another router."""
        answer = await asyncio.wait_for(
            self.resume("Last-Event-Id: 2\r\nResumes: never-seen\r\n"), 1.0
        )
        self.assert_not_run(answer)
        self.assertIn(b"stream_origin_unknown", answer.body)
        received = [*self.first.received, *self.other.received, *self.same.received]
        self.assertEqual(received, [])

    async def test_the_stream_of_another_tenant_is_unknown(self) -> None:
        await self.begin()
        self.assert_not_run(
            await self.resume("Last-Event-Id: 2\r\nResumes: id-1\r\n", key=URGENT_KEY)
        )

    async def test_a_last_event_without_the_attempt_that_began_is_unknown(self) -> None:
        await self.begin()
        self.assert_not_run(await self.resume("Last-Event-Id: 2\r\n"))

    async def test_an_attempt_under_the_same_id_is_the_attempt_that_began(self) -> None:
        await self.begin()
        answer = await self.resume("Last-Event-Id: 2\r\n", "id-1")
        self.assertEqual(answer.body, SECOND_HALF)
        self.assertEqual(self.received_by_other(), 0)

    async def test_an_attempt_that_names_no_event_is_bound_as_well(self) -> None:
        await self.begin()
        await self.resume("Resumes: id-1\r\n")
        self.assertEqual(self.received_by_other(), 0)
        self.assert_not_run(await self.resume("Resumes: never-seen\r\n"))

    async def test_a_chain_of_attempts_belongs_to_the_version_of_the_first(self) -> None:
        """Guards against a third attempt that names the second, or the first after one in vain."""
        self.first.scripts = [resetting(begun), answering(full), answering(rest)]
        self.same.scripts = [answering(full), resetting(third), answering(rest)]
        await self.begin()
        self.assert_not_run(await self.resume("Last-Event-Id: 2\r\nResumes: id-1\r\n", "again-1"))
        for number, named in enumerate(("id-1", "id-1", "again-2", "again-3")):
            await asyncio.sleep(0.3)
            headers = f"Last-Event-Id: 2\r\nResumes: {named}\r\n"
            answer = await self.resume(headers, f"again-{number + 2}")
            self.assertEqual(answer.status, 200, named)
        self.assertEqual(self.received_by_other(), 0)

    async def test_a_stream_whose_version_is_gone_is_refused_at_once(self) -> None:
        await self.begin()
        for replica_id in ("i-0", "i-2"):
            self.stream_relay.state.fleet.remove(replica_id)
        answer = await asyncio.wait_for(self.resume("Last-Event-Id: 2\r\nResumes: id-1\r\n"), 1.0)
        self.assert_not_run(answer)
        self.assertEqual(self.received_by_other(), 0)

    async def test_a_stream_of_a_service_that_its_route_has_left_is_refused(self) -> None:
        """Guards against a stream that goes on at another service."""
        key = stream_key("school", "id-9")
        table = self.stream_relay.state.stream_origins.table
        table.record(key, StreamOrigin("left", "v1"), 1e9)
        answer = await self.resume("Last-Event-Id: 2\r\nResumes: id-9\r\n")
        self.assert_not_run(answer)
        self.assertIn(b"no longer leads to left", answer.body)

    def list_one_version(self) -> None:
        """Let v1 be the only version that was ever listed."""
        self.list_replica(self.other, 1, "v1")
        tracker = self.stream_relay.state.software_tracker
        tracker.history = SoftwareHistory()
        tracker.history.seed({"s": ["v1"]}, self.stream_relay.state.clock())

    async def test_the_only_version_for_long_began_any_stream(self) -> None:
        """Guards against refusals where no two versions have served."""

        async def confirm_list() -> None:
            return None

        self.list_one_version()
        self.stream_relay.state.stream_origins.confirm_list = confirm_list
        answer = await self.resume("Last-Event-Id: 2\r\nResumes: never-seen\r\n")
        self.assertEqual(answer.status, 200)

    async def test_a_list_that_may_be_old_concludes_nothing(self) -> None:
        """Guards against a stream that began at a version listed after the last proof."""

        async def confirm_list() -> Failure:
            return FailureKind.STORE_UNAVAILABLE.because("cut off")

        self.list_one_version()
        self.stream_relay.state.stream_origins.confirm_list = confirm_list
        answer = await self.resume("Last-Event-Id: 2\r\nResumes: never-seen\r\n")
        self.assert_not_run(answer)
        self.assertLess(float(answer.headers["retry-after"]), 1.0)

    async def test_a_version_that_the_proof_shows_is_not_overlooked(self) -> None:
        """Guards against a list that is read again only after the conclusion."""

        async def confirm_list() -> None:
            self.list_replica(self.other, 1, "v1.1")

        self.list_one_version()
        self.stream_relay.state.stream_origins.confirm_list = confirm_list
        answer = await self.resume("Last-Event-Id: 2\r\nResumes: never-seen\r\n")
        self.assert_not_run(answer)

    async def test_the_only_version_did_not_begin_what_another_service_did(self) -> None:
        """Guards against a stream without a record that began before its route was moved."""

        async def confirm_list() -> None:
            return None

        self.list_one_version()
        state = self.stream_relay.state
        state.stream_origins.confirm_list = confirm_list
        table = state.routing_table
        assert table is not None
        for version, service in ((2, "left"), (3, "s")):
            route = msgspec.structs.replace(
                self.stream_relay.route, shares=(ServiceShare(service, 1.0),)
            )
            services = [Service("left"), *table.services.values()]
            state.install_table(RoutingTable(version, [route], services, table.tenants))
        answer = await self.resume("Last-Event-Id: 2\r\nResumes: never-seen\r\n")
        self.assert_not_run(answer)

    async def test_a_router_that_has_just_started_knows_no_callers_deadline(self) -> None:
        """Guards against a conclusion that forgets callers who wait longer than the timeout."""
        state = self.stream_relay.state
        asked = attempt("id-2", "id-1")
        longest_s = LIFETIME_ATTEMPTS * asked.route.timeout_s + DEADLINE_MARGIN_S
        self.assertEqual(state.stream_origins.question(asked).max_age_s, longest_s)
        state.started_at_s -= longest_s
        self.assertLess(state.stream_origins.question(asked).max_age_s, longest_s)

    async def test_peers_are_asked_and_the_caller_may_leave_meanwhile(self) -> None:
        asked = asyncio.Event()
        known = asyncio.Event()

        async def ask(question: OriginQuestion) -> PeersAnswer:
            asked.set()
            await known.wait()
            return PeersAnswer(StreamOrigin("s", "v1.1"))

        self.stream_relay.state.stream_origins.ask_peers = ask
        resumed = asyncio.create_task(self.resume("Last-Event-Id: 2\r\nResumes: elsewhere\r\n"))
        await asked.wait()
        _, writer = await self.stream_relay.connect()
        extra = PROMPT_HEADERS + "Last-Event-Id: 2\r\nResumes: elsewhere\r\n"
        writer.write(caller_request("id-3", "POST", extra=extra))
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        known.set()
        self.assertEqual((await resumed).body, SECOND_HALF)
        self.assertEqual(self.received_by_other(), 1)
        self.assertEqual(self.stream_relay.service.active_requests, 0)

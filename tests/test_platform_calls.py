"""Calls to the store and to replicas' control interface, against scripted servers."""

from __future__ import annotations

import base64
import json
import unittest

from tests.relay_support import ReceivedRequest, ScriptedReplica, answering, resetting
from winchfork.backends.replica_control import OrderOutcome, ReplicaReport, WeightsOrder
from winchfork.core.replica_notice import AnswerNotice
from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.platform.replicas import PlatformReplicaControl
from winchfork.platform.store import MAX_ANSWER_BYTES, PlatformStore
from winchfork.router.connection_pool import ConnectionPool
from winchfork.router.pooled_http_client import MAX_REPLY_BYTES, PooledHttpClient
from winchfork.stores.async_key_value import (
    ExpectedRevision,
    PutItem,
    StoreItem,
    StoreLease,
    StoreSnapshot,
    WatchBatch,
)


def plain(status: str, body: object) -> bytes:
    data = json.dumps(body).encode()
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data


def item(key: str, value: bytes, revision: int) -> dict[str, object]:
    encoded = base64.b64encode(value).decode()
    return {"PrivateKey": key, "Value": encoded, "Revision": revision, "made": 1, "lease": 0}


class CallsTestCase(unittest.IsolatedAsyncioTestCase):
    async def server(self, *answers: bytes) -> ScriptedReplica:
        def script(data: bytes) -> object:
            return answering(lambda request: data)

        server = ScriptedReplica(*[script(data) for data in answers])  # type: ignore[arg-type]
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close)
        self.call_labels: list[str] = []
        self.calls = PooledHttpClient(self.pool, self.call_labels.append)
        return server

    async def store(self, *answers: bytes) -> tuple[PlatformStore, ScriptedReplica]:
        server = await self.server(*answers)
        return PlatformStore(self.calls, server.address), server


class StoreCallsTest(CallsTestCase):
    async def test_a_list_reads_all_pages_and_has_the_position_of_the_first(self) -> None:
        first = {"items": [item("a", b"1", 3)], "more": True, "at": 10}
        second = {"items": [item("b", b"2", 12)], "more": False, "at": 12}
        store, server = await self.store(plain("200 OK", first), plain("200 OK", second))
        snapshot = await store.list("")
        self.assertEqual(
            snapshot,
            StoreSnapshot(
                (StoreItem("a", b"1", 3), StoreItem("b", b"2", 12)), StorePosition(0, 10)
            ),
        )
        self.assertIn("after=a", server.received[1].line)

    async def test_an_item_that_cannot_be_read_hides_no_other(self) -> None:
        odd_items: tuple[object, ...] = (None, [], {}, {"PrivateKey": 1}, item("b", b"", -(10**30)))
        for odd in odd_items:
            items = [item("a", b"1", 3), odd, item("c", b"2", 4)]
            seen = (StoreItem("a", b"1", 3), StoreItem("c", b"2", 4))
            store, _ = await self.store(
                plain("200 OK", {"items": items, "more": False, "at": 10}),
                plain("200 OK", {"Events": items, "at": 12}),
            )
            self.assertEqual(await store.list(""), StoreSnapshot(seen, StorePosition(0, 10)))
            batch = await store.watch("", 10, 0.1)
            self.assertEqual(batch, WatchBatch(seen, StorePosition(0, 12)))

    async def test_a_page_without_a_readable_item_does_not_end_a_list(self) -> None:
        """Guards against a list that seems complete, so that the entries after it seem removed."""
        store, _ = await self.store(plain("200 OK", {"items": [None], "more": True, "at": 10}))
        self.assertIsInstance(await store.list(""), Failure)

    async def test_a_watch_returns_changes_and_removals(self) -> None:
        body = {
            "Events": [item("a", b"x", 412), {"PrivateKey": "b", "Revision": 413, "gone": True}],
            "at": 413,
        }
        store, server = await self.store(plain("200 OK", body))
        batch = await store.watch("", 411, 1.6)
        self.assertEqual(
            batch,
            WatchBatch(
                (StoreItem("a", b"x", 412), StoreItem("b", None, 413)), StorePosition(0, 413)
            ),
        )
        self.assertIn("after=411&WaitMs=1600", server.received[0].line)

    async def test_a_watch_with_more_changes_than_an_answer_may_have_leads_to_a_list(self) -> None:
        """Guards against a watch that is repeated for ever because its answer is too large."""
        value = b"x" * (MAX_ANSWER_BYTES // 2)
        body = {"Events": [item("a", value, 412), item("b", value, 413)], "at": 413}
        store, _ = await self.store(plain("200 OK", body))
        answer = await store.watch("", 411, 1.6)
        assert isinstance(answer, Failure)
        self.assertEqual(answer.kind, FailureKind.HISTORY_LOST)

    async def test_an_answer_larger_than_the_limit_is_a_failure_at_once(self) -> None:
        """Guards against answers to calls that are kept whole however large they are."""
        server = await self.server(plain("200 OK", "x" * MAX_REPLY_BYTES))
        reply = await self.calls.call(server.address, b"GET", b"/report", None, 1.0, label="report")
        assert isinstance(reply, Failure)
        self.assertEqual(reply.kind, FailureKind.ANSWER_TOO_LARGE)

    async def test_refusals_are_typed(self) -> None:
        for status, kind in (
            ("410 Gone", FailureKind.HISTORY_LOST),
            ("429 Too Many", FailureKind.STORE_RATE_LIMITED),
            ("503 Down", FailureKind.STORE_RATE_LIMITED),
            ("500 Oops", FailureKind.STORE_UNAVAILABLE),
        ):
            store, _ = await self.store(plain(status, {}))
            answer = await store.watch("", 1, 0.1)
            assert isinstance(answer, Failure)
            self.assertEqual(answer.kind, kind)

    async def test_an_invalid_answer_is_a_failure(self) -> None:
        store, _ = await self.store(plain("200 OK", {"unexpected": 1}))
        answer = await store.list("")
        assert isinstance(answer, Failure)
        self.assertEqual(answer.kind, FailureKind.STORE_UNAVAILABLE)

    async def test_a_write_without_an_answer_may_have_been_done(self) -> None:
        server = ScriptedReplica(resetting(lambda request: b""))
        await server.start()
        self.addAsyncCleanup(server.stop)
        store = PlatformStore(PooledHttpClient(ConnectionPool()), server.address)
        answer = await store.transact([ExpectedRevision("k", 0)], [PutItem("k", b"v")])
        assert isinstance(answer, Failure)
        self.assertEqual(
            (answer.kind, answer.ran), (FailureKind.STORE_UNAVAILABLE, RunState.UNKNOWN)
        )

    async def test_a_conditional_write_on_the_wire(self) -> None:
        store, server = await self.store(
            plain("200 OK", {"Revision": 412}), plain("412 Changed", {"items": []})
        )
        arguments = [ExpectedRevision("my/leader", 0)], [PutItem("my/leader", b"node-1", 77120)]
        self.assertEqual(await store.transact(*arguments), StorePosition(0, 412))
        self.assertEqual(
            json.loads(server.received[0].body),
            {
                "Expected": [{"PrivateKey": "my/leader", "Revision": 0}],
                "put": [{"PrivateKey": "my/leader", "Value": "bm9kZS0x", "lease": 77120}],
                "Remove": [],
            },
        )
        conflict = await store.transact(*arguments)
        assert isinstance(conflict, Failure)
        self.assertEqual(conflict.kind, FailureKind.REVISION_CONFLICT)

    async def test_leases(self) -> None:
        store, server = await self.store(
            plain("200 OK", {"lease": 77120, "ttl_ms": 2000}),
            plain("200 OK", {"ttl_ms": 2000}),
            plain("404 Not Found", {}),
            plain("200 OK", {}),
        )
        self.assertEqual(await store.grant_lease(2.0), StoreLease(0, 77120))
        self.assertIs(await store.renew_lease(StoreLease(0, 77120)), True)
        self.assertIs(await store.renew_lease(StoreLease(0, 77120)), False)
        self.assertIsNone(await store.end_lease(StoreLease(0, 77120)))
        self.assertEqual(server.received[3].line, "DELETE /kv-lease-end/77120 HTTP/1.1")
        self.assertEqual(self.call_labels.count("kv-keep"), 2)


class ReplicaCallsTest(CallsTestCase):
    ORDER = WeightsOrder("i-1", "daka510000", 2, "node-7", 41, 5)

    async def test_a_report(self) -> None:
        body = {
            "Stage": "both",
            "Models": [{"Name": "daka510000", "Version": 1, "Adapters": []}],
            "Busy": False,
            "Sequence": 2,
            "Waiting": 1,
            "Running": 12,
            "KvUsed": 41000,
        }
        server = await self.server(plain("200 OK", body), plain("200 OK", [1]))
        control = PlatformReplicaControl(self.calls)
        report = await control.report(server.address)
        self.assertEqual(report, ReplicaReport(2, False, 12, 1, {"daka510000": 1}))
        self.assertIsInstance(await control.report(server.address), Failure)

    async def test_a_report_with_an_odd_value_is_no_report(self) -> None:
        """Guards against an exception in place of a failure."""
        deep = "[" * 20_000 + "]" * 20_000
        for field in ("Busy", "Sequence", "Waiting", "Models", "born", "Unknown"):
            for odd in (deep, "9" * 400, "9" * 5_000, "-1", "1e999", '"\\ud800"'):
                body = f'{{"{field}": {odd}}}'.encode()
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                server = await self.server(head + body)
                report = await PlatformReplicaControl(self.calls).report(server.address)
                if field != "Unknown":
                    self.assertIsInstance(report, Failure, (field, odd[:10]))

    async def test_notices_in_answers_are_reported(self) -> None:
        draining = plain("200 OK", {}).replace(b"\r\n", b"\r\nServer-Leaving: 1\r\n", 1)
        backing_off = plain("503 Full", {}).replace(b"\r\n", b"\r\nRetry-After: 3\r\n", 1)
        server = await self.server(draining, backing_off)
        control = PlatformReplicaControl(self.calls)
        notices: list[AnswerNotice] = []
        await control.report(server.address, notices.append)
        await control.order(server.address, self.ORDER, lambda: True, notices.append)
        self.assertEqual(notices, [AnswerNotice(draining=True), AnswerNotice(backoff_s=3.0)])

    async def test_an_order_carries_fence_sequence_and_replica(self) -> None:
        statuses = {
            "202 Taken": OrderOutcome.ACCEPTED,
            "200 OK": OrderOutcome.ALREADY_LOADED,
            "409 Conflict": OrderOutcome.CONFLICT,
            "412 Fenced": OrderOutcome.FENCED,
            "421 Misdirected": OrderOutcome.OTHER_REPLICA,
            "400 Bad": OrderOutcome.REFUSED,
        }
        server = await self.server(*[plain(status, {}) for status in statuses])
        control = PlatformReplicaControl(self.calls)
        for outcome in statuses.values():
            self.assertEqual(await control.order(server.address, self.ORDER, lambda: True), outcome)
        seen: ReceivedRequest = server.received[0]
        self.assertEqual(seen.headers["x-expected-instance"], "i-1")
        self.assertEqual(
            json.loads(seen.body),
            {
                "Operation": "Version",
                "Model": "daka510000",
                "Version": 2,
                "Method": "wait",
                "Holder": "node-7",
                "FencingToken": 41,
                "Expected": 5,
            },
        )

    async def test_an_order_that_is_no_longer_allowed_is_not_sent(self) -> None:
        server = await self.server(plain("202 Taken", {}))
        control = PlatformReplicaControl(self.calls)
        answer = await control.order(server.address, self.ORDER, lambda: False)
        assert isinstance(answer, Failure)
        self.assertIs(answer.ran, RunState.NOT_RUN)
        self.assertEqual(server.received, [])

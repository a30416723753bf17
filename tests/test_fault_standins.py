"""Tests of the stand-ins' faults: links, connections, replicas and their store entries."""

from __future__ import annotations

import asyncio
import json
import unittest

from standins.answer_faults import SLOW_ANSWER_DELAY_S, ReplicaFault
from standins.fault_proxy import Fault, FaultProxy
from standins.http_server import HttpServer, Request, write_answer
from standins.replica_server import FatalRequest, ReplicaServer
from standins.store_server import StoreServer
from standins.weights_operator import WeightsOperator
from tests.relay_support import ReceivedAnswer, read_answer

#: Time for which a test waits for an answer that must not arrive.
_NO_ANSWER_S = 0.2
_MODEL = "model"


class Connection:
    """One connection to a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> Connection:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def request(self, path: str, headers: str = "", body: bytes = b"") -> ReceivedAnswer:
        """Send a request and wait for its answer."""
        head = f"POST {path} HTTP/1.1\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        self._writer.write(head.encode() + body)
        return await read_answer(self._reader)

    def close(self) -> None:
        """Abort the connection."""
        self._writer.transport.abort()


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.received_paths: list[str] = []
        server = HttpServer(self._answer)
        await server.start()
        self.addAsyncCleanup(server.stop)
        self.proxy = FaultProxy(server.address)
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        self.received_paths.append(request.path)
        write_answer(writer, 200)
        return True

    async def _open(self) -> Connection:
        connection = await Connection.open(self.proxy.address)
        self.addCleanup(connection.close)
        return connection

    async def test_new_connections_are_reset_until_the_fault_ends(self) -> None:
        self.proxy.fault = Fault.REFUSE
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await (await self._open()).request("/refused")
        self.proxy.fault = Fault.NONE
        self.assertEqual((await (await self._open()).request("/served")).status, 200)
        self.assertEqual(self.received_paths, ["/served"])

    async def test_the_proxy_answers_503_without_the_target(self) -> None:
        connection = await self._open()
        self.proxy.fault = Fault.ANSWER_503
        self.assertEqual((await connection.request("/turned-away")).status, 503)
        self.proxy.fault = Fault.NONE
        self.assertEqual((await connection.request("/served")).status, 200)
        self.assertEqual(self.received_paths, ["/served"])

    async def test_blackholed_connections_stay_so_while_new_ones_work(self) -> None:
        connection = await self._open()
        self.assertEqual((await connection.request("/before")).status, 200)
        self.proxy.blackhole_open_connections()
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(connection.request("/lost"), _NO_ANSWER_S)
        self.assertEqual((await (await self._open()).request("/new")).status, 200)
        self.assertEqual(self.received_paths, ["/before", "/new"])


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = StoreServer()
        self.replica = ReplicaServer(self.store, "i-1", "models", "zone", _MODEL)
        await self.replica.start()
        self.addAsyncCleanup(self.replica.stop)

    def _entry(self, replica_id: str) -> dict[str, object] | None:
        value = self.store.get_text(f"servers/{replica_id}")
        return json.loads(value) if value else None

    def _address(self, replica_id: str) -> str:
        entry = self._entry(replica_id)
        assert entry is not None
        return str(entry["Address"])

    async def _order(self, replica_id: str, address: str, version: int) -> int:
        order = {"Holder": "node", "FencingToken": 1, "Version": version, "Expected": 0}
        headers = f"X-Expected-Instance: {replica_id}\r\n"
        connection = await Connection.open(address)
        self.addCleanup(connection.close)
        return (await connection.request("/order", headers, json.dumps(order).encode())).status

    async def test_a_late_entry_has_the_address_of_the_restarted_replica(self) -> None:
        address = self._address("i-1")
        entry = await self.replica.crash()
        entry.lapse()
        await self.replica.restart()
        self.assertEqual(self._address("i-1'"), address)
        self.assertIsNone(self._entry("i-1"))
        entry.write_late()
        self.assertEqual(self._address("i-1"), address)
        entry.lapse()
        self.assertIsNone(self._entry("i-1"))
        self.assertEqual(self._address("i-1'"), address)

    async def test_a_late_entry_does_not_last_over_one_restarted_under_its_id(self) -> None:
        """A late or lapsed old entry must not remove the running replica's entry for good."""
        entry = await self.replica.crash()
        await self.replica.restart(keeps_id=True)
        current = self._entry("i-1")
        entry.lapse()
        self.assertEqual(self._entry("i-1"), current)
        entry.write_late()
        self.assertNotEqual(self._entry("i-1"), current)
        entry.lapse()
        self.assertEqual(self._entry("i-1"), current)

    async def test_an_order_to_an_earlier_incarnation_is_refused(self) -> None:
        address = self._address("i-1")
        (await self.replica.crash()).lapse()
        await self.replica.restart()
        self.assertEqual(await self._order("i-1", address, 2), 421)
        self.assertEqual(self.replica.orders, [])
        self.assertEqual(await self._order("i-1'", address, 2), 202)

    async def test_a_crash_aborts_a_load_and_keeps_the_version(self) -> None:
        self.replica.load_duration_s = 0.05
        self.assertEqual(await self._order("i-1", self._address("i-1"), 2), 202)
        (await self.replica.crash()).lapse()
        await asyncio.sleep(2 * self.replica.load_duration_s)
        self.assertIsNone(self._entry("i-1"))
        await self.replica.restart()
        self.assertEqual(self.replica.weights_version, 1)

    async def test_a_stopped_replica_does_not_restart(self) -> None:
        entry = await self.replica.crash()
        await self.replica.stop()
        await self.replica.restart()
        self.assertIsNone(self._entry("i-1'"))
        entry.lapse()

    async def test_a_generation_is_recorded_with_the_version_at_its_start(self) -> None:
        headers = "X-Request-Id: r-1\r\nX-Token-Usage: 40,2\r\n"
        connection = await Connection.open(self._address("i-1"))
        self.addCleanup(connection.close)
        self.assertEqual((await connection.request("/any", headers)).status, 200)
        (generation,) = self.replica.generations
        self.assertEqual(
            (generation.request_id, generation.replica_id, generation.version), ("r-1", "i-1", 1)
        )
        self.assertLess(generation.arrived_at_s, generation.started_at_s)

    async def test_a_replica_restarted_before_its_delay_crashes_again(self) -> None:
        """Guards against a second fatal run that never ends and blocks later loads of weights."""
        self.replica.fatal_request = FatalRequest(
            b"fatal", crash_after_s=0.01, restart_after_s=60.0
        )
        for number in range(2):
            connection = await Connection.open(self._address(self.replica.replica_id))
            self.addCleanup(connection.close)
            headers = f"X-Request-Id: r{number}\r\nX-Token-Usage: 1,1\r\n"
            with self.assertRaises((asyncio.IncompleteReadError, ConnectionError)):
                await connection.request("/review/x", headers, b"fatal")
            await self.replica.restart()
        self.assertEqual(self.replica.running, 0)
        self.assertEqual(
            [run.crashed_at_s is None for run in self.replica.fatal_runs], [False, False]
        )

    async def test_the_arrival_time_is_before_the_delay_of_a_slow_answer(self) -> None:
        self.replica.fault_injector.set_fault(ReplicaFault.SLOW)
        connection = await Connection.open(self._address("i-1"))
        self.addCleanup(connection.close)
        while not self.replica.fault_injector.faulty_answers:
            headers = "X-Request-Id: r-1\r\nX-Token-Usage: 40,2\r\n"
            self.assertEqual((await connection.request("/any", headers)).status, 200)
        generation = self.replica.generations[-1]
        self.assertGreater(generation.started_at_s - generation.arrived_at_s, SLOW_ANSWER_DELAY_S)

    async def test_a_request_on_a_blackholed_connection_is_not_run(self) -> None:
        headers = "X-Request-Id: r-1\r\nX-Token-Usage: 40,2\r\n"
        connection = await Connection.open(self._address("i-1"))
        self.addCleanup(connection.close)
        self.assertEqual((await connection.request("/report")).status, 200)
        self.replica.blackhole_open_connections()
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(connection.request("/any", headers), _NO_ANSWER_S)
        self.assertEqual(self.replica.ran, [])


class WeightsOperatorTest(unittest.IsolatedAsyncioTestCase):
    async def test_acknowledgement_times_are_recorded(self) -> None:
        store = StoreServer()
        operator = WeightsOperator(store, _MODEL)
        self.assertEqual(operator.newest_version, 0)
        operator.publish(1)
        operator.publish(2)
        self.assertEqual([item.version for item in operator.published], [1, 2])
        self.assertLessEqual(
            operator.published[0].acknowledged_s, operator.published[1].acknowledged_s
        )
        value = store.get_text(f"op/version/{_MODEL}")
        self.assertEqual(json.loads(value or "{}"), {"Model": _MODEL, "Version": 2})

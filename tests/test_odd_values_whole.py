"""Router processes beside odd entries of another writer, and before a replica with odd reports."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from standins.deployment import MODEL
from standins.faulty_service import FaultyService
from standins.http_server import Request, write_answer
from tests.test_odd_entries import DOCUMENTS, OTHER_VALUES, odd_entries

#: A report with a field that the router does not know.
DEEP = b'{"Sequence":1,"Unknown":' + b"[" * 20_000 + b"]" * 20_000 + b"}"
#: Seconds for which a router serves; the leader reads reports each second or so.
SERVED_S = 4.0


class OddValuesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against routers that do not start, or whose duties end again and again."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.reports = 0
        self.service = FaultyService(Path(folder.name), self._answer)

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer every request with a report that is nested deeply."""
        self.reports += request.path == "/report"
        headers = {"X-Weight-Versions": "9" * 5_000, "Keep-Alive": "timeout=" + "9" * 5_000}
        write_answer(writer, 200, DEEP, headers)
        return True

    async def _check_serves(self) -> None:
        await self.service.start()
        # The leader reads reports while it rolls weights out.
        self.service.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 2})
        try:
            await asyncio.sleep(SERVED_S)
            self.assertTrue(self.service.router.is_running)
            self.assertEqual(self.service.router.failed_probes, 0)
            self.assertEqual(self.service.router.log_lines("duty_failed"), [])
        finally:
            await self.service.stop()
        self.assertEqual(self.service.lost, [])
        self.assertEqual(set(self.service.sound_answers), {200})

    async def test_a_router_starts_and_serves_beside_each_odd_replica_entry(self) -> None:
        for number, (_, value) in enumerate(odd_entries("servers/i-9")):
            self.service.store.put(f"servers/i-odd-{number}", value)
        await self._check_serves()

    async def test_a_router_starts_and_serves_beside_odd_entries_of_each_kind(self) -> None:
        for key in (*DOCUMENTS, *OTHER_VALUES):
            values = [value for _, value in odd_entries(key)]
            if key not in ("op/config", "servers/i-9"):
                for number, value in enumerate(values[:-1]):
                    self.service.store.put(f"{key}-{number}", value)
                self.service.store.put(key, values[-1])
        await self._check_serves()

    async def test_reports_that_are_nested_deeply_end_no_duty(self) -> None:
        await self._check_serves()
        self.assertGreater(self.reports, 0)


if __name__ == "__main__":
    unittest.main()

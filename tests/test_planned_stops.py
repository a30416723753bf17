"""Requests around a planned stop of a router process, in calm, until the process is gone.

Callers keep their connections and go on, on new ones where theirs are closed.
"""

from __future__ import annotations

import asyncio
import dataclasses
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from standins.faulty_service import FaultyService, request_bytes
from standins.http_server import Request, write_answer
from winchfork.boot_clock import boot_seconds

CALLERS = 12
#: The shortest pause of a caller between two requests, and the time for an answer.
PAUSE_S = 0.02
ANSWER_TIMEOUT_S = 20.0
#: The pages' bounds: a request that was sent this long after the stop's begin at the latest may be
#: cut in the last sixth of the grace period, if its replica is still at work on it.
EXCUSED_SENDING_S = 3.0
EXCUSED_SHARE = 5.0 / 6.0
#: Time for which a whole request may have been read without any consequence.
LOSS_SLACK_S = 0.2


@dataclasses.dataclass
class Sent:
    """One request; times in seconds since the stop began."""

    name: str
    sent_at_s: float
    ended_at_s: float = 0.0
    #: 0 without a whole answer.
    status: int = 0


class Stop:
    """One router before replicas whose runs take ``run_s``, stopped while callers go on."""

    def __init__(self, grace_s: float, run_s: float, *, reload: bool = False) -> None:
        self.grace_s = grace_s
        self._run_s = run_s
        self._reload = reload
        self._began_s = float("inf")
        self.sent: list[Sent] = []
        #: When replicas began to run requests, by name.
        self.ran: dict[str, float] = {}

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        if request.path == "/report":
            write_answer(writer, 404)
            return True
        name = request.headers["x-request-id"]
        self.ran[name] = self._now_s()
        await asyncio.sleep(self._run_s)
        headers = {"X-Request-Id": name, "X-Server-Signature": f"s.{name}"}
        write_answer(writer, 200, b"done", headers)
        return True

    def _now_s(self) -> float:
        return boot_seconds() - self._began_s

    async def play(self) -> None:
        """Play the stop to the end of the process."""
        with tempfile.TemporaryDirectory() as folder:
            grace = f"Bounds.GraceS={self.grace_s:g}"
            service = FaultyService(Path(folder), self._answer, (grace,))
            await service.start()
            self._began_s = boot_seconds() + 0.5
            callers = [
                asyncio.create_task(self._call(service, number)) for number in range(CALLERS)
            ]
            await asyncio.sleep(0.5)
            self._began_s = boot_seconds()
            service.router.request_stop()
            if self._reload:
                await asyncio.sleep(self.grace_s / 10.0)
                service.router.request_reload()
            while service.router.is_running and self._now_s() < self.grace_s + 1.0:
                await asyncio.sleep(0.01)
            self.took_s = self._now_s()
            await service.router.stop()
            await asyncio.gather(*callers)
            await service.stop()

    async def _call(self, service: FaultyService, caller: int) -> None:
        number = 0
        while service.router.is_running:
            try:
                reader, writer = await service.connect()
            except OSError:
                await asyncio.sleep(PAUSE_S)
                continue
            try:
                while True:
                    number += 1
                    await self._send(f"call-{caller}-{number}", reader, writer)
                    await asyncio.sleep(PAUSE_S)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

    async def _send(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sent = Sent(name, self._now_s())
        self.sent.append(sent)
        try:
            writer.write(request_bytes("/whole/x", name))
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                length = head.lower().partition(b"content-length:")[2].partition(b"\r\n")[0]
                await reader.readexactly(int(length))
            sent.status = int(head[9:12])
        finally:
            sent.ended_at_s = self._now_s()

    def lost(self) -> list[Sent]:
        """Return the requests that ended without an answer, against the pages."""
        return [item for item in self.sent if not item.status and self._counts(item)]

    def _counts(self, item: Sent) -> bool:
        ran_at_s = self.ran.get(item.name)
        if ran_at_s is None:
            return item.ended_at_s - item.sent_at_s > LOSS_SLACK_S
        is_late_cut = item.ended_at_s >= EXCUSED_SHARE * self.grace_s
        is_at_work = item.ended_at_s < ran_at_s + self._run_s
        return not (is_late_cut and is_at_work and item.sent_at_s <= EXCUSED_SENDING_S)

    def refused_although_run(self) -> list[Sent]:
        """Return the requests that were answered as not run, but ran."""
        return [item for item in self.sent if item.status == 503 and item.name in self.ran]

    def failed_before_time(self) -> list[Sent]:
        """Return those of which the router gave up the answer before it may cut them."""
        return [
            item
            for item in self.sent
            if item.status == 502 and item.ended_at_s < EXCUSED_SHARE * self.grace_s
        ]


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that are taken and passed on in a stop, and cut at its end."""

    async def check(self, stop: Stop) -> None:
        await stop.play()
        statuses = Counter(item.status for item in stop.sent)
        self.assertEqual(stop.lost(), [], statuses)
        self.assertEqual(stop.refused_although_run(), [], statuses)
        self.assertEqual(stop.failed_before_time(), [], statuses)
        self.assertLess(stop.took_s, stop.grace_s)
        self.assertGreaterEqual(len(stop.ran), CALLERS)

    async def check_grace_period(self, grace_s: float) -> None:
        runs_s = (0.05, grace_s / 4.0, grace_s / 1.5)
        await asyncio.gather(*(self.check(Stop(grace_s, run_s)) for run_s in runs_s))

    async def test_requests_are_answered_in_a_grace_period_of_one_second(self) -> None:
        await self.check_grace_period(1.0)

    async def test_requests_are_answered_in_a_grace_period_of_two_seconds(self) -> None:
        await self.check_grace_period(2.0)

    async def test_requests_are_answered_in_a_grace_period_of_eight_seconds(self) -> None:
        await self.check_grace_period(8.0)

    async def test_requests_are_answered_beside_a_reload(self) -> None:
        await self.check(Stop(4.0, 1.0, reload=True))


if __name__ == "__main__":
    unittest.main()

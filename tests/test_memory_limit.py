"""Guards against large messages, many at once, that take a router over its memory limit."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from standins.endless_answers import EndlessPart
from standins.faulty_service import FaultyService, request_bytes
from standins.large_messages import LARGE_BYTES, LargeAnswers, LargeCalls, stall
from tests.test_endless_answers import TIMEOUT_S, EndlessAnswersCase

MANY = 40
STALLED_S = 2.0
CALLERS = 1_000
#: A caller's speed, at which it has its answer within the grace period of a planned stop.
SLOW_BYTES_PER_S = 800_000
STOP_AT_S = 0.3
#: Bytes of the head that callers send, less than the limit in the stand-ins' configuration.
MAX_HEAD_BYTES = 15_000


class LargeMessagesCase(EndlessAnswersCase):
    async def start(self, answers: LargeAnswers) -> FaultyService:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.service = FaultyService(Path(folder.name), answers.answer)
        await self.service.start()
        return self.service

    async def finish(self) -> None:
        """Measure the memory, and check that all others were served."""
        self.peak_mb = self.service.router.peak_resident_mb
        self.assertTrue(self.service.router.is_running)
        await self.service.stop()
        self.check_others()


class PlannedStopTest(LargeMessagesCase):
    async def test_a_planned_stop_sends_the_answers_that_callers_still_read(self) -> None:
        """Guards against a process that ends with whole answers in its write buffers."""
        calls = LargeCalls()
        service = await self.start(LargeAnswers())
        names = [f"slow-{number}" for number in range(4)]
        reading = [
            asyncio.create_task(calls.download(service, name, LARGE_BYTES, SLOW_BYTES_PER_S))
            for name in names
        ]
        await asyncio.sleep(STOP_AT_S)
        service.router.request_stop()
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(*reading)
        await service.stop()
        self.assertEqual(calls.statuses, {200: len(names)})
        self.assertEqual(calls.cut, [])


class MemoryLimitTest(LargeMessagesCase):
    async def test_answers_without_end_that_are_buffered_on_many_connections(self) -> None:
        """Guards against answers that are bounded one by one, but not as a whole."""
        await self.play("/whole/x", EndlessPart.BODY, 60)
        self.check_others()

    async def test_uploads_of_many_callers_at_once_are_served_or_refused_as_not_run(self) -> None:
        """Guards against bodies of callers that are bounded one by one, but not as a whole."""
        answers, calls = LargeAnswers(size=100), LargeCalls()
        service = await self.start(answers)
        async with asyncio.timeout(TIMEOUT_S):
            names = [f"upload-{number}" for number in range(MANY)]
            await asyncio.gather(*[calls.upload(service, name, LARGE_BYTES) for name in names])
        await self.finish()
        self.assertLessEqual(set(calls.statuses), {200, 503})
        self.assertGreater(calls.statuses[200], 0)
        self.assertEqual(len(calls.not_run), calls.statuses[503])
        self.assertEqual(set(calls.not_run) & set(answers.ran), set())
        self.assertEqual(calls.without_wait, [])
        self.assertEqual(answers.received, {LARGE_BYTES: calls.statuses[200]})

    async def test_slow_uploads_do_not_keep_the_room_of_others(self) -> None:
        """Guards against callers that announce large bodies and hardly send them."""
        answers, calls = LargeAnswers(size=100), LargeCalls()
        service = await self.start(answers)
        head = request_bytes("/whole/x", "slow", b"u" * LARGE_BYTES).partition(b"\r\n\r\n")[0]
        writers = [(await service.connect())[1] for _ in range(MANY)]
        for writer in writers:
            writer.write(head + b"\r\n\r\nu")
        await asyncio.sleep(STALLED_S)
        async with asyncio.timeout(TIMEOUT_S):
            await calls.upload(service, "upload", LARGE_BYTES)
        for writer in writers:
            writer.close()
        await self.finish()
        self.assertEqual(calls.statuses, {200: 1})

    async def test_large_answers_of_a_sound_replica_at_once_are_all_delivered(self) -> None:
        """Guards against a limit on memory that gives up sound answers."""
        answers, calls = LargeAnswers(), LargeCalls()
        service = await self.start(answers)
        async with asyncio.timeout(TIMEOUT_S):
            names = [f"download-{number}" for number in range(MANY)]
            await asyncio.gather(*[calls.download(service, name, LARGE_BYTES) for name in names])
        await self.finish()
        self.assertEqual(calls.statuses, {200: MANY})
        self.assertEqual(calls.cut, [])

    async def test_callers_that_do_not_read_their_large_answers(self) -> None:
        """Guards against answers that wait for slow callers without a bound as a whole."""
        service = await self.start(LargeAnswers())
        async with asyncio.timeout(TIMEOUT_S):
            names = [f"stalled-{number}" for number in range(MANY)]
            await asyncio.gather(*[stall(service, name, STALLED_S) for name in names])
        await self.finish()

    async def test_heads_of_many_callers_that_are_not_complete(self) -> None:
        """Guards against many short header lines, which take memory and time beyond their bytes."""
        service = await self.start(LargeAnswers())
        head = b"POST /sound/x HTTP/1.1\r\n" + b"a:b\r\n" * (MAX_HEAD_BYTES // 6)
        writers = [(await service.connect())[1] for _ in range(CALLERS)]
        for writer in writers:
            writer.write(head)
        await asyncio.sleep(STALLED_S)
        for writer in writers:
            writer.close()
        await self.finish()

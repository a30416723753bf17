"""Guards against answers without end that take a router over its memory limit or its readiness."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from standins.deployment import MEMORY_MB
from standins.endless_answers import EndlessPart, write_endless_answer
from standins.faulty_service import SOUND_CALLERS, FaultyService
from standins.http_server import Request

#: The link of the replica's machine, 1,000 Mbit/s, in bytes a second.
LINK_BYTES_PER_S = 125_000_000
#: The platform asks for readiness once a second.
READINESS_PERIOD_S = 1.0
TIMEOUT_S = 30.0


class EndlessAnswersCase(unittest.IsolatedAsyncioTestCase):
    async def play(self, path: str, part: EndlessPart, connections: int) -> list[int]:
        """Send requests that get endless answers; return the statuses that their callers got."""

        async def answer(request: Request, writer: asyncio.StreamWriter) -> bool:
            await write_endless_answer(part, request, writer, LINK_BYTES_PER_S / connections)
            return False

        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.service = FaultyService(Path(folder.name), answer)
        await self.service.start()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                calls = [self.service.call(path, f"call-{n}") for n in range(connections)]
                answers = await asyncio.gather(*calls)
            self.peak_mb = self.service.router.peak_resident_mb
            self.assertTrue(self.service.router.is_running)
        finally:
            await self.service.stop()
        return [status for status, _ in answers]

    def check_others(self) -> None:
        """Check the memory limit, the readiness and the callers of the sound service."""
        self.assertLess(self.peak_mb, MEMORY_MB)
        self.assertEqual(self.service.router.failed_probes, 0)
        self.assertLess(self.service.router.slowest_probe_s, READINESS_PERIOD_S)
        self.assertEqual(self.service.lost, [])
        self.assertEqual(set(self.service.sound_answers), {200})
        self.assertGreater(self.service.sound_answers.total(), SOUND_CALLERS)


class AnswerHeadTest(EndlessAnswersCase):
    async def test_header_lines_without_end_do_not_take_the_router_over_its_memory_limit(
        self,
    ) -> None:
        """Guards against a process that is killed, with the requests of all its callers."""
        statuses = await self.play("/stream/x", EndlessPart.HEADER_LINES, 1)
        self.check_others()
        self.assertEqual(statuses, [502])

    async def test_headers_and_trailers_without_end_on_many_connections_at_once(self) -> None:
        """Guards against heads that are bounded one by one, but not summed over connections."""
        parts = (
            EndlessPart.HEADER_LINES,
            EndlessPart.HEADER_VALUE,
            EndlessPart.REASON,
            EndlessPart.TRAILERS,
            EndlessPart.TRAILER_VALUE,
            EndlessPart.CHUNK_EXTENSION,
        )
        for part in parts:
            with self.subTest(part=part):
                await self.play("/stream/x", part, 20)
                self.check_others()


class NoAnswerTest(EndlessAnswersCase):
    async def test_bytes_without_end_that_are_no_answer_are_broken_off(self) -> None:
        """Guards against bytes that are kept until a line, or a size, of theirs is complete."""
        for part in (EndlessPart.NO_ANSWER, EndlessPart.EMPTY_LINES, EndlessPart.CHUNK_SIZE):
            with self.subTest(part=part):
                statuses = await self.play("/stream/x", part, 20)
                self.check_others()
                self.assertEqual(set(statuses), {502})


class BodyTest(EndlessAnswersCase):
    async def test_bodies_without_end_whose_length_is_not_announced_are_broken_off(self) -> None:
        """Guards against answers that are buffered until they are whole, failures among them."""
        for part in (EndlessPart.UNFRAMED_BODY, EndlessPart.FAILURE_BODY):
            with self.subTest(part=part):
                statuses = await self.play("/whole/x", part, 20)
                self.check_others()
                self.assertEqual(set(statuses), {502})


class SkippedAnswersTest(EndlessAnswersCase):
    async def test_skipped_answers_without_end_do_not_hold_up_the_others(self) -> None:
        """Guards against interim and foreign answers that occupy the router to the deadline."""
        for part in (EndlessPart.INTERIM_ANSWERS, EndlessPart.OTHER_ANSWERS):
            with self.subTest(part=part):
                statuses = await self.play("/stream/x", part, 20)
                self.check_others()
                self.assertEqual(set(statuses), {502})


class EventTest(EndlessAnswersCase):
    async def test_an_event_without_end_does_not_hold_up_the_others(self) -> None:
        """Guards against an event that is copied and searched anew with each of its pieces."""
        statuses = await self.play("/stream/x", EndlessPart.EVENT, 20)
        self.check_others()
        self.assertEqual(set(statuses), {502})


class SmallPiecesTest(EndlessAnswersCase):
    async def test_short_events_and_chunks_do_not_hold_up_the_others(self) -> None:
        """Guards against one read of a connection that takes the event loop for long."""
        for part in (EndlessPart.SHORT_EVENTS, EndlessPart.SHORT_CHUNKS):
            for connections in (1, 20):
                with self.subTest(part=part, connections=connections):
                    await self.play("/stream/x", part, connections)
                    self.check_others()

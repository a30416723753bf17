"""A prompt part that crashes every replica that begins an answer on it, end to end."""

from __future__ import annotations

import asyncio

from standins.deployment import API_KEY, MODEL
from standins.replica_server import FatalRequest, FatalRun
from tests.loopback_case import MAX_WAIT_S, LoopbackTestCase
from tests.relay_support import ReceivedAnswer, read_answer

#: ``Bounds.ContactMs`` of the stand-ins' settings.
CONTACT_S = 3.0
#: Crashes under one part after which routers must refuse it, and further requests that may reach
#: replicas later than the contact time.
MAX_CRASHES = 5
MAX_LATER_RUNS = 3
#: Sound streams begin at least this many times as often as before the crashes.
MIN_SERVED_RATIO = 0.5
SOUND_INTERVAL_S = 0.05
FATAL_INTERVAL_S = 0.4
CALM_S = 2.0
#: Long enough for the replica that crashes fifth and for two contact times after it.
PLAY_S = 14.0
FIRST_PART, SECOND_PART = "dead0001", "dead0002"


class CrashingPartTest(LoopbackTestCase):
    def _prepare(self, *parts: str, closes_in_order: bool = False) -> None:
        self.sent = 0
        self.served: list[tuple[float, bool]] = []
        self.tasks: set[asyncio.Task[None]] = set()
        for replica in self.deployment.model_replicas:
            replica.fatal_request = FatalRequest(
                b"", parts=frozenset(parts), closes_in_order=closes_in_order
            )

    def _request(self, fatal_part: str, place: int) -> bytes:
        """Return a request unlike any other, whose shared parts are those of many others."""
        self.sent += 1
        parts = ["5c1e07a2", f"{self.random.randrange(3):08x}", f"1{self.random.randrange(5):07x}"]
        if fatal_part:
            parts.insert(place, fatal_part)
        listed = ",".join(f"{part}:90" for part in [*parts, f"f{self.sent:07x}"])
        body = f"body {self.sent}"
        return (
            f"POST /review/{self.sent} HTTP/1.1\r\nHost: proofs.example\r\n"
            f"X-Request-Id: stream-{self.sent}\r\nX-Key: {API_KEY}\r\nX-Deadline-Ms: 5000\r\n"
            f"X-Model: {MODEL}\r\nX-Token-Usage: 400,8\r\nX-Prefix-Hash: {listed}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}"
        ).encode()

    async def _ask(self, fatal_part: str = "", place: int = 0) -> ReceivedAnswer:
        router = self.sent % len(self.deployment.settings)
        host, _, port = self.deployment.settings[router].caller_address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return ReceivedAnswer(0, {}, b"", False)
        writer.write(self._request(fatal_part, place))
        try:
            return await asyncio.wait_for(read_answer(reader), MAX_WAIT_S)
        except (asyncio.IncompleteReadError, ConnectionError):
            return ReceivedAnswer(0, {}, b"", False)
        finally:
            writer.close()

    async def _ask_sound(self) -> None:
        sent_at_s = self._now_s()
        answer = await self._ask()
        self.served.append((sent_at_s, answer.status == 200 and answer.whole))

    async def _ask_fatal(self, part: str, place: int) -> None:
        await self._ask(part, place)

    def _start(self, request: asyncio.Task[None]) -> None:
        self.tasks.add(request)
        request.add_done_callback(self.tasks.discard)

    async def _play(self, places: dict[str, int], for_s: float) -> None:
        """Send sound streams, and after a while requests with the parts at these places."""
        started_s = self._now_s()
        fatal_s = started_s + CALM_S
        while (now_s := self._now_s()) < started_s + for_s:
            self._start(asyncio.create_task(self._ask_sound()))
            if now_s >= fatal_s:
                fatal_s += FATAL_INTERVAL_S
                for part, place in places.items():
                    self._start(asyncio.create_task(self._ask_fatal(part, place)))
            await asyncio.sleep(SOUND_INTERVAL_S)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _fatal_runs(self, part: str) -> list[FatalRun]:
        replicas = self.deployment.all_model_replicas
        runs = (run for replica in replicas for run in replica.fatal_runs if part in run.parts)
        return sorted(runs, key=lambda run: run.started_at_s)

    def _last_counted_crash_s(self, part: str) -> float:
        """Return when the fifth replica crashed under a part, or the last one."""
        runs = self._fatal_runs(part)
        crashes_s = sorted(run.crashed_at_s for run in runs if run.crashed_at_s is not None)
        return crashes_s[min(len(crashes_s), MAX_CRASHES) - 1]

    def _served_share(self, from_s: float, until_s: float) -> float:
        chosen = [served for sent_s, served in self.served if from_s <= sent_s < until_s]
        self.assertGreaterEqual(len(chosen), 20)
        return sum(chosen) / len(chosen)

    async def _check_parts_are_refused(self, places: dict[str, int]) -> None:
        """Play requests with parts at these places, beside sound ones that share the others."""
        started_s = self._now_s()
        await self._play(places, PLAY_S)
        await asyncio.gather(*self.tasks)
        for part in places:
            runs = self._fatal_runs(part)
            counted_from_s = self._last_counted_crash_s(part) + CONTACT_S
            later = [run for run in runs if run.started_at_s > counted_from_s]
            self.assertLessEqual(len(later), MAX_LATER_RUNS, f"{len(runs)} runs of {part}")
        before = self._served_share(started_s, started_s + CALM_S)
        settled_s = max(map(self._last_counted_crash_s, places)) + 2 * CONTACT_S
        after = self._served_share(settled_s, self._now_s())
        self.assertGreaterEqual(after, MIN_SERVED_RATIO * before)

    async def test_a_part_that_crashes_replicas_is_refused_in_unlike_requests(self) -> None:
        self._prepare(FIRST_PART)
        await self._check_parts_are_refused({FIRST_PART: 0})

    async def test_two_parts_whose_runs_close_in_order_are_refused_wherever_they_stand(
        self,
    ) -> None:
        """Guards against clearing a part by an answer without framing that the crash cut short."""
        self._prepare(FIRST_PART, SECOND_PART, closes_in_order=True)
        await self._check_parts_are_refused({FIRST_PART: 2, SECOND_PART: 1})

    async def test_a_refused_part_stays_refused_after_a_restart_of_every_router(self) -> None:
        self._prepare(FIRST_PART)
        await self._play({FIRST_PART: 2}, 8.0)
        await asyncio.gather(*self.tasks)
        before = len(self._fatal_runs(FIRST_PART))
        self.assertGreaterEqual(before, 1)
        await self.deployment.restart_routers()
        await self._play({FIRST_PART: 2}, 5.0)
        await asyncio.gather(*self.tasks)
        later = len(self._fatal_runs(FIRST_PART)) - before
        self.assertLessEqual(later, MAX_LATER_RUNS)

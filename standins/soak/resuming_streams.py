"""Streams of a soak that callers take up again at any router, and the checks of all attempts."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

from standins.notice_checks import Sender
from standins.resuming_callers import (
    ResumableStream,
    check_order,
    check_versions,
    send_resumable_stream,
)
from standins.soak.routers import SoakRouter

_CALLERS = 6
_MAX_PAUSE_S = 0.1
_MAX_TOKENS = 90
_FAMILIES = 8


class ResumingStreams:
    """Sends streams to random routers until stopped."""

    def __init__(self, routers: Sequence[SoakRouter], seed: str) -> None:
        self._routers = routers
        self._seed = seed
        self._stop = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._streams: list[ResumableStream] = []
        #: The router that each attempt was sent to.
        self.senders: dict[str, Sender] = {}
        #: Streams that began when a router of an earlier build was running.
        self._begun_beside_earlier = 0

    def start(self) -> None:
        """Start the callers."""
        for number in range(_CALLERS):
            generator = random.Random(f"{self._seed}/resuming caller/{number}")
            self._tasks.append(asyncio.create_task(self._call(number, generator)))

    async def stop(self) -> None:
        """Send no further streams; return once the last attempts are over."""
        self._stop.set()
        await asyncio.gather(*self._tasks)

    async def _call(self, caller: int, generator: random.Random) -> None:
        number = 0
        while not self._stop.is_set():
            number += 1
            tokens = generator.randrange(1, _MAX_TOKENS)
            stream = ResumableStream(f"resumable-{caller}-{number}", tokens)
            if any(router.runs_earlier_build for router in self._routers):
                self._begun_beside_earlier += 1
            else:
                self._streams.append(stream)
            await send_resumable_stream(
                stream,
                generator.randrange(_FAMILIES),
                lambda attempt_id: self._choose_address(attempt_id, generator),
            )
            await asyncio.sleep(generator.random() * _MAX_PAUSE_S)

    def _choose_address(self, attempt_id: str, generator: random.Random) -> str:
        router = generator.choice(self._routers)
        self.senders[attempt_id] = Sender(router.number, asyncio.get_running_loop().time())
        return router.address

    @property
    def outcomes(self) -> Counter[str]:
        """How many streams were whole or not, and how many resumptions went on or were refused."""
        counts: Counter[str] = Counter()
        for stream in self._streams:
            counts["resumable whole" if stream.is_whole else "resumable torn"] += 1
            for attempt in stream.resumptions:
                went_on = "went on" if attempt.events else f"got {attempt.status}"
                counts[f"resumption {went_on}"] += 1
        return counts

    def violations(self) -> list[str]:
        """Return a line for each guarantee that the streams show broken.

        Streams beside routers of an earlier build, which ignores how they began, are left out.
        """
        broken = check_versions(self._streams)
        for stream in self._streams:
            broken += check_order(stream)
        return broken

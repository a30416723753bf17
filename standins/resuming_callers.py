"""Callers that take a broken stream up again at any router, and what their attempts brought."""

from __future__ import annotations

import asyncio
import dataclasses
import re
from collections.abc import Callable, Sequence

from standins.soak.callers import Reply, send_request, stream_headers

#: Attempts after the first one, unless given.
MAX_RESUMPTIONS = 3
#: Seconds from the end of an attempt to the next one, unless given.
RESUMPTION_DELAY_S = 0.05
#: Streams with events of two versions of the software that are allowed.
MAX_MIXED_STREAMS = 2
#: The share of resumed streams that go on is judged from this many on, and is at least this share
#: of the share of new streams that begin.
MIN_JUDGED_RESUMPTIONS = 12
MIN_RESUMED_SHARE = 0.5
_EVENT = re.compile(rb"id: (\d+)\ndata: piece of (\S+)\n\n")


@dataclasses.dataclass(frozen=True)
class StreamAttempt:
    """One attempt: the events that it brought, by id and version of the software."""

    status: int
    events: tuple[tuple[int, str], ...]
    is_complete: bool

    @classmethod
    def of(cls, reply: Reply) -> StreamAttempt:
        """Read the events of an answer."""
        events = tuple(
            (int(number), software.decode()) for number, software in _EVENT.findall(reply.body)
        )
        return cls(reply.status, events, reply.is_complete)


@dataclasses.dataclass
class ResumableStream:
    """All attempts of one stream with ``tokens`` events."""

    request_id: str
    tokens: int
    attempts: list[StreamAttempt] = dataclasses.field(default_factory=list)

    @property
    def events(self) -> list[tuple[int, str]]:
        """The events of all attempts in the order of their arrival."""
        return [event for attempt in self.attempts for event in attempt.events]

    @property
    def versions(self) -> set[str]:
        """The versions of the software that the events came from."""
        return {software for _, software in self.events}

    @property
    def is_whole(self) -> bool:
        """Whether each event has arrived once and in order."""
        return [number for number, _ in self.events] == list(range(1, self.tokens + 1))

    @property
    def resumptions(self) -> list[StreamAttempt]:
        """The attempts that continued a begun stream."""
        begun = next((index for index, item in enumerate(self.attempts) if item.events), None)
        return [] if begun is None else self.attempts[begun + 1 :]


async def send_resumable_stream(
    stream: ResumableStream,
    family: int,
    choose_address: Callable[[str], str],
    *,
    max_resumptions: int = MAX_RESUMPTIONS,
    delay_s: float = RESUMPTION_DELAY_S,
) -> None:
    """Send a stream, and take it up after each break until it is whole or no attempt is left.

    ``choose_address`` returns the caller address of the router for the attempt with this id;
    ``delay_s`` is the time from the end of an attempt to the next one.
    """
    body = stream.request_id.encode()
    headers = stream_headers(stream.tokens, family, 0)
    origin = ""
    for number in range(max_resumptions + 1):
        attempt_id = f"{stream.request_id}-{number}"
        extra = headers
        if origin:
            extra += f"Last-Event-Id: {stream.events[-1][0]}\r\nResumes: {origin}\r\n"
        address = choose_address(attempt_id)
        reply = await send_request(address, "/review/x", attempt_id, extra, body)
        attempt = StreamAttempt.of(reply)
        stream.attempts.append(attempt)
        if not origin and attempt.events:
            origin = attempt_id
        if stream.is_whole:
            return
        await asyncio.sleep(delay_s)


def check_versions(streams: Sequence[ResumableStream]) -> list[str]:
    """No more than a few streams hold events of two versions of the software."""
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    if len(mixed) <= MAX_MIXED_STREAMS:
        return []
    names = ", ".join(stream.request_id for stream in mixed[:5])
    return [f"{len(mixed)} of {len(streams)} streams hold events of two versions: {names}"]


def check_order(stream: ResumableStream) -> list[str]:
    """Over all attempts, each event arrives once and in order."""
    numbers = [number for number, _ in stream.events]
    if numbers == list(range(1, len(numbers) + 1)):
        return []
    return [f"{stream.request_id}: its attempts brought {numbers}"]


def check_resumptions(streams: Sequence[ResumableStream]) -> list[str]:
    """Resumed streams go on at least half as often as new streams begin."""
    resumptions = [attempt for stream in streams for attempt in stream.resumptions]
    if len(resumptions) < MIN_JUDGED_RESUMPTIONS:
        return []
    first = [stream.attempts[0] for stream in streams]
    begun_share = sum(bool(attempt.events) for attempt in first) / len(first)
    resumed = sum(bool(attempt.events) for attempt in resumptions)
    if resumed >= MIN_RESUMED_SHARE * begun_share * len(resumptions):
        return []
    return [
        f"{resumed} of {len(resumptions)} resumptions went on, of new streams {begun_share:.2f}"
    ]

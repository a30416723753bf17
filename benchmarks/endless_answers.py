"""Measures what answers without end cost a router: ``python -m benchmarks.endless_answers``.

Plays each part of an answer that never ends on one connection and on several at once, which share
the replica's link. Prints the router's peak memory, its slowest readiness page, and how many
requests to a sound service were answered and lost. Each play takes up to five seconds.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from collections import Counter
from pathlib import Path

from standins.endless_answers import EndlessPart, write_endless_answer
from standins.faulty_service import FaultyService
from standins.http_server import Request

LINK_BYTES_PER_S = 125_000_000
CONNECTIONS = (1, 20, 60)
#: Memory in MB over which a play ends, so that the machine is spared.
MAX_RESIDENT_MB = 1_500.0
#: Routes whose answers are passed on event by event, and buffered until they are whole.
PATHS = dict.fromkeys(EndlessPart, "/stream/x") | dict.fromkeys(
    (EndlessPart.BODY, EndlessPart.UNFRAMED_BODY, EndlessPart.FAILURE_BODY), "/whole/x"
)


async def play(part: EndlessPart, connections: int) -> str:
    """Play one part on some connections; return a line of figures."""

    async def answer(request: Request, writer: asyncio.StreamWriter) -> bool:
        await write_endless_answer(part, request, writer, LINK_BYTES_PER_S / connections)
        return False

    with tempfile.TemporaryDirectory() as folder:
        service = FaultyService(Path(folder), answer)
        await service.start()
        guard = asyncio.create_task(_kill_if_too_large(service))
        calls = [service.call(PATHS[part], f"call-{number}") for number in range(connections)]
        statuses = Counter(status for status, _ in await asyncio.gather(*calls))
        peak_mb = service.router.peak_resident_mb
        killed = "" if service.router.is_running else " KILLED"
        guard.cancel()
        await service.stop()
    slowest_s = service.router.slowest_probe_s
    return (
        f"{part.value:16} {connections:3} {peak_mb:7.0f} MB {slowest_s:7.3f} s "
        f"served {service.sound_answers[200]:4} lost {len(service.lost):2} "
        f"statuses {dict(statuses)}{killed}"
    )


async def _kill_if_too_large(service: FaultyService) -> None:
    while service.router.resident_mb < MAX_RESIDENT_MB:
        await asyncio.sleep(0.02)
    await service.router.stop()


def main() -> None:
    """Play all parts, or those named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--part", action="append", choices=[part.value for part in EndlessPart])
    parser.add_argument("--connections", type=int, action="append")
    arguments = parser.parse_args()
    parts = [EndlessPart(name) for name in arguments.part or ()] or list(EndlessPart)
    for part in parts:
        for connections in arguments.connections or CONNECTIONS:
            print(asyncio.run(play(part, connections)), flush=True)


if __name__ == "__main__":
    main()

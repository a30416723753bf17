"""Callers of requests with a prompt part that crashes replicas, and the check that routers stop it.

No two of these requests are alike. They share their caller and their other parts with the streams
of :mod:`standins.soak.callers`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping

from standins.deployment import MODEL
from standins.notice_checks import Sender
from standins.replica_server import ReplicaServer
from standins.soak.callers import FIRST_PART, send_request
from standins.soak.disruptions import DisruptionLog
from standins.soak.fatal_checks import MAX_LATER_RUNS, FatalSender, find_later_runs

#: Crashes under one part after which routers must refuse it.
MAX_CRASHES = 5
FATAL_PARTS = ("dead0001", "dead0002")
#: Pause between two requests.
MIN_PAUSE_S, MAX_PAUSE_S = 0.1, 0.8
#: Start of the second part, as a share of the run.
SECOND_PART_SHARE = 0.4
_FAMILIES = 8


class FatalPartCallers(FatalSender):
    """Sends requests with fatal parts, to routers drawn at random."""

    async def run(self, for_s: float) -> None:
        """Send with the first part for the whole time, and with the second one from later on."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        await asyncio.gather(
            self._send_all(FATAL_PARTS[0], until_s),
            self._send_all(FATAL_PARTS[1], until_s, SECOND_PART_SHARE * for_s),
        )

    async def _send_all(self, part: str, until_s: float, delay_s: float = 0.0) -> None:
        await asyncio.sleep(delay_s)
        while asyncio.get_running_loop().time() < until_s:
            await self._send(part)
            await asyncio.sleep(self._random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def _send(self, part: str) -> None:
        self._sent += 1
        request_id = f"part-{self._sent}"
        router = self._choose_router(request_id)
        body = b"unlike %d" % self._sent
        path = f"/review/{self._sent}"
        await send_request(router.address, path, request_id, self._headers(part), body)

    def _headers(self, part: str) -> str:
        shared = [FIRST_PART, f"{self._random.randrange(_FAMILIES):08x}"]
        shared.insert(self._random.randrange(3), part)
        listed = ",".join(f"{part_id}:300" for part_id in [*shared, f"f{self._sent:07x}"])
        return f"X-Model: {MODEL}\r\nX-Token-Usage: 1200,12\r\nX-Prefix-Hash: {listed}\r\n"


def check_fatal_parts(
    replicas: Iterable[ReplicaServer],
    senders: Mapping[str, Sender],
    disruptions: DisruptionLog,
    contact_s: float,
) -> list[str]:
    """Return a line for each part that is still forwarded too often after five crashes."""
    all_runs = [run for replica in replicas for run in replica.fatal_runs]
    broken = []
    for part in sorted({part for run in all_runs for part in run.parts}):
        runs = [run for run in all_runs if part in run.parts]
        found = find_later_runs(runs, MAX_CRASHES, senders, disruptions, contact_s)
        if len(found.late) > MAX_LATER_RUNS:
            broken.append(
                f"BUDGET: part {part} ended {found.crashes} replicas and reached "
                f"{len(found.late)} later than {contact_s:.0f} s after the fifth, the last by "
                f"{found.late[-1].request_id}"
            )
    return broken

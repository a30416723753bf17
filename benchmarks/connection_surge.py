"""Measures routers when one of them is handed most of the new connections.

    python -m benchmarks.connection_surge [--per-second N] [--share SHARE] [--seed N]

Three router processes stand in front of stand-in replicas. Callers open a connection for each short
stream: evenly at first, then for ``SURGE_S`` with ``--share`` of them to the first router, then
evenly again. A caller whose connection is refused, or closed before any answer, tries another
router. For each second printed: the share of connections that were closed or refused without an
answer, the share served of the first attempts that were answered or left unanswered in time, and
the median time to their whole answer.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import random
import statistics
import tempfile
from collections.abc import Sequence
from multiprocessing.connection import Connection
from pathlib import Path

import msgspec

from standins.deployment import API_KEY, MODEL, ZONES, PlatformStandins
from standins.soak.routers import SoakRouter
from tests.relay_support import read_answer

CALM_S, SURGE_S, AFTER_S = 3.0, 6.0, 3.0
#: Events of each stream, and the time that a replica takes for one.
EVENTS = 10
TOKEN_INTERVAL_S = 0.002
ANSWER_TIMEOUT_S = 5.0
MAX_TRIES = 4
RETRY_DELAY_S = 0.05


class Attempt(msgspec.Struct):
    """The first attempt of a stream that was not turned away unread.

    ``sent_at_s`` counts from the start; ``turned_away`` counts the connections before it.
    """

    sent_at_s: float
    turned_away: int = 0
    served: bool = False
    took_s: float = 0.0


def stream_request(number: int) -> bytes:
    """Return a request whose answer is a stream of ``EVENTS`` events."""
    return (
        f"POST /review/x HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: surge-{number}\r\n"
        f"X-Key: {API_KEY}\r\nX-Deadline-Ms: 5000\r\nX-Model: {MODEL}\r\n"
        f"X-Token-Usage: 200,{EVENTS}\r\nX-Prefix-Hash: 5c1e07a2:90,{number % 40:08x}:60,"
        f"{number:08x}:50\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
    ).encode()


class SurgeCallers:
    """Callers that each open one connection for one stream."""

    def __init__(self, addresses: Sequence[str], per_s: float, share: float, seed: int) -> None:
        self._addresses = addresses
        self._per_s = per_s
        self._share = share
        self._random = random.Random(seed)
        self.attempts: list[Attempt] = []

    async def run(self) -> None:
        """Send all streams, and wait for their ends."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        tasks: list[asyncio.Task[None]] = []
        due_s = 0.0
        while due_s < CALM_S + SURGE_S + AFTER_S:
            await asyncio.sleep(max(0.0, started_s + due_s - loop.time()))
            tasks.append(asyncio.create_task(self._call(len(tasks), due_s)))
            due_s += self._random.expovariate(self._per_s)
        await asyncio.gather(*tasks)

    def _choose_router(self, at_s: float, tried: int) -> int:
        crowded = CALM_S <= at_s < CALM_S + SURGE_S
        if crowded and not tried and self._random.random() < self._share:
            return 0
        return self._random.randrange(len(self._addresses))

    async def _call(self, number: int, at_s: float) -> None:
        attempt = Attempt(at_s)
        self.attempts.append(attempt)
        loop = asyncio.get_running_loop()
        for tried in range(MAX_TRIES):
            sent_s = loop.time()
            answered = await self._try(self._choose_router(at_s, tried), number)
            attempt.took_s = loop.time() - sent_s
            if answered is not None:
                attempt.served = answered
                return
            attempt.turned_away += 1
            await asyncio.sleep(RETRY_DELAY_S)

    async def _try(self, router: int, number: int) -> bool | None:
        """Return whether the stream was whole, or None if the connection was turned away."""
        host, _, port = self._addresses[router].rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return None
        try:
            writer.write(stream_request(number))
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await read_answer(reader)
            return answer.status == 200 and answer.whole
        except asyncio.IncompleteReadError as error:
            return None if not error.partial else False
        except ConnectionError:
            return None
        except TimeoutError:
            return False
        finally:
            writer.close()


def call_in_process(
    addresses: Sequence[str], per_s: float, share: float, seed: int, results: Connection
) -> None:
    """Run the callers in a process of their own."""
    callers = SurgeCallers(addresses, per_s, share, seed)
    asyncio.run(callers.run())
    results.send_bytes(msgspec.msgpack.encode(callers.attempts))


async def measure(per_s: float, share: float, seed: int, folder: Path) -> list[Attempt]:
    """Return the attempts of one play, in the order of their sending."""
    platform = PlatformStandins()
    for replica in platform.model_replicas:
        replica.token_interval_s = TOKEN_INTERVAL_S
    await platform.start()
    routers = [
        SoakRouter(platform, number, zone, folder) for number, zone in enumerate(ZONES, start=1)
    ]
    try:
        for router in routers:
            await router.prepare()
            await router.start()
        await asyncio.sleep(4.0)
        receiver, sender = multiprocessing.Pipe(duplex=False)
        addresses = [router.address for router in routers]
        process = multiprocessing.get_context("spawn").Process(
            target=call_in_process, args=(addresses, per_s, share, seed, sender)
        )
        process.start()
        data = await asyncio.to_thread(receiver.recv_bytes)
        process.join()
    finally:
        for router in routers:
            router.kill()
        await platform.stop()
    return msgspec.msgpack.decode(data, type=list[Attempt])


def report(attempts: Sequence[Attempt]) -> None:
    """Print a line for each second."""
    print("second sent turned_away served median_s")
    for second in range(int(CALM_S + SURGE_S + AFTER_S)):
        sent = [item for item in attempts if second <= item.sent_at_s < second + 1]
        read = [item for item in sent if item.turned_away < MAX_TRIES]
        took_s = [item.took_s for item in read if item.served]
        turned_away = sum(item.turned_away > 0 for item in sent) / max(1, len(sent))
        served = len(took_s) / max(1, len(read))
        median_s = statistics.median(took_s) if took_s else float("nan")
        print(f"{second:6} {len(sent):4} {turned_away:11.2f} {served:6.2f} {median_s:8.3f}")


def main() -> None:
    """Measure one play."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--per-second", type=float, default=900.0)
    parser.add_argument("--share", type=float, default=0.9)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        attempts = asyncio.run(
            measure(options.per_second, options.share, options.seed, Path(folder))
        )
    report(attempts)


if __name__ == "__main__":
    main()

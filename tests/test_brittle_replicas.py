"""Replicas that fall over when they have to reject too many requests, before whole routers."""

from __future__ import annotations

import asyncio

from standins.brittle_room import BrittleRoom
from standins.deployment import API_KEY, MODEL
from tests.loopback_case import MAX_WAIT_S, LoopbackTestCase
from tests.relay_support import read_answer

#: Seconds after the word from which on falls count.
CONTACT_S = 3.0
COUNTED_S = 6.0
#: Requests that a replica admits at once, and rejections a second that it bears.
ROOM = 4
TOLERATED_PER_S = 3.0
#: Falls that are allowed: 2 and a tenth of the replicas.
ALLOWED_FALLS = 2
#: Demand as a multiple of what the room can serve.
OVERLOAD = 1.5
OUTPUT_TOKENS = 16
TOKEN_INTERVAL_S = 0.02
#: Share of what the room can serve that has to be served.
MIN_USE = 2 / 3


def brittle_request(number: int) -> bytes:
    """Return a request whose run takes about a third of a second."""
    return (
        f"POST /review/x HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: brittle-{number}\r\n"
        f"X-Key: {API_KEY}\r\nX-Deadline-Ms: 5000\r\nX-Model: {MODEL}\r\n"
        f"X-Token-Usage: 400,{OUTPUT_TOKENS}\r\n"
        f"X-Prefix-Hash: 5c1e07a2:90,{number % 23:08x}:110,{number:08x}:200\r\n"
        f"Content-Length: 8\r\nConnection: close\r\n\r\n{number:08d}"
    ).encode()


class BrittleReplicasTest(LoopbackTestCase):
    routers = 3

    async def send_brittle(self, number: int) -> int:
        settings = self.deployment.settings[self.random.randrange(self.routers)]
        host, _, port = settings.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(brittle_request(number))
        try:
            answer = await asyncio.wait_for(read_answer(reader), MAX_WAIT_S)
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        finally:
            writer.close()
        return answer.status if answer.whole else 0

    async def overload(self, seconds: float, first: int) -> list[int]:
        """Send more than the replicas can serve; return the statuses."""
        run_s = OUTPUT_TOKENS * TOKEN_INTERVAL_S
        per_s = OVERLOAD * ROOM * len(self.deployment.model_replicas) / run_s
        tasks = []
        for number in range(int(seconds * per_s)):
            tasks.append(asyncio.create_task(self.send_brittle(first + number)))
            await asyncio.sleep(1.0 / per_s)
        self.sent_until_s = asyncio.get_running_loop().time()
        return [await task for task in tasks]

    async def test_brittle_replicas_stay_up_and_in_use_under_overload(self) -> None:
        """Guards against rejections that make replicas fall over one after the other."""
        replicas = self.deployment.model_replicas
        rooms = [BrittleRoom(ROOM, TOLERATED_PER_S) for _ in replicas]
        for replica in replicas:
            replica.token_interval_s = TOKEN_INTERVAL_S
            replica.notices.brittle_per_s = TOLERATED_PER_S
        await self.overload(CONTACT_S, 0)
        for replica, room in zip(replicas, rooms, strict=True):
            replica.room = room
        begun_s = asyncio.get_running_loop().time()
        statuses = await self.overload(COUNTED_S, 100_000)
        falls = sum(len(room.falls_s) for room in rooms)
        served = statuses.count(200)
        self.assertLessEqual(falls, ALLOWED_FALLS + len(replicas) / 10, f"served {served}")
        runs_s = [run_s for room in rooms for run_s in room.runs_s]
        sending_s = self.sent_until_s - begun_s
        # What fits into the room, by the time that the runs have taken.
        fits = ROOM * len(replicas) * sending_s * len(runs_s) / sum(runs_s)
        self.assertGreaterEqual(served, MIN_USE * fits, f"of {len(statuses)}")


class ManyRoutersTest(BrittleReplicasTest):
    #: Nearly as many routers as there is room at all replicas together.
    routers = 15

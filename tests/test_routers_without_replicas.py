"""Routers that lose their own links to replicas while callers, the store and peers reach them."""

from __future__ import annotations

import asyncio
import time

from standins.deployment import API_KEY
from standins.replica_links import LinkFault, ReplicaLinks
from tests.loopback_case import MAX_WAIT_S, LoopbackTestCase
from tests.relay_support import read_answer

#: Seconds from the begin of a partition from which on the requests count.
CONTACT_S = 3.0
#: Partitioned routers serve at least this share of what the others serve.
MIN_SHARE = 2 / 3
#: Failures at partitioned routers that are allowed beside a fiftieth of all requests there.
ALLOWED_FAILURES = 10
REQUESTS_PER_S = 60
COUNTED_S = 2.0
#: Seconds for which a sound replica may be silent.
SILENCE_S = 1.2


def command(name: str) -> bytes:
    """Return a request that must not run twice."""
    return (
        f"POST /roster/x HTTP/1.1\r\nHost: proofs.example\r\nX-Request-Id: {name}\r\n"
        f"X-Key: {API_KEY}\r\nX-Deadline-Ms: 2500\r\nContent-Length: 4\r\n"
        "Connection: close\r\n\r\nbody"
    ).encode()


class RoutersWithoutReplicasTest(LoopbackTestCase):
    routers = 5
    simulate_links = True
    cut_routers = frozenset({0, 1})

    @property
    def links(self) -> ReplicaLinks:
        assert self.deployment.links is not None
        return self.deployment.links

    async def send_command(self, router: int, name: str) -> bool:
        """Send one command and return whether it was served."""
        return await self.command_status(router, name) == 200

    async def command_status(self, router: int, name: str) -> int:
        """Send one command and return the status of its whole answer, or 0."""
        host, _, port = self.deployment.settings[router].caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(command(name))
        try:
            answer = await asyncio.wait_for(read_answer(reader), MAX_WAIT_S)
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        finally:
            writer.close()
        return answer.status if answer.whole else 0

    async def send_stream(self, router: int) -> bool:
        """Send one stream and return whether it was served."""
        try:
            answer = await self.send_request(router)
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        return answer.whole and answer.status == 200

    async def send_to_all(self, seconds: float, label: str) -> dict[int, list[bool]]:
        """Send streams and commands to all routers in turn; return who served what."""
        tasks: list[tuple[int, asyncio.Task[bool]]] = []
        for number in range(int(seconds * REQUESTS_PER_S)):
            router = number % self.routers
            sending = (
                self.send_command(router, f"{label}-{number}")
                if number % 3 == 0
                else self.send_stream(router)
            )
            tasks.append((router, asyncio.create_task(sending)))
            await asyncio.sleep(1.0 / REQUESTS_PER_S)
        served: dict[int, list[bool]] = {}
        for router, task in tasks:
            served.setdefault(router, []).append(await task)
        return served

    async def serve_under(self, fault: LinkFault) -> None:
        """Partition some routers and compare what they and the others serve."""
        await self.send_to_all(1.0, "before")
        for router in self.cut_routers:
            self.links.set_fault(router, fault)
        await self.send_to_all(CONTACT_S, "first")
        served = await self.send_to_all(COUNTED_S, "counted")
        cut = [ok for router in self.cut_routers for ok in served[router]]
        others = [
            ok for router, oks in served.items() if router not in self.cut_routers for ok in oks
        ]
        failed = cut.count(False)
        enough = cut.count(True) / len(cut) >= MIN_SHARE * others.count(True) / len(others)
        self.assertTrue(
            enough or failed <= ALLOWED_FAILURES + len(cut) / 50,
            f"partitioned routers served {cut.count(True)} of {len(cut)}, "
            f"the others {others.count(True)} of {len(others)}",
        )

    async def test_callers_are_served_while_links_are_silent(self) -> None:
        """Guards against a router that waits for its own links alone."""
        await self.serve_under(LinkFault.SILENT)

    async def test_callers_are_served_while_links_are_reset(self) -> None:
        """Guards against a router that refuses what its peers could serve."""
        await self.serve_under(LinkFault.RESET)

    async def test_callers_are_served_while_only_new_connections_are_refused(self) -> None:
        """Guards against the same where open connections live on."""
        await self.serve_under(LinkFault.REFUSE_NEW)

    async def test_a_silence_of_a_second_ends_no_answer(self) -> None:
        """Guards against connections to sound replicas that are given up after a short silence."""
        await self.send_to_all(1.0, "before")
        commands: list[asyncio.Task[int]] = []
        for begin in range(2):
            for router in range(self.routers):
                self.links.set_fault(router, LinkFault.SILENT)
            for number in range(4 * self.routers):
                sending = self.command_status(number % self.routers, f"silent-{begin}-{number}")
                commands.append(asyncio.create_task(sending))
            streams = [asyncio.create_task(self.send_stream(router)) for router in range(5)]
            await asyncio.sleep(SILENCE_S)
            for router in range(self.routers):
                self.links.set_fault(router, LinkFault.NONE)
            self.assertEqual([await stream for stream in streams], [True] * 5)
        statuses = [await answer for answer in commands]
        # A command that no connection came up for was not run, and is refused as such.
        self.assertEqual([status for status in statuses if status not in (200, 503)], [])
        ran = [name for replica in self.deployment.application_replicas for name in replica.ran]
        self.assertEqual(len(ran), len(set(ran)))

    async def test_sound_routers_do_not_avoid_replicas_that_answer_them(self) -> None:
        """Guards against ejections on the word of routers that lost their own links."""
        await self.send_to_all(1.0, "before")
        for router in self.cut_routers:
            self.links.set_fault(router, LinkFault.SILENT)
        sending = asyncio.create_task(self.send_to_all(CONTACT_S, "during"))
        avoided = 0
        until_s = time.monotonic() + CONTACT_S
        while time.monotonic() < until_s:
            avoided += self._avoided_by_sound_routers()
            await asyncio.sleep(0.1)
        await sending
        self.assertEqual(avoided, 0)

    def _avoided_by_sound_routers(self) -> int:
        """Return how many replicas sound routers avoid now, summed over the routers."""
        sound = [
            router.state
            for number, router in enumerate(self.deployment.routers)
            if number not in self.cut_routers
        ]
        return sum(
            replica.ejected_until_s > state.clock()
            for state in sound
            for replica in state.fleet.replicas()
        )

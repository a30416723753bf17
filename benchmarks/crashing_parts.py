"""Measures what a crash costs in messages about prompt parts, in virtual time.

    python -m benchmarks.crashing_parts [--daemons N] [--crashes N]

Replicas crash one after the other, each under runs of 48 daemons; each run has a popular part, one
of 40 families, and each crash has one run with the same bad part. All other daemons know that the
sound parts succeeded. Printed: datagrams and bytes sent for each daemon and crash beyond those of
the same time without a crash, how many daemons limit the bad part, and the largest number of
daemons that limited a sound one.
"""

from __future__ import annotations

import argparse
import asyncio

from tests.memory_store import MemoryStore
from tests.test_crash_fleet import Fleet
from tests.virtual_loop import run_virtually
from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.prompt_parts import Prompt, PromptPart
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.request_digest import shared_part_digests

RUNS = 48
FAMILIES = 40
SETTLE_S = 3.0
#: Interval at which the limits of sound parts are sampled.
SAMPLE_S = 0.05


def digest(part_id: str) -> bytes:
    """Return the digest of a shared part."""
    return shared_part_digests(Prompt("m", (PromptPart(part_id, 1), PromptPart("last", 1)), 2))[0]


BAD = digest("bad")
POPULAR = digest("popular")
SOUND = [POPULAR, *(digest(f"family-{number}") for number in range(FAMILIES))]


class CrashMeasurement:
    """A fleet whose datagrams are counted."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.datagrams = 0
        self.sent_bytes = 0
        self.most_sound_limited = 0
        fleet.network.on_sent = self._count

    def _count(self, sender: str, receiver: str, data: bytes) -> None:
        self.datagrams += 1
        self.sent_bytes += len(data)

    def limiting(self, part: bytes) -> int:
        """Return how many daemons limit a part."""
        return sum(daemon.state.crashes.parts.is_limited([part]) for daemon in self._fleet.daemons)

    async def crash(self, number: int) -> None:
        """Let a replica crash under the runs of many daemons, and wait until all is told."""
        listing = ReplicaListing(f"i-{number}", "s", "a:1", "z", 64, True, started_at_ms=number + 1)
        replica = RelayReplica(listing, {}, listing.incarnation)
        for index, daemon in enumerate(self._fleet.daemons):
            guard = daemon.state.crashes.parts
            if (index + number) % len(self._fleet.daemons) >= RUNS:
                guard.record_success(SOUND)
                continue
            parts = [POPULAR, SOUND[1 + index % FAMILIES], *([BAD] if index == number else [])]
            guard.record_broken_run(self, parts, replica, silent=False)
            guard.record_crash(replica, CrashEvidence.PORT_CLOSED, announced=False)
        await self.settle()

    async def settle(self) -> None:
        """Wait, and sample the limits of sound parts."""
        for _ in range(round(SETTLE_S / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            self.most_sound_limited = max(
                self.most_sound_limited, *(self.limiting(part) for part in SOUND[:3])
            )


async def measure(daemons: int, crashes: int) -> None:
    """Print the cost of each crash."""
    fleet = Fleet(MemoryStore(), daemons)
    await asyncio.sleep(6.0)
    measurement = CrashMeasurement(fleet)
    await measurement.settle()
    calm = measurement.datagrams, measurement.sent_bytes
    print(f"calm: {calm[0] / daemons:.0f} datagrams, {calm[1] / daemons:.0f} bytes a daemon")
    for number in range(crashes):
        measurement.datagrams = measurement.sent_bytes = measurement.most_sound_limited = 0
        await measurement.crash(number)
        print(
            f"crash {number + 1}: {(measurement.datagrams - calm[0]) / daemons:.1f} datagrams, "
            f"{(measurement.sent_bytes - calm[1]) / daemons:.0f} bytes a daemon; "
            f"bad part limited by {measurement.limiting(BAD)}, "
            f"a sound one by {measurement.most_sound_limited} at most"
        )
    fleet.kill()


def main() -> None:
    """Measure one fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=60)
    parser.add_argument("--crashes", type=int, default=3)
    options = parser.parse_args()
    run_virtually(measure(options.daemons, options.crashes))


if __name__ == "__main__":
    main()

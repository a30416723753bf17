"""Measures what the store's record of software versions costs in a large fleet, without sockets.

    python -m benchmarks.version_record [--daemons N]

Daemons that follow one store find a record and see a version join, once with a leader and once
without one; then all are killed and replaced. Printed are the transactions that the fleet sends for
each change, the virtual seconds until the record has it, and how many of the new daemons conclude
at once that two versions may have begun a stream.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Callable

from tests.version_record_fleet import SERVICE, START_S, VersionRecordFleet
from tests.virtual_loop import run_virtually
from winchfork.core.version_register import VersionRecord
from winchfork.logs import configure_logs
from winchfork.router.version_records import VERSION_RECORD_KEY, encode_version_record

DAEMONS = 420
#: Virtual seconds in which the transactions of a change are counted.
COUNTED_S = 6.0


async def _until(is_true: Callable[[], bool]) -> float:
    """Return the seconds until a condition holds."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    while not is_true() and loop.time() - started_s < COUNTED_S:
        await asyncio.sleep(0.01)
    return loop.time() - started_s


async def _join(fleet: VersionRecordFleet, software: str, case: str) -> None:
    sent = fleet.store.calls.count("transact")
    writes = fleet.record_writes()
    fleet.list_replica(f"i-{9 + writes}", software)
    took_s = await _until(lambda: software in fleet.recorded())
    await asyncio.sleep(COUNTED_S - took_s)
    sent = fleet.store.calls.count("transact") - sent
    print(f"{case}: {sent} transactions, {fleet.record_writes() - writes} written, {took_s:.2f} s")


async def _measure(daemons: int) -> None:
    fleet = VersionRecordFleet(daemons)
    record = VersionRecord(fleet.store.era, {SERVICE: ("v1",)})
    fleet.store.put(VERSION_RECORD_KEY, encode_version_record(record))
    await asyncio.sleep(START_S)
    print(f"concluded by daemons that have started: {await fleet.conclusions()}")
    await _join(fleet, "v1.1", "a version joins")
    for daemon in fleet.daemons:
        daemon.leadership.withdraw()
    leader = fleet.leader()
    leader.kill(fleet.network)
    fleet.daemons.remove(leader)
    await asyncio.sleep(3.0)
    await _join(fleet, "v1.2", "a version joins while nobody leads")
    fleet.kill_all()
    for number in (10, 11):
        fleet.remove_replica(f"i-{number}")
    await fleet.start_all()
    print(f"concluded after all were killed and those versions left: {await fleet.conclusions()}")


def main() -> None:
    """Run the scenario and print the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=DAEMONS)
    configure_logs("error")
    run_virtually(_measure(parser.parse_args().daemons))


if __name__ == "__main__":
    main()

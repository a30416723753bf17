"""Measures what it costs to archive records of streams in the store, without sockets.

    python -m benchmarks.stream_archive [--daemons N] [--streams-per-s N] [--records N]

Daemons of a fleet begin streams while one version serves, while two do, and in the second in which
the second version joins. Printed are the batches and bytes written a second, the datagrams of a
stream, and the bytes a second that the daemon with the most receives. Then whole fleets follow a
store; printed are their calls a second, and the share of the streams of the last seconds that is
found after all daemons have died. Last, one daemon reads an archive; printed are its size, and the
time to decode it and to look up a stream.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import json
import time
from collections import Counter
from collections.abc import Sequence

from tests.archive_fleet import SERVICE, VERSIONS, ArchiveFleet
from tests.hollow_archive_fleet import HollowArchiveFleet
from tests.virtual_loop import run_virtually
from winchfork.core.stream_batch import ArchivedStreams, StreamBatch, StreamRecord
from winchfork.core.stream_origin import StreamOrigin, stream_key
from winchfork.errors import Failure
from winchfork.logs import configure_logs
from winchfork.router.stream_records import decode_batch, encode_batch

MEASURED_S = 5.0
#: Seconds of streams that were begun before the second version joins.
EARLIER_S = 15.0
RECORDS_PER_BATCH = 120
LOOKUPS = 200
FOLLOWING_DAEMONS = (7, 36)
FOLLOWING_STREAMS_PER_S = 40
FOLLOWING_S = 8.0
CALLS_S = 20.0
DEATHS = 6
#: Seconds for which a stream lasts, and by which each death comes later after the last batch.
STREAM_S = 2.0
PHASE_S = 0.1


class _Meter:
    """What a fleet has sent and written since the meter was made."""

    def __init__(self, fleet: HollowArchiveFleet) -> None:
        self._fleet = fleet
        self._batches, self._bytes = fleet.store.batches, fleet.store.batch_bytes
        self._datagrams = fleet.datagrams
        self._received = Counter(fleet.received_bytes)

    def report(self, name: str, seconds: float, streams_per_s: int) -> None:
        """Print what the fleet has sent and written."""
        fleet = self._fleet
        most = max((fleet.received_bytes - self._received).values(), default=0)
        print(
            f"{len(fleet.daemons)} daemons, {streams_per_s} streams a second, {name}: "
            f"{(fleet.store.batches - self._batches) / seconds:.1f} batches and "
            f"{(fleet.store.batch_bytes - self._bytes) / seconds:.0f} bytes a second, "
            f"{(fleet.datagrams - self._datagrams) / seconds / streams_per_s:.2f} datagrams a "
            f"stream, {most / seconds:.0f} bytes a second received by one daemon at most",
            flush=True,
        )


async def measure_fleet(daemons: int, streams_per_s: int) -> None:
    """Begin streams before, while and after a second version joins."""
    fleet = HollowArchiveFleet(daemons)
    await asyncio.sleep(3.0)
    meter = _Meter(fleet)
    await fleet.begin_for(EARLIER_S, streams_per_s)
    meter.report("one version", EARLIER_S, streams_per_s)
    meter = _Meter(fleet)
    fleet.list_versions()
    await fleet.begin_for(1.0, streams_per_s)
    meter.report("the second after another joined", 1.0, streams_per_s)
    await fleet.begin_for(MEASURED_S, streams_per_s)
    meter = _Meter(fleet)
    await fleet.begin_for(MEASURED_S, streams_per_s)
    meter.report("two versions", MEASURED_S, streams_per_s)


async def measure_calls(daemons: int, versions: Sequence[str], streams_per_s: int) -> None:
    """Begin streams at daemons that follow a store, and kill all at different times."""
    fleet = ArchiveFleet(daemons, versions)
    await asyncio.sleep(FOLLOWING_S)
    before = Counter(fleet.store.calls)
    await fleet.begin_for(CALLS_S, streams_per_s)
    calls = Counter(fleet.store.calls) - before
    shares = []
    for death in range(DEATHS):
        fleet.forget_begun()
        await fleet.begin_for(STREAM_S + death * PHASE_S, streams_per_s)
        await fleet.replace_all()
        findings = await fleet.continue_all()
        assert not findings.wrong
        shares.append(f"{findings.found_share:.2f}")
        await asyncio.sleep(FOLLOWING_S)
    fleet.kill(*fleet.daemons)
    rates = ", ".join(f"{name} {count / CALLS_S:.1f}" for name, count in sorted(calls.items()))
    print(
        f"{daemons} daemons, versions {' and '.join(versions)}, {streams_per_s} streams a second: "
        f"calls a second: {rates}; found after the deaths of all: {' '.join(shares)}",
        flush=True,
    )


def measure_reader(records: int) -> None:
    """Decode an archive as one daemon does, and look streams up."""
    streams = [
        StreamRecord(
            stream_key("school", f"stream-{number}"),
            StreamOrigin(SERVICE, VERSIONS[number % len(VERSIONS)]),
            20.0,
        )
        for number in range(records)
    ]
    values = [
        encode_batch(StreamBatch.of(streams[first : first + RECORDS_PER_BATCH]))
        for first in range(0, records, RECORDS_PER_BATCH)
    ]
    page = json.dumps([base64.b64encode(value).decode() for value in values])
    started_s = time.perf_counter()
    archived = ArchivedStreams()
    for number, text in enumerate(json.loads(page)):
        batch = decode_batch(base64.b64decode(text))
        assert not isinstance(batch, Failure)
        archived.add(f"batch-{number}", batch, 0.0)
    read_ms = (time.perf_counter() - started_s) * 1000.0
    started_s = time.perf_counter()
    for item in streams[:: max(1, records // LOOKUPS)]:
        assert archived.find(item.key, 1.0)
    looked_up = len(streams[:: max(1, records // LOOKUPS)])
    lookup_us = (time.perf_counter() - started_s) / looked_up * 1e6
    print(
        f"{records} records: {sum(map(len, values))} bytes in {len(values)} batches, read in "
        f"{read_ms:.1f} ms, {lookup_us:.0f} us a lookup",
        flush=True,
    )


def main() -> None:
    """Parse the arguments and measure."""
    parser = argparse.ArgumentParser(prog="benchmarks.stream_archive", description=__doc__)
    parser.add_argument("--daemons", type=int, default=420)
    parser.add_argument("--streams-per-s", type=int, default=1600)
    parser.add_argument("--records", type=int, default=40_000)
    arguments = parser.parse_args()
    configure_logs("error")
    run_virtually(measure_fleet(arguments.daemons, arguments.streams_per_s))
    for daemons in FOLLOWING_DAEMONS:
        for versions in (("v1", "v1"), VERSIONS):
            run_virtually(measure_calls(daemons, versions, FOLLOWING_STREAMS_PER_S))
    measure_reader(arguments.records)


if __name__ == "__main__":
    main()

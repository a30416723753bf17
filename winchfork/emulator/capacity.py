"""Measures the figures in docs/CAPACITY.md: memory, traffic and processor time per role and size.

Each size series is fitted with a line, whose slope is the cost per unit of size.
"""

from __future__ import annotations

import dataclasses
import random
import socket
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import cbor2

from winchfork.cluster.messages import MESSAGE_TYPES, CacheUpdate, LookupReply, LookupRequest
from winchfork.cluster.wire import PeerCodec
from winchfork.core.cache_index import CacheEvent, CacheIndex, EventKind
from winchfork.core.claims import Claim, ClaimVoter, VoterPanel
from winchfork.core.decisions import DecisionEvent, DecisionLog
from winchfork.core.families import FamilyMap
from winchfork.core.fleet import Replica, ReplicaIdentity, ReplicaLoad
from winchfork.core.member import MemberStatus
from winchfork.core.placement import PlacementRequest
from winchfork.core.policies.expected_time import ExpectedTime
from winchfork.core.prefix import PromptPrefix
from winchfork.emulator.hollow import HollowRegion
from winchfork.errors import Failure

#: Daemons in a region; the target has 140.
CAPACITY_SIZES = (20, 40, 80, 140)
_WARM_UP_S = 12.0
_MEASURED_S = 10.0
_REPLICAS_PER_DAEMON = 600 / 420
_CONFIGURATION_BYTES = 48_000
_CODEC = PeerCodec(b"capacity measurement key", MESSAGE_TYPES)


@dataclasses.dataclass(frozen=True)
class Line:
    """A least-squares line: value = intercept + slope * size, with its R squared."""

    intercept: float
    slope: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return the value at a size."""
        return self.intercept + self.slope * size


def fit_line(points: list[tuple[float, float]]) -> Line:
    """Fit a line to (x, y) points by least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread_x = sum((x - mean_x) ** 2 for x, _ in points)
    spread_y = sum((y - mean_y) ** 2 for _, y in points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / spread_x if spread_x else 0.0
    explained = covariance**2 / (spread_x * spread_y) if spread_x and spread_y else 1.0
    return Line(mean_y - slope * mean_x, slope, explained)


def measure_capacity(sizes: tuple[int, ...] = CAPACITY_SIZES) -> dict[str, Any]:
    """Run every measurement.

    Times are in seconds: of processor time on this machine for costs, of virtual time for the
    delays between daemons.
    """
    return {
        "sizes": list(sizes),
        "datagram_s": measure_datagram_cost(),
        "membership": [measure_membership(size) for size in sizes],
        "configuration": [measure_configuration(size) for size in sizes],
        "failure": measure_failure(max(sizes)),
        "region_cut": measure_region_cut(max(sizes)),
        "index": [measure_index(blocks) for blocks in (50_000, 100_000, 200_000, 262_000)],
        "reader": [measure_reader(blocks) for blocks in (50_000, 100_000, 200_000, 262_000)],
        "events": measure_event_cost(),
        "lookup": measure_lookup_cost(),
        "placement": [measure_placement(count) for count in (10, 100, 200, 600)],
        "claim": measure_claim_cost(),
        "decisions": measure_decision_log(),
    }


# --- membership, load gossip, configuration ---


def measure_membership(daemons: int) -> dict[str, float]:
    """Measure gossip traffic per daemon and second in steady state.

    Every replica's load changes once a second.
    """
    region = HollowRegion(daemons, int(daemons * _REPLICAS_PER_DAEMON), seed=1)
    region.run(_WARM_UP_S)
    region.reset_traffic()
    region.run(_MEASURED_S)
    count = len(region.daemons)
    total = [daemon.traffic for daemon in region.daemons]
    messages = sum(item.sent + item.received for item in total)
    sent_bytes = sum(item.sent_bytes for item in total)
    received_bytes = sum(item.received_bytes for item in total)
    processor_s = sum(item.processor_s for item in total)
    known = sum(len(daemon.membership.members()) for daemon in region.daemons) / count
    loads = sum(len(daemon.loads) for daemon in region.daemons) / count
    return {
        "daemons": daemons,
        "messages_per_s": messages / count / _MEASURED_S,
        "sent_bytes_per_s": sent_bytes / count / _MEASURED_S,
        "received_bytes_per_s": received_bytes / count / _MEASURED_S,
        "processor_share": processor_s / count / _MEASURED_S,
        "members_known": known,
        "replica_loads_known": loads,
    }


def measure_configuration(daemons: int) -> dict[str, float]:
    """Measure how long a configuration takes to reach every daemon, and the bytes it costs each."""
    region = HollowRegion(daemons, 0, seed=2)
    region.run(_WARM_UP_S)
    region.reset_traffic()
    region.publish(0, 1, _CONFIGURATION_BYTES)
    started_s = region.now_s
    region.run(10.0)
    installed = [daemon.installed_at_s.get(1, float("inf")) for daemon in region.daemons]
    change_bytes = sum(daemon.traffic.sent_bytes for daemon in region.daemons) / daemons
    region.reset_traffic()
    region.run(10.0)
    idle_bytes = sum(daemon.traffic.sent_bytes for daemon in region.daemons) / daemons
    ordered = sorted(at_s - started_s for at_s in installed)
    return {
        "daemons": daemons,
        "in_force_everywhere_s": ordered[-1],
        "in_force_median_s": ordered[len(ordered) // 2],
        "bytes_per_daemon_and_change": change_bytes - idle_bytes,
    }


def measure_failure(daemons: int) -> dict[str, float]:
    """Measure how soon every daemon detects a crashed daemon, its return, and a crashed rack."""
    region = HollowRegion(daemons, 0, seed=3)
    region.run(_WARM_UP_S)
    victim = region.daemons[7]
    victim.alive = False
    died_s = region.now_s
    noticed_s = _run_until(
        region,
        lambda: all(
            status in (MemberStatus.SUSPECT, MemberStatus.DEAD)
            for status in region.statuses_of(victim.membership.own.member_id)
        ),
    )
    region.restart(7, incarnation=2)
    back_s = _run_until(
        region,
        lambda: all(
            status is MemberStatus.ALIVE
            for status in region.statuses_of(victim.membership.own.member_id)
        ),
    )
    rack = region.daemons[10:24]
    for daemon in rack:
        daemon.alive = False
    rack_s = _run_until(
        region,
        lambda: all(
            status in (MemberStatus.SUSPECT, MemberStatus.DEAD)
            for daemon in rack
            for status in region.statuses_of(daemon.membership.own.member_id)
        ),
    )
    return {
        "daemons": daemons,
        "death_known_everywhere_s": noticed_s,
        "return_known_everywhere_s": back_s,
        "rack_of_14_known_everywhere_s": rack_s,
        "died_at_s": died_s,
    }


def measure_region_cut(daemons: int) -> dict[str, float]:
    """Measure a zone (a quarter of the region) that is cut off for a minute, then reconnected."""
    region = HollowRegion(daemons, 0, seed=4)
    region.run(_WARM_UP_S)
    region.reset_traffic()
    zone = [daemon for daemon in region.daemons if daemon.membership.own.zone == "zone-0"]
    cut = {daemon.address for daemon in zone}
    region.cut_between(cut)
    region.run(60.0, load_changes_per_s=0.0)
    during = [daemon.traffic for daemon in region.daemons if daemon.address not in cut]
    cut_bytes = sum(item.sent_bytes + item.received_bytes for item in during) / len(during) / 60
    region.cut_between(set())
    healed_s = _run_until(
        region,
        lambda: all(len(daemon.membership.members()) == daemons for daemon in region.daemons),
    )
    return {
        "daemons": daemons,
        "bytes_per_s_during_cut": cut_bytes,
        "whole_again_after_s": healed_s,
    }


def _run_until(region: HollowRegion, condition: Callable[[], bool]) -> float:
    """Return the virtual seconds until ``condition`` holds, or infinity after 300 s."""
    started_s = region.now_s
    while not condition():
        region.run(0.25, load_changes_per_s=0.0)
        if region.now_s - started_s > 300:
            return float("inf")
    return region.now_s - started_s


def measure_datagram_cost() -> float:
    """Return the processor seconds to send and receive one datagram of 600 bytes on loopback."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
    ):
        receiver.bind(("127.0.0.1", 0))
        address = receiver.getsockname()
        count = 5_000
        payload = b"x" * 600
        started = time.process_time()
        for _ in range(count):
            sender.sendto(payload, address)
            receiver.recvfrom(2048)
        return (time.process_time() - started) / count


# --- cache index, events, lookups ---


def _chains(blocks: int, generator: random.Random) -> list[tuple[int, ...]]:
    """Return random chains of 30 block keys each, with ``blocks`` keys in total."""
    return [
        tuple(generator.getrandbits(63) for _ in range(30)) for _ in range(max(1, blocks // 30))
    ]


def measure_index(blocks: int) -> dict[str, float]:
    """Measure the memory of the cache index with ``blocks`` entries over 200 replicas."""
    generator = random.Random(5)
    chains = _chains(blocks, generator)
    tracemalloc.start()
    index = CacheIndex()
    for number, chain in enumerate(chains):
        index.assume_stored(f"replica-{number % 200}", 1, chain)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    # The keys were allocated with the chains above, before tracing. In a daemon the index owns
    # them, so their 32 bytes each are added.
    count = len(index)
    return {"blocks": count, "bytes": used + 32 * count, "bytes_per_block": used / count + 32}


def measure_reader(blocks: int) -> dict[str, float]:
    """Measure the memory of the block families that a replica's event reader holds."""
    generator = random.Random(6)
    chains = _chains(blocks, generator)
    tracemalloc.start()
    families = FamilyMap()
    for chain in chains:
        families.record_stored(0, chain)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    count = sum(len(chain) for chain in chains)
    return {"blocks": count, "bytes": used, "bytes_per_block": used / count}


class _PlainIndex:
    """A baseline index: a dict of sets, without fencing and gap detection."""

    def __init__(self) -> None:
        self.holders: dict[int, set[str]] = {}

    def apply(self, replica_id: str, event: CacheEvent) -> None:
        """Apply one event."""
        for key in event.block_keys:
            if event.kind is EventKind.STORED:
                self.holders.setdefault(key, set()).add(replica_id)
            else:
                found = self.holders.get(key)
                if found is not None:
                    found.discard(replica_id)
                    if not found:
                        del self.holders[key]


def _decoded(datagram: bytes) -> Any:
    message = _CODEC.decode(datagram)
    assert not isinstance(message, Failure)
    return message


def measure_event_cost() -> dict[str, float]:
    """Measure the processor time to apply and to forward events of 4 blocks.

    The cost of applying them is compared with that of the baseline index.
    """
    generator = random.Random(7)
    runs = [tuple(generator.getrandbits(63) for _ in range(4)) for _ in range(40_000)]
    events: list[CacheEvent] = []
    for number, run in enumerate(runs):
        events.append(CacheEvent(len(events) + 1, EventKind.STORED, run))
        if number >= 10_000:
            removed = runs[number - 10_000]
            events.append(CacheEvent(len(events) + 1, EventKind.REMOVED, removed))
    index = CacheIndex()
    index.fence("replica-0", 1)
    started = time.process_time()
    for event in events:
        index.apply("replica-0", 1, event)
    index_s = (time.process_time() - started) / len(events)
    plain = _PlainIndex()
    started = time.process_time()
    for event in events:
        plain.apply("replica-0", event)
    plain_s = (time.process_time() - started) / len(events)
    started = time.process_time()
    families = FamilyMap()
    updates = 0
    update_bytes = 0
    for start in range(0, len(events), 58):
        # One poll: the events of 0.2 s at 286 a second, merged into one update per owner.
        batch = events[start : start + 58]
        changes = families.apply_events(batch)
        by_owner: dict[int, tuple[list[int], list[int]]] = {}
        for key, stored in changes.items():
            cached, removed_keys = by_owner.setdefault(families.owner_key(key) % 8, ([], []))
            (cached if stored else removed_keys).append(key)
        for cached, removed_keys in by_owner.values():
            datagram = _CODEC.encode(
                CacheUpdate("replica-0", 1, tuple(cached), tuple(removed_keys))
            )
            assert isinstance(datagram, bytes)
            updates += 1
            update_bytes += len(datagram)
    forward_s = (time.process_time() - started) / len(events)
    raw = cbor2.dumps([[e.sequence, e.kind.value, list(e.block_keys)] for e in events[:1000]])
    return {
        "fold_s_per_event": index_s,
        "plain_fold_s_per_event": plain_s,
        "ratio_to_plain": index_s / plain_s,
        "events_per_core_second": 1 / index_s,
        "forward_s_per_event": forward_s,
        "forward_bytes_per_event": update_bytes / len(events),
        "raw_bytes_per_event": len(raw) / 1000,
    }


def measure_lookup_cost() -> dict[str, float]:
    """Measure the bytes and the processor time (both ends) of one lookup of a 30-block prompt."""
    generator = random.Random(8)
    chains = _chains(60_000, generator)
    index = CacheIndex()
    for number, chain in enumerate(chains):
        for copy in range(1 + number % 3):
            index.assume_stored(f"replica-{(number + copy) % 200}", 1, chain)
    request_bytes = reply_bytes = 0
    count = 2_000
    started = time.process_time()
    for number in range(count):
        request = _CODEC.encode(LookupRequest(number, chains[number % len(chains)]))
        assert isinstance(request, bytes)
        received = _decoded(request)
        reply = _CODEC.encode(LookupReply(number, index.match(received.block_keys)))
        assert isinstance(reply, bytes)
        _CODEC.decode(reply)
        request_bytes += len(request)
        reply_bytes += len(reply)
    return {
        "processor_s_both_ends": (time.process_time() - started) / count,
        "request_bytes": request_bytes / count,
        "reply_bytes": reply_bytes / count,
    }


# --- placement, claims, decisions ---


def measure_placement(replicas: int) -> dict[str, float]:
    """Measure one placement of a 30-block prompt: processor time and peak memory allocated."""
    generator = random.Random(9)
    candidates = [
        Replica(
            f"replica-{number}",
            "pool",
            "zone",
            "",
            ReplicaIdentity(1, 1),
            ReplicaLoad(generator.randrange(20_000), 0, generator.randrange(30)),
        )
        for number in range(replicas)
    ]
    policy = ExpectedTime()
    requests = [
        PlacementRequest(
            f"r{number}",
            PromptPrefix(tuple(generator.getrandbits(63) for _ in range(30)), 30 * 1024 + 300),
        )
        for number in range(50)
    ]
    matched = {f"replica-{number}": 20 + number for number in range(3)}
    policy.choose(requests[0], candidates, matched)
    started = time.process_time()
    repeats = max(1, 2_000 // replicas)
    for _ in range(repeats):
        for request in requests:
            policy.choose(request, candidates, matched)
    seconds = (time.process_time() - started) / (repeats * len(requests))
    tracemalloc.start()
    tracemalloc.reset_peak()
    policy.choose(requests[1], candidates, matched)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"replicas": replicas, "processor_s": seconds, "peak_bytes": peak}


def measure_claim_cost() -> dict[str, float]:
    """Measure one claim with three voters: bytes, messages, processor time, memory per vote."""
    panel = VoterPanel("p0", 1, ("a", "b", "c"))
    voters = [ClaimVoter(name, 1, 0.0, panel) for name in panel.voters]
    for voter in voters:
        voter.on_store_read(panel, change_intended=False)
    count = 2_000
    total_bytes = messages = 0
    started = time.process_time()
    for number in range(count):
        claim = Claim(panel, f"7:farm-1|{number:036d}", 1000.0, f"daemon.1.{number}")
        for voter in voters:
            request = _CODEC.encode(claim.request)
            assert isinstance(request, bytes)
            reply = _CODEC.encode(voter.on_vote_request(_decoded(request), 1000.0))
            assert isinstance(reply, bytes)
            claim.on_vote_reply(_decoded(reply))
            total_bytes += len(request) + len(reply)
            messages += 2
        assert claim.dispatch()
    seconds = (time.process_time() - started) / count
    tracemalloc.start()
    voter = ClaimVoter("a", 1, 0.0, panel)
    voter.on_store_read(panel, change_intended=False)
    for number in range(20_000):
        claim = Claim(panel, f"7:farm-1|{number:036d}", 1000.0, f"daemon.1.{number}")
        voter.on_vote_request(claim.request, 1000.0)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "processor_s_all_ends": seconds,
        "bytes_on_the_wire": total_bytes / count,
        "messages": messages / count,
        "bytes_kept_per_vote": used / 20_000,
    }


def measure_decision_log() -> dict[str, float]:
    """Measure the memory of the decision log for one request of five steps."""
    tracemalloc.start()
    log = DecisionLog(5_000)
    for number in range(5_000):
        for step in range(5):
            details: dict[str, Any] = {
                "replica": f"replica-{number % 200}",
                "waited_s": number / 7.0,
                "candidates": [{"replica": f"replica-{i}", "cost": i / 3.0} for i in range(4)]
                if step == 1
                else [],
            }
            log.record(f"daemon-{number}", DecisionEvent(number / 3.0, "placed", "why", details))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"bytes_per_request": used / 5_000}


def render_capacity(report: dict[str, Any]) -> str:
    """Return the measurements as text, with the fitted lines below each size series."""
    lines: list[str] = []
    for name in ("membership", "configuration", "index", "reader", "placement"):
        rows = report[name]
        size_name = next(iter(rows[0]))
        lines.append(f"{name}:")
        for row in rows:
            lines.append("  " + "  ".join(f"{key}={value:.6g}" for key, value in row.items()))
        for key in rows[0]:
            if key != size_name:
                line = fit_line([(row[size_name], row[key]) for row in rows])
                lines.append(
                    f"  fit {key} = {line.intercept:.6g} + {line.slope:.6g} * {size_name}"
                    f"  (r2 {line.r_squared:.3f})"
                )
    for name in ("failure", "region_cut", "events", "lookup", "claim", "decisions"):
        values = "  ".join(f"{key}={value:.6g}" for key, value in report[name].items())
        lines.append(f"{name}: {values}")
    lines.append(f"datagram: send and receive {report['datagram_s'] * 1e6:.1f} us")
    return "\n".join(lines)

"""Promises on weights: nothing begins on replaced ones for long, and everybody gets the newest."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence

from standins.notice_checks import Sender
from standins.replica_server import Generation, ReplicaServer
from standins.soak.disruptions import DisruptionLog
from standins.weights_operator import PublishedWeights

#: Times the bound within which every replica has the newest version once all is healed.
FINAL_BOUND_FACTOR = 1.5
_POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class LateGeneration:
    """A generation on weights that had been replaced for too long."""

    generation: Generation
    router: int
    successor: int
    late_s: float


def late_generations(
    generations: Iterable[Generation],
    published: Sequence[PublishedWeights],
    senders: Mapping[str, Sender],
    disruptions: DisruptionLog,
    bound_s: float,
) -> list[LateGeneration]:
    """Return the generations that began more than the bound after a newer version was named.

    The time counts within one stretch in which the store and all links were sound; the request
    must have been sent in that stretch too, and by a router that was not disturbed itself.
    """
    late = []
    for generation in generations:
        newer = [item for item in published if item.version > generation.version]
        stretch_s = disruptions.undisturbed_since_s(generation.started_at_s)
        router = senders[generation.request_id].router
        if not newer or stretch_s is None or generation.arrived_at_s < stretch_s:
            continue
        if disruptions.excuses(router, generation.arrived_at_s):
            continue
        successor = min(newer, key=lambda item: item.acknowledged_s)
        late_s = generation.started_at_s - max(successor.acknowledged_s, stretch_s)
        if late_s > bound_s:
            late.append(LateGeneration(generation, router, successor.version, late_s))
    return late


def describe_late(late: Iterable[LateGeneration]) -> list[str]:
    """Return a line for each router, replica and version, with the first request for the trace."""
    groups: dict[tuple[int, str, int], list[LateGeneration]] = {}
    for item in late:
        begun = item.generation
        groups.setdefault((item.router, begun.replica_id, begun.version), []).append(item)
    lines = []
    for (router, replica_id, version), items in groups.items():
        first = min(items, key=lambda item: item.generation.started_at_s)
        lines.append(
            f"VERSION: {len(items)} requests of router {router} began on version {version} at "
            f"{replica_id}, {max(item.late_s for item in items):.2f} s after version "
            f"{first.successor} was in force, the first {first.generation.request_id}"
        )
    return lines


async def replicas_behind(
    replicas: Callable[[], Sequence[ReplicaServer]], version: int, within_s: float
) -> list[ReplicaServer]:
    """Wait until every living replica has a version; return those that do not get it in time."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + within_s
    while True:
        behind = [replica for replica in replicas() if replica.weights_version != version]
        if not behind or loop.time() >= until_s:
            return behind
        await asyncio.sleep(_POLL_INTERVAL_S)

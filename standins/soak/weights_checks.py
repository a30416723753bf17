"""Checks of weight versions: outdated versions are not used for long, the newest reaches all."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Iterable, Mapping, Sequence

from standins.notice_checks import Sender
from standins.replica_server import Generation, ReplicaServer
from standins.soak.disruptions import DisruptionLog
from standins.weights_operator import PublishedWeights

#: Multiple of the version bound within which all replicas load the last version.
FINAL_BOUND_FACTOR = 1.5
_POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class LateGeneration:
    """A generation that started ``late_s`` after its weights were replaced, over the bound."""

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
    """Return the generations that started over ``bound_s`` after a newer version was published.

    Time counts only since the last disruption of the store or a link. A request counts if it
    reached its replica after that disruption, sent by a router that was not disrupted itself.
    """
    late = []
    for generation in generations:
        newer = [item for item in published if item.version > generation.version]
        undisturbed_s = disruptions.undisrupted_since_s(generation.started_at_s)
        router = senders[generation.request_id].router
        if not newer or undisturbed_s is None or generation.arrived_at_s < undisturbed_s:
            continue
        if disruptions.excuses(router, generation.arrived_at_s):
            continue
        successor = min(newer, key=lambda item: item.acknowledged_s)
        late_s = generation.started_at_s - max(successor.acknowledged_s, undisturbed_s)
        if late_s > bound_s:
            late.append(LateGeneration(generation, router, successor.version, late_s))
    return late


def describe_late(late: Iterable[LateGeneration]) -> list[str]:
    """Return a line for each router, replica and version, with the id of the first request."""
    groups: dict[tuple[int, str, int], list[LateGeneration]] = {}
    for item in late:
        generation = item.generation
        groups.setdefault((item.router, generation.replica_id, generation.version), []).append(item)
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
    """Wait until all replicas have a version; return those that lack it after ``within_s``."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + within_s
    while True:
        behind = [replica for replica in replicas() if replica.weights_version != version]
        if not behind or loop.time() >= until_s:
            return behind
        await asyncio.sleep(_POLL_INTERVAL_S)

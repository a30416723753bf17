"""Simulates placement in one region at its planned size in two years, in virtual time.

A region has 140 daemons and 200 replicas, a third of the fleet; regions share nothing on the
request path. Replicas run the engine model, daemons are those of the simulated fleet.
"""

from __future__ import annotations

import dataclasses
import random
import resource
import time
from collections.abc import Iterator
from typing import Any

from winchfork.core.configuration import TrafficClass
from winchfork.core.policies.registry import DEFAULT_POLICY, POLICIES
from winchfork.emulator.engine_model import EngineSettings
from winchfork.emulator.sim_engine import SimEngine, make_environment
from winchfork.emulator.sim_fleet import SimFleet
from winchfork.emulator.sim_metrics import SimMetrics
from winchfork.emulator.workload import Deployment, Segment, WorkItem

REGION_DAEMONS = 140
REGION_REPLICAS = 200
REGION_REQUESTS_PER_S = 667.0
TENANTS = 230
_PREFIXES_PER_TENANT = 40
_DRAIN_S = 30.0

TARGET_REGION = Deployment(
    name="target",
    region="target-1",
    zones=("zone-a", "zone-b", "zone-c", "zone-d"),
    engine_pool="engines",
    model="model-1",
    engine_replicas=REGION_REPLICAS,
    application_pool="applications",
    application_replicas=0,
    zone_delay_s=0.0015,
    weights_load_s=0.5,
    max_loading=20,
    cache_blocks=8_000,
    classes=(
        TrafficClass(name="interactive", priority=1, deadline_s=60),
        TrafficClass(
            name="batch",
            priority=8,
            first_token_weight=0.1,
            recompute_weight=2.0,
            may_wait=True,
            deadline_s=3600,
        ),
    ),
    tenants=tuple(f"tenant-{number}" for number in range(TENANTS)),
    command_class="",
)


@dataclasses.dataclass(frozen=True)
class TargetOptions:
    """Length of the run in virtual seconds, and the share of the region to simulate."""

    seed: int = 1
    duration_s: float = 10.0
    share: float = 1.0


def target_items(options: TargetOptions) -> Iterator[WorkItem]:
    """Yield requests that share a tenant's rules and one of its documents, and ask a question.

    Tenants and documents are drawn from Zipf-like distributions.
    """
    generator = random.Random(f"target:{options.seed}")
    tenants = TARGET_REGION.tenants
    tenant_weights = [1.0 / (rank + 1) ** 0.8 for rank in range(len(tenants))]
    document_weights = [1.0 / (rank + 1) for rank in range(_PREFIXES_PER_TENANT)]
    at_s, number = 0.0, 0
    while True:
        at_s += generator.expovariate(REGION_REQUESTS_PER_S * options.share)
        if at_s >= options.duration_s:
            return
        tenant = generator.choices(tenants, tenant_weights)[0]
        document = generator.choices(range(_PREFIXES_PER_TENANT), document_weights)[0]
        size = random.Random(f"{tenant}:{document}").randrange(4_000, 14_000)
        segments = (
            Segment(f"rules:{tenant}", 2_048),
            Segment(f"document:{tenant}:{document}", size),
            Segment(f"question:{generator.getrandbits(48)}", 300),
        )
        is_batch = generator.random() < 0.3
        output = generator.randrange(500, 900) if is_batch else generator.randrange(100, 500)
        name = "batch" if is_batch else "interactive"
        yield WorkItem(number, at_s, tenant, name, segments, output)
        number += 1


def run_target(options: TargetOptions) -> dict[str, Any]:
    """Run and return the report, with this process's wall time in seconds and memory in MiB."""
    started_s = time.perf_counter()
    env = make_environment()
    metrics = SimMetrics(options.duration_s / 2)
    replicas = int(REGION_REPLICAS * options.share)
    daemons = int(REGION_DAEMONS * options.share)
    zones = TARGET_REGION.zones
    # One replica runs on eight accelerators.
    settings = EngineSettings(
        prefill_tokens_per_s=60_000.0,
        step_base_s=0.012,
        step_per_sequence_s=0.0001,
        step_prefill_tokens=1_024,
        max_running=256,
        cache_blocks=TARGET_REGION.cache_blocks,
    )
    engines = [
        SimEngine(
            env, f"engine-{number}", zones[number % len(zones)], settings, metrics.record_stored
        )
        for number in range(replicas)
    ]
    generator = random.Random(f"target:{options.seed}:fleet")
    policies = [POLICIES[DEFAULT_POLICY](generator) for _ in range(daemons)]
    fleet = SimFleet(env, TARGET_REGION, engines, policies, metrics, generator, omniscient=False)
    env.process(_arrivals(env, fleet, options))
    env.run(until=options.duration_s + _DRAIN_S)
    report = metrics.report()
    report["options"] = {**dataclasses.asdict(options), "policy": DEFAULT_POLICY}
    report["daemons"] = daemons
    report["replicas"] = replicas
    report["cached_blocks"] = sum(len(engine.model.cache) for engine in engines)
    report["indexed_blocks_per_daemon_max"] = max(len(item.index) for item in fleet.daemons)
    report["unfinished"] = metrics.arrived - len(metrics.records) - metrics.lost
    report["wall_s"] = round(time.perf_counter() - started_s, 1)
    report["process_memory_mb"] = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
    return report


def _arrivals(env: Any, fleet: SimFleet, options: TargetOptions) -> Any:
    for item in target_items(options):
        if item.at_s > env.now:
            yield env.timeout(item.at_s - env.now)
        fleet.serve(item)

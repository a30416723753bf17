"""Runs one experiment in virtual time: a workload profile, a policy, a seed and faults."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import Callable
from typing import Any

from winchfork.core.policies.registry import DEFAULT_POLICY, POLICIES
from winchfork.emulator.engine_model import EngineSettings
from winchfork.emulator.sim_engine import SimEngine, make_environment
from winchfork.emulator.sim_fleet import EventFaults, SimFleet
from winchfork.emulator.sim_metrics import SimMetrics
from winchfork.emulator.workload import DEPLOYMENTS, Deployment, make_workload
from winchfork.errors import Failure, FailureKind

#: Upper bound for comparisons: the default policy with perfect, instant knowledge.
ORACLE = "oracle"
_FAULT_S = 20.0
_DRAIN_S = 600.0
_STALE_LOSS = 0.3
_STALE_DELAY_S = 5.0


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault, by its name in ``FAULTS``, and the virtual time in seconds at which it begins."""

    name: str
    at_s: float


@dataclasses.dataclass(frozen=True)
class ExperimentOptions:
    """What to run. ``rate`` scales the profile's arrivals; times in seconds of virtual time."""

    profile: str
    policy: str = DEFAULT_POLICY
    seed: int = 1
    duration_s: float = 240.0
    warm_up_s: float = 60.0
    rate: float = 1.0
    faults: tuple[Fault, ...] = ()


FaultScript = Callable[[SimFleet], Any]


def _engine_crash(fleet: SimFleet) -> Any:
    """Crash two engines, which restart with empty caches."""
    for engine in list(fleet.engines.values())[:2]:
        engine.crash()
    yield fleet.env.timeout(0)


def _zone_cut(fleet: SimFleet) -> Any:
    """Cut off the last zone for a while."""
    zone = fleet.deployment.zones[-1]
    fleet.cut_zones.add(zone)
    yield fleet.env.timeout(_FAULT_S)
    fleet.cut_zones.discard(zone)


def _herd_restart(fleet: SimFleet) -> Any:
    """Restart all daemons at once, so that they lose their cache index and loads."""
    for daemon in fleet.daemons:
        daemon.reset(list(fleet.engines.values()))
    yield fleet.env.timeout(0)


def _stale_events(fleet: SimFleet) -> Any:
    """Delay cache events and lose a share of them, for a while."""
    fleet.event_faults = EventFaults(_STALE_LOSS, _STALE_DELAY_S)
    yield fleet.env.timeout(_FAULT_S)
    fleet.event_faults = EventFaults()


def _rollout(fleet: SimFleet) -> Any:
    """Load new weights on the whole pool, ``max_loading`` engines at a time."""
    engines = list(fleet.engines.values())
    at_once = fleet.deployment.max_loading
    for start in range(0, len(engines), at_once):
        batch = engines[start : start + at_once]
        for engine in batch:
            engine.accepting = False
        while any(engine.model.running or engine.model.waiting for engine in batch):
            yield fleet.env.timeout(0.1)
        yield fleet.env.timeout(fleet.deployment.weights_load_s)
        for engine in batch:
            engine.load_weights(2)
            engine.accepting = True


FAULTS: dict[str, FaultScript] = {
    "engine-crash": _engine_crash,
    "zone-cut": _zone_cut,
    "herd-restart": _herd_restart,
    "stale-events": _stale_events,
    "rollout": _rollout,
}


def parse_fault(text: str) -> Fault | Failure:
    """Parse `NAME@SECONDS`."""
    name, _, at = text.partition("@")
    try:
        at_s = float(at)
    except ValueError:
        at_s = -1.0
    if name not in FAULTS or at_s < 0:
        return FailureKind.INVALID_REQUEST.because(
            f"{text!r} is not a fault", remedy=f"use NAME@SECONDS with one of {', '.join(FAULTS)}"
        )
    return Fault(name, at_s)


def policy_names() -> list[str]:
    """Return the names of all policies that an experiment can run, the oracle last."""
    return [*POLICIES, ORACLE]


def run_experiment(options: ExperimentOptions) -> dict[str, Any]:
    """Run and return the report; equal options give equal figures, except ``wall_s``."""
    deployment = DEPLOYMENTS[options.profile]
    wall_s = time.perf_counter()
    env = make_environment()
    generator = random.Random(f"{options.profile}:{options.policy}:{options.seed}")
    metrics = SimMetrics(options.warm_up_s)
    engines = _make_engines(env, deployment, metrics)
    policy_name = DEFAULT_POLICY if options.policy == ORACLE else options.policy
    fleet = SimFleet(
        env,
        deployment,
        engines,
        [POLICIES[policy_name](generator) for _ in deployment.zones],
        metrics,
        generator,
        omniscient=options.policy == ORACLE,
    )
    env.process(_arrivals(env, fleet, deployment, options))
    env.process(_start_counting(env, metrics, options.warm_up_s))
    for fault in options.faults:
        env.process(_inject(env, fleet, fault))
    env.run(until=options.duration_s + _DRAIN_S)
    fault_at_s = options.faults[0].at_s if options.faults else None
    report = metrics.report(fault_at_s)
    imported = sum(engine.model.imported_blocks for engine in engines)
    report["imported_blocks_per_request"] = imported / max(1, metrics.arrived)
    report["unfinished"] = (
        metrics.arrived - len(metrics.records) - metrics.lost - sum(metrics.refused.values())
    )
    report["options"] = {
        **dataclasses.asdict(options),
        "faults": [f"{fault.name}@{fault.at_s:g}" for fault in options.faults],
    }
    report["wall_s"] = round(time.perf_counter() - wall_s, 2)
    return report


def _make_engines(env: Any, deployment: Deployment, metrics: SimMetrics) -> list[SimEngine]:
    settings = EngineSettings(cache_blocks=deployment.cache_blocks)
    zones = deployment.zones
    return [
        SimEngine(
            env, f"engine-{number}", zones[number % len(zones)], settings, metrics.record_stored
        )
        for number in range(deployment.engine_replicas)
    ]


def _arrivals(env: Any, fleet: SimFleet, deployment: Deployment, options: ExperimentOptions) -> Any:
    workload = make_workload(deployment, options.seed)
    for item in workload.items(options.duration_s, options.rate):
        if item.is_command:
            continue
        if item.at_s > env.now:
            yield env.timeout(item.at_s - env.now)
        fleet.serve(item)


def _start_counting(env: Any, metrics: SimMetrics, warm_up_s: float) -> Any:
    yield env.timeout(warm_up_s)
    metrics.counting_blocks = True


def _inject(env: Any, fleet: SimFleet, fault: Fault) -> Any:
    yield env.timeout(fault.at_s)
    yield from FAULTS[fault.name](fleet)

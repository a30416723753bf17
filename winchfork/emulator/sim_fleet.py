"""A fleet in virtual time, whose daemons run the same core as the real daemon.

State spreads as it does between real daemons: one daemon reads an engine's events, delayed and with
gaps, and forwards them to the owners of the block families; load reaches the other daemons later
and quantized; a lookup takes a round trip; a new incarnation invalidates a replica's cached blocks.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Mapping, Sequence
from typing import Any

from winchfork.constants import (
    AVOID_AFTER_FAILURE_S,
    BLOCK_TOKENS,
    EVENT_POLL_PERIOD_S,
    HEARTBEAT_PERIOD_S,
    LOOKUP_TIMEOUT_S,
    MAX_PLACEMENTS_PER_REQUEST,
)
from winchfork.core.admission import AdmissionLimits, AdmissionOutcome, AdmissionQueue, Ticket
from winchfork.core.cache_index import CacheEvent, CacheIndex
from winchfork.core.configuration import TrafficClass
from winchfork.core.families import FamilyMap, add_blocks_above, keys_from_family
from winchfork.core.fleet import Fleet, Replica, ReplicaIdentity, is_urgent
from winchfork.core.load_gossip import quantize
from winchfork.core.placement import PlacementDecision, PlacementPolicy, PlacementRequest
from winchfork.core.prefix import CacheScope, PromptPrefix
from winchfork.core.rendezvous import rendezvous_owner
from winchfork.core.retry_budget import RetryBudget
from winchfork.emulator.engine_model import Sequence as EngineSequence
from winchfork.emulator.sim_engine import SimEngine, StreamSignal
from winchfork.emulator.sim_metrics import RequestRecord, SimMetrics
from winchfork.emulator.workload import Deployment, WorkItem, item_prefix
from winchfork.errors import Failure

_LIMITS = AdmissionLimits(max_open=400, max_waiting=20_000)
_EVENT_DELAY_S = 0.05
_NO_REPLICA_PAUSE_S = 0.5


@dataclasses.dataclass
class EventFaults:
    """The share of cache events that is lost now, and the delay of the others in seconds."""

    loss: float = 0.002
    delay_s: float = _EVENT_DELAY_S


class SimDaemon:
    """One daemon's state: cache index, fleet, admission queue and retry budget."""

    def __init__(
        self, daemon_id: str, zone: str, policy: PlacementPolicy, engines: Sequence[SimEngine]
    ) -> None:
        self.daemon_id = daemon_id
        self.zone = zone
        self.policy = policy
        self.admission = AdmissionQueue(_LIMITS)
        self.retry_budget = RetryBudget()
        self.admission_events: dict[str, Any] = {}
        self.reset_count = 0
        self.reset(engines)

    def reset(self, engines: Sequence[SimEngine]) -> None:
        """Reset the state that a restart loses: cache index, replica identities and loads."""
        self.reset_count += 1
        self.index = CacheIndex()
        self.fleet = Fleet()
        for engine in engines:
            self.fleet.put(
                Replica(engine.replica_id, "engines", engine.zone, "", engine.model.identity)
            )


class SimFleet:
    """Daemons and engines, and the messages between them.

    If ``omniscient``, requests are placed with the engines' true caches and loads (the oracle).
    """

    def __init__(
        self,
        env: Any,
        deployment: Deployment,
        engines: Sequence[SimEngine],
        policies: Sequence[PlacementPolicy],
        metrics: SimMetrics,
        generator: random.Random,
        *,
        omniscient: bool,
    ) -> None:
        self.env = env
        self.deployment = deployment
        self.engines = {engine.replica_id: engine for engine in engines}
        self.metrics = metrics
        self.event_faults = EventFaults()
        self.cut_zones: set[str] = set()
        self._random = generator
        self._omniscient = omniscient
        self._classes = {item.name: item for item in deployment.classes}
        zones = deployment.zones
        self.daemons = [
            SimDaemon(f"daemon-{number}", zones[number % len(zones)], policy, engines)
            for number, policy in enumerate(policies)
        ]
        self._by_id = {daemon.daemon_id: daemon for daemon in self.daemons}
        self._attempts = 0
        for engine in engines:
            env.process(self._read_events(engine))
        env.process(self._spread_loads())

    # --- state that spreads between daemons ---

    def reachable(self, zone: str, other: str) -> bool:
        """Return whether two zones can exchange messages now."""
        return zone == other or not ({zone, other} & self.cut_zones)

    def _delay_s(self, zone: str, other: str) -> float:
        return 0.0002 if zone == other else self.deployment.zone_delay_s

    def _owner(self, key: int | str, asker: SimDaemon) -> SimDaemon:
        owner_id = rendezvous_owner(key, self._by_id)
        assert owner_id is not None
        owner = self._by_id[owner_id]
        return owner if self.reachable(asker.zone, owner.zone) else asker

    def _read_events(self, engine: SimEngine) -> Any:
        """Poll the events of one engine and forward them to the owners of the block families."""
        reader_id = rendezvous_owner(engine.replica_id, self._by_id)
        assert reader_id is not None
        reader = self._by_id[reader_id]
        incarnation, position, reset_count = 0, 0, reader.reset_count
        families = FamilyMap()
        yield self.env.timeout(self._random.random() * EVENT_POLL_PERIOD_S)
        while True:
            yield self.env.timeout(EVENT_POLL_PERIOD_S)
            if not self.reachable(reader.zone, engine.zone):
                continue
            identity = engine.model.identity
            self._apply_report(reader, engine)
            if identity.incarnation != incarnation:
                incarnation, position = identity.incarnation, 0
                families = FamilyMap()
                for daemon in self.daemons:
                    self._update_identity(daemon, engine)
            if reader.reset_count != reset_count:
                # A restarted reader begins with a snapshot of the cache, as a real one does.
                reset_count = reader.reset_count
                families = self._resync(reader, engine)
                position = engine.model.next_sequence - 1
                continue
            visible_before_s = self.env.now - self.event_faults.delay_s
            events = engine.model.events_after(position, visible_before_s)
            received = [
                event for event in events if self._random.random() >= self.event_faults.loss
            ]
            if len(received) < len(events):
                families = self._resync(reader, engine)
                position = engine.model.next_sequence - 1
            elif received:
                self._apply_events(reader, engine, families, received)
                position = received[-1].sequence

    def _apply_report(self, daemon: SimDaemon, engine: SimEngine) -> None:
        replica = daemon.fleet.get(engine.replica_id)
        if replica is not None:
            replica.update_load(engine.model.load(), self.env.now)
            replica.identity = engine.model.identity
            daemon.index.fence(engine.replica_id, engine.model.identity.incarnation)

    def _update_identity(self, daemon: SimDaemon, engine: SimEngine) -> None:
        replica = daemon.fleet.get(engine.replica_id)
        if replica is not None:
            replica.identity = engine.model.identity
            daemon.index.fence(engine.replica_id, engine.model.identity.incarnation)

    def _apply_events(
        self,
        reader: SimDaemon,
        engine: SimEngine,
        families: FamilyMap,
        events: list[CacheEvent],
    ) -> None:
        changes = families.apply_events(events)
        incarnation = engine.model.identity.incarnation
        for key, stored in changes.items():
            owner = self._owner(families.owner_key(key), reader)
            if stored:
                owner.index.assume_stored(engine.replica_id, incarnation, (key,))
            else:
                owner.index.drop_uncached(engine.replica_id, incarnation, (key,), 0)
                families.forget(key)

    def _resync(self, reader: SimDaemon, engine: SimEngine) -> FamilyMap:
        families = FamilyMap()
        for daemon in self.daemons:
            if self.reachable(reader.zone, daemon.zone):
                daemon.index.forget(engine.replica_id)
        incarnation = engine.model.identity.incarnation
        for key, parent in engine.model.cache.keys_with_parents():
            families.record_stored(parent, (key,))
            owner = self._owner(families.owner_key(key), reader)
            owner.index.assume_stored(engine.replica_id, incarnation, (key,))
        return families

    def _spread_loads(self) -> Any:
        """Send every load to all daemons, quantized and two heartbeat periods late."""
        while True:
            measured = {
                engine.replica_id: (self.env.now, engine.model.load())
                for engine in self.engines.values()
            }
            yield self.env.timeout(2 * HEARTBEAT_PERIOD_S)
            for daemon in self.daemons:
                for replica in daemon.fleet.replicas():
                    at_s, load = measured[replica.replica_id]
                    has_newer = replica.load_measured_at_s >= at_s
                    if has_newer or not self.reachable(daemon.zone, replica.zone):
                        continue
                    received = quantize(0, load, at_s).update(load)
                    replica.update_load(received, at_s)

    # --- requests ---

    def serve(self, item: WorkItem) -> None:
        """Start one request at the daemon that its number selects."""
        self.metrics.arrived += 1
        daemon = self.daemons[item.number % len(self.daemons)]
        self.env.process(self._request(item, daemon))

    def _request(self, item: WorkItem, daemon: SimDaemon) -> Any:
        arrived_s = self.env.now
        request_id = f"r{item.number}"
        traffic_class = self._classes[item.traffic_class]
        ticket = Ticket(
            request_id,
            item.tenant,
            traffic_class.name,
            traffic_class.priority,
            traffic_class.may_wait,
            arrived_s + traffic_class.deadline_s,
            arrived_s,
        )
        outcome = daemon.admission.offer(ticket, arrived_s)
        daemon.retry_budget.record_request()
        if isinstance(outcome, Failure):
            self.metrics.refused[outcome.kind.value] += 1
            return
        if outcome is AdmissionOutcome.QUEUED:
            admission = daemon.admission_events[request_id] = self.env.event()
            yield admission
        admitted_s = self.env.now
        yield from self._attempts_until_done(item, daemon, traffic_class, arrived_s)
        for admitted in daemon.admission.release(
            request_id, self.env.now, self.env.now - admitted_s
        ):
            daemon.admission_events.pop(admitted.request_id).succeed()

    def _attempts_until_done(
        self, item: WorkItem, daemon: SimDaemon, traffic_class: TrafficClass, arrived_s: float
    ) -> Any:
        excluded: set[str] = set()
        generated, first_token_s, cached_tokens, predicted = 0, -1.0, 0, 0
        placements = 0
        while placements < MAX_PLACEMENTS_PER_REQUEST:
            placed = yield from self._place(item, daemon, traffic_class, excluded)
            if placed is None:
                # Every replica is excluded or avoided; one may have recovered after a pause.
                excluded.clear()
                placements += 1
                yield self.env.timeout(_NO_REPLICA_PAUSE_S)
                continue
            decision, replica, identity, prefix = placed
            placements += 1
            engine = self.engines[decision.replica_id]
            sequence = self._sequence(item, prefix, traffic_class, generated)
            replica.record_dispatch(
                sequence.sequence_id,
                decision.uncached_tokens,
                self.env.now,
                urgent=is_urgent(traffic_class.priority),
            )
            yield self.env.timeout(self._delay_s(daemon.zone, engine.zone))
            signals: list[Any] = [self.env.event(), self.env.event()]
            refusal = self._submit(engine, daemon, sequence, identity, signals, decision)
            if refusal is None:
                first = yield signals[0]
                replica.remove_dispatch(sequence.sequence_id)
                if first is StreamSignal.FIRST_TOKEN and first_token_s < 0:
                    first_token_s = self.env.now - arrived_s
                    cached_tokens = sequence.cached_blocks * BLOCK_TOKENS
                    predicted = decision.cached_blocks
                if first is StreamSignal.FIRST_TOKEN:
                    last = yield signals[1]
                    if last is StreamSignal.DONE:
                        self._record(
                            item, arrived_s, first_token_s, cached_tokens, predicted, placements
                        )
                        return
                generated = sequence.generated
            else:
                replica.remove_dispatch(sequence.sequence_id)
                self._learn_from_refusal(engine, daemon, replica)
                continue
            excluded.add(decision.replica_id)
            if not daemon.retry_budget.try_spend():
                break
        self.metrics.lost += 1

    def _submit(
        self,
        engine: SimEngine,
        daemon: SimDaemon,
        sequence: EngineSequence,
        identity: ReplicaIdentity,
        signals: list[Any],
        decision: PlacementDecision,
    ) -> StreamSignal | None:
        if not self.reachable(daemon.zone, engine.zone):
            return StreamSignal.REFUSED
        self.metrics.dispatches += 1

        def on_signal(signal: StreamSignal, _: EngineSequence) -> None:
            for event in signals:
                if not event.triggered:
                    event.succeed(signal)
                    if signal is StreamSignal.FIRST_TOKEN:
                        return

        source = self.engines.get(decision.import_from)
        if source is not None and not self.reachable(source.zone, engine.zone):
            source = None
        return engine.submit(sequence, identity, on_signal, source, decision.import_blocks)

    def _learn_from_refusal(self, engine: SimEngine, daemon: SimDaemon, replica: Replica) -> None:
        if self.reachable(daemon.zone, engine.zone) and engine.accepting:
            replica.identity = engine.model.identity
        else:
            replica.avoided_until_s = self.env.now + AVOID_AFTER_FAILURE_S

    def _sequence(
        self, item: WorkItem, prefix: PromptPrefix, traffic_class: TrafficClass, generated: int
    ) -> EngineSequence:
        self._attempts += 1
        return EngineSequence(
            f"r{item.number}.{self._attempts}",
            prefix.block_keys,
            prefix.prompt_tokens + generated,
            max(1, item.output_tokens),
            traffic_class.priority,
            self.env.now,
            generated=generated,
        )

    def _place(
        self,
        item: WorkItem,
        daemon: SimDaemon,
        traffic_class: TrafficClass,
        excluded: set[str],
    ) -> Any:
        """Choose a replica as the real router does; return None if there is no candidate."""
        replicas, matched, prefix = yield from self._candidates(item, daemon, excluded)
        if not replicas:
            return None
        request = PlacementRequest(
            f"r{item.number}",
            prefix,
            traffic_class.placement_weights(),
            daemon.zone,
            is_urgent(traffic_class.priority),
        )
        decision: PlacementDecision = daemon.policy.choose(request, replicas, matched)
        replica = next(item for item in replicas if item.replica_id == decision.replica_id)
        assert replica.identity is not None
        if not self._omniscient:
            self._assume_cached(daemon, replica, prefix)
        return decision, replica, replica.identity, prefix

    def _candidates(self, item: WorkItem, daemon: SimDaemon, excluded: set[str]) -> Any:
        if self._omniscient:
            return self._true_candidates(item, excluded)
        replicas = daemon.fleet.candidates("engines", self.env.now, frozenset(excluded))
        versions = [replica.identity.weights_version for replica in replicas if replica.identity]
        scope = CacheScope(item.tenant, self.deployment.model, max(versions, default=1))
        prefix = item_prefix(item, scope)
        matched: Mapping[str, int] = {}
        if prefix.block_keys:
            matched = yield from self._lookup(daemon, prefix)
        return replicas, matched, prefix

    def _lookup(self, daemon: SimDaemon, prefix: PromptPrefix) -> Any:
        owner_id = rendezvous_owner(prefix.family, self._by_id)
        assert owner_id is not None
        owner = self._by_id[owner_id]
        if not self.reachable(daemon.zone, owner.zone):
            yield self.env.timeout(LOOKUP_TIMEOUT_S)
            owner = daemon
        elif owner is not daemon:
            yield self.env.timeout(2 * self._delay_s(daemon.zone, owner.zone))
        above, keys = keys_from_family(prefix)
        return add_blocks_above(owner.index.match(keys), above)

    def _assume_cached(self, daemon: SimDaemon, replica: Replica, prefix: PromptPrefix) -> None:
        _, keys = keys_from_family(prefix)
        if not keys or replica.identity is None:
            return
        owner = self._owner(prefix.family, daemon)
        for holder in {id(daemon): daemon, id(owner): owner}.values():
            holder.index.assume_stored(replica.replica_id, replica.identity.incarnation, keys)

    def _true_candidates(
        self, item: WorkItem, excluded: set[str]
    ) -> tuple[list[Replica], Mapping[str, int], PromptPrefix]:
        """Return the replicas with their current loads and cached or pending blocks (oracle)."""
        engines = [
            engine
            for engine in self.engines.values()
            if engine.accepting and engine.replica_id not in excluded
        ]
        version = max((engine.model.identity.weights_version for engine in engines), default=1)
        prefix = item_prefix(item, CacheScope(item.tenant, self.deployment.model, version))
        replicas: list[Replica] = []
        matched: dict[str, int] = {}
        for engine in engines:
            load = engine.model.load()
            replicas.append(
                Replica(engine.replica_id, "engines", engine.zone, "", engine.model.identity, load)
            )
            pending = {
                key
                for sequence in (*engine.model.waiting, *engine.model.running)
                for key in sequence.block_keys
            }
            depth = 0
            for key in prefix.block_keys:
                if key not in engine.model.cache and key not in pending:
                    break
                depth += 1
            matched[engine.replica_id] = depth
        return replicas, matched, prefix

    def _record(
        self,
        item: WorkItem,
        arrived_s: float,
        first_token_s: float,
        cached_tokens: int,
        predicted: int,
        placements: int,
    ) -> None:
        self.metrics.records.append(
            RequestRecord(
                item.traffic_class,
                arrived_s,
                first_token_s,
                self.env.now,
                item.prompt_tokens,
                min(cached_tokens, item.prompt_tokens),
                predicted,
                placements,
            )
        )

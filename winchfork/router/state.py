"""The shared state of one router process, and decisions that depend only on it.

Not thread-safe: everything runs on one event loop.
"""

from __future__ import annotations

import math
import random
from collections import defaultdict
from collections.abc import Callable

from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.cached_parts_backlog import CachedPartsBacklog
from winchfork.core.configuration_check import ConfigurationCheck
from winchfork.core.engine_speed import EngineSpeed
from winchfork.core.freshness import Freshness
from winchfork.core.memory_budget import MemoryBudget
from winchfork.core.part_index import PartIndex
from winchfork.core.permit_queue import PermitQueue
from winchfork.core.placement_request import CacheStoreChoice
from winchfork.core.prompt_parts import Prompt
from winchfork.core.quota_ledger import QuotaLedger
from winchfork.core.region_delay import RegionDelay
from winchfork.core.relay_fleet import IncarnationChange, RelayFleet
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.reserved_senders import ReservedSenders
from winchfork.core.routing import Route, RoutingTable, TrafficSplitter
from winchfork.core.sliding_retry_budget import RetryAllowance, SlidingRetryBudget
from winchfork.core.store_outage import StoreOutageDetector
from winchfork.core.store_position import StorePosition
from winchfork.core.weight_rollout import VersionHistory
from winchfork.core.zone_reachability import ZoneReachability
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.router.brittle_registry import BrittleRegistry
from winchfork.router.cache_stores import CacheStores
from winchfork.router.crash_tracker import CrashTracker
from winchfork.router.incarnation_proofs import IncarnationProofs
from winchfork.router.limit_registry import LimitRegistry
from winchfork.router.log_rate_limit import LogRateLimit
from winchfork.router.metrics import RouterMetrics
from winchfork.router.notice_registry import NoticeRegistry
from winchfork.router.replica_selector import ReplicaSelector
from winchfork.router.settings import RouterSettings
from winchfork.router.software_tracker import SoftwareTracker
from winchfork.router.software_versions import SoftwareVersions
from winchfork.router.stall_detector import StallDetector
from winchfork.router.store_eras import StoreEras
from winchfork.router.stream_origins import StreamOrigins
from winchfork.router.zone_outage_handler import ZoneOutageHandler

#: Part of the revocation bound reserved for watch lag and clock drift.
REVOCATION_MARGIN_S = 1.15
#: Seconds of a run for each output token, until runs have been measured.
INITIAL_RUN_S_PER_TOKEN = 0.008
INITIAL_MEAN_RUN_S = 0.5
#: Weight of a new run in the exponential moving averages.
RUN_WEIGHT = 0.05
BYTES_PER_S_PER_MBPS = 125_000.0
#: Daemons assumed to share budgets and connections until the members are known.
ASSUMED_DAEMON_COUNT = 10
#: Enough that no two starts of one daemon get the same id.
START_ID_BITS = 32


class RouterState:
    """The state of one process: configuration, replicas, cached parts, budgets."""

    def __init__(
        self, settings: RouterSettings, clock: Callable[[], float], generator: random.Random
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.generator = generator
        #: When this process started. The age of store entries that existed then is unknown.
        self.started_at_s = clock()
        self.routing_table: RoutingTable | None = None
        #: The store position up to which all entries are known.
        self.store_position = StorePosition()
        #: The position of the last change that peers need, of those up to ``store_position``.
        self.document_position = StorePosition()
        #: Versions of each model's weights that operators have named.
        self.weights_versions: dict[str, VersionHistory] = {}
        #: Replicas missing from the list since a store outage, and until when they are kept.
        self.missing_until_s: dict[str, float] = {}
        self.fleet = RelayFleet()
        self.fleet.on_incarnation_change = _log_incarnation_change
        self.cache_stores = CacheStores()
        self.region_delay = RegionDelay()
        self.parts = PartIndex()
        #: Newly cached parts that have not been reported to peers yet.
        self.cached_parts_backlog = CachedPartsBacklog()
        #: Id of the leading daemon by the store's entry; empty while there is none.
        self.leader_id = ""
        #: Highest fence in messages from rollout leaders.
        self.weights_fence = 0
        self.freshness = Freshness()
        self.configuration_check = ConfigurationCheck(_count_other_seeds(settings))
        self.stall_detector = StallDetector()
        self.store_outage = StoreOutageDetector(
            clock(), has_peers=bool(settings.seeds), heartbeat_s=settings.bounds.heartbeat_s
        )
        self.software = SoftwareVersions(
            self.fleet,
            lambda: self.freshness.age_s(self.clock()),
            generator.random,
            settings.bounds.exposure.rollback_s,
            enabled=settings.software_rollouts,
        )
        self.splits = TrafficSplitter()
        self.metrics = RouterMetrics()
        #: The budget of buffered bytes of callers, replicas, peers and the store.
        self.memory = MemoryBudget(settings.memory_bytes)
        self.eras = StoreEras(self.metrics)
        self.stopping = False
        #: Returns whether an idle connection to a replica's address is open.
        self.is_connected: Callable[[str], bool] = lambda address: True
        #: Returns whether peers reach many replicas that this daemon does not reach.
        self.is_partitioned: Callable[[], bool] = lambda: False
        #: Called when this daemon has sent a replica a prompt.
        self.on_work_sent: Callable[[], None] = lambda: None
        #: Called for each replica that did not acknowledge a request on an open connection.
        self.on_unresponsive: Callable[[RelayReplica], None] = lambda replica: None
        #: Called for each zone that has become unreachable.
        self.on_zone_unreachable: Callable[[str], None] = lambda zone: None
        #: Called for each replica that neither this daemon nor a peer that it asked could reach.
        self.on_ejected: Callable[[RelayReplica], None] = lambda replica: None
        #: Called for each replica that is ejected on reports, or on this daemon's view alone.
        self.on_unverified_ejection: Callable[[RelayReplica], None] = lambda replica: None
        #: Called for each replica that is from now on reached only through peers.
        self.on_path_lost: Callable[[RelayReplica], None] = lambda replica: None
        bounds = settings.bounds
        self.retry_budget = SlidingRetryBudget(
            RetryAllowance(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s), clock()
        )
        self.daemon_count = ASSUMED_DAEMON_COUNT
        #: Random number that identifies this start of the daemon.
        self.start_id = generator.getrandbits(START_ID_BITS)
        self.zone_reachability = ZoneReachability(settings.zone)
        self.zone_outage_handler = ZoneOutageHandler(self)
        self.replica_selector = ReplicaSelector(self)
        self.crashes = CrashTracker(settings.node_id, clock)
        self._refused_documents_log_limit = LogRateLimit()
        self.limits = LimitRegistry(self)
        self.brittle = BrittleRegistry(self)
        self.reserved_senders = ReservedSenders(settings.node_id)
        #: Requests that wait for a permit because replicas limit their requests, by service.
        self.permit_queues: defaultdict[str, PermitQueue] = defaultdict(PermitQueue)
        self.notices = NoticeRegistry(self)
        self.stream_origins = StreamOrigins(self)
        self.software_tracker = SoftwareTracker(self)
        self.incarnations = IncarnationProofs(self)
        self.quotas = QuotaLedger(bounds.quota, self.start_id)
        self._engine_speeds: defaultdict[str, EngineSpeed] = defaultdict(EngineSpeed)
        #: Moving average of a run's duration divided by its allowed number of output tokens.
        self.run_s_per_token = INITIAL_RUN_S_PER_TOKEN
        #: Moving average of a run's duration.
        self.mean_run_s = INITIAL_MEAN_RUN_S

    def install_table(self, table: RoutingTable) -> bool:
        """Activate a newer configuration; False if it is not newer."""
        current = self.routing_table.version if self.routing_table else -1
        if table.version <= current:
            return False
        self.stream_origins.record_table(table)
        self.routing_table = table
        self.cache_stores.install(table)
        limits = {item.name: item.limit for item in table.tenants if item.limit is not None}
        self.quotas.install(limits, self.clock())
        self.splits.forget_except(table.routes)
        return True

    def cache_store_choices(self, service: str, prompt: Prompt) -> dict[str, CacheStoreChoice]:
        """Return the cache store for a prompt's family, by region that has one."""
        stores = self.cache_stores.stores_by_region(prompt, self.settings.regions)
        return {
            region: CacheStoreChoice(store, self.copy_tokens_per_s(service, store))
            for region, store in stores.items()
        }

    @property
    def configuration_age_s(self) -> float:
        """Seconds since the configuration was proven to be the newest one; infinite if it is not.

        What the store lists is not enough after a restore from a backup.
        """
        version = self.routing_table.version if self.routing_table is not None else 0
        return self.configuration_check.age_s(version, self.freshness.proven_at_s, self.clock())

    @property
    def api_keys_fresh(self) -> bool:
        """Whether the API keys of the routing table are recent enough to meet the revocation bound.

        Always true if the bounds do not require it (``fail_closed`` is off).
        """
        return self.tenants_fresh or not self.settings.bounds.fail_closed

    @property
    def tenants_fresh(self) -> bool:
        """Whether the tenants of the routing table were proven within the revocation bound."""
        revoke_s = self.settings.bounds.revoke_s
        return self.configuration_age_s <= max(0.5, revoke_s - REVOCATION_MARGIN_S)

    @property
    def ready(self) -> bool:
        """Whether this process accepts callers."""
        return (
            not self.stopping
            and self.routing_table is not None
            and self.zone_outage_handler.can_keep_serving
        )

    def choose_service(self, route: Route) -> str:
        """Return a service of the route, chosen by the route's shares.

        If it has no replica, returns another one that has a share and a replica, if there is one.
        """
        chosen = self.splits.choose(route)
        if self.fleet.of_service(chosen):
            return chosen
        for share in route.shares:
            if share.weight > 0 and self.fleet.of_service(share.service):
                return share.service
        return chosen

    def record_cached_parts(self, replica: RelayReplica, keys: list[int]) -> None:
        """Record parts that a replica has cached while it served this daemon."""
        new_keys = self.parts.record_cached(keys, replica.incarnation_hash, self.clock())
        if new_keys:
            self.cached_parts_backlog.add(replica.incarnation_hash, new_keys)

    def record_peer_cached_parts(self, replica_hash: int, keys: tuple[int, ...]) -> None:
        """Record parts that a replica has cached while it served another daemon."""
        self.parts.record_cached(keys, replica_hash, self.clock())

    def record_run(self, output_tokens: int, run_s: float) -> None:
        """Update the moving averages of run durations; ``output_tokens`` is the run's limit."""
        self.mean_run_s += RUN_WEIGHT * (run_s - self.mean_run_s)
        if output_tokens > 0:
            self.run_s_per_token += RUN_WEIGHT * (run_s / output_tokens - self.run_s_per_token)

    def install_listing(self, listing: ReplicaListing) -> None:
        """Install a replica's entry from the platform; newer weights in it end its load."""
        known = self.fleet.get(listing.replica_id)
        if known is not None and _has_loaded(known, listing):
            known.loading_until_s = 0.0
        replica = self.fleet.install(listing)
        if known is None:
            self.notices.adopt(replica)
            self.limits.mark_listed(replica)

    def record_version(self, replica: RelayReplica, model: str, version: int) -> None:
        """Record a replica's weights version, if it is newer than the known one."""
        if version > replica.versions.get(model, 0):
            replica.versions[model] = version

    def record_refused_version(self, replica: RelayReplica, model: str, refused: int) -> bool:
        """Record that a replica refused a request for one version; True if it may be retried there.

        Versions only rise, so the replica has at least the next one. If ``refused`` is the newest
        version, nothing is recorded: an assumed version is never lowered, and a replica assumed to
        be newer than it is would refuse every request and never be ordered to load.
        """
        history = self.weights_versions.get(model)
        if history is None or refused >= history.newest:
            return False
        replica.versions[model] = max(refused + 1, replica.versions.get(model, 0))
        return True

    def record_refused_document(self, key: str, failure: Failure) -> None:
        """Count a store entry that cannot be decoded, and log it subject to a rate limit."""
        self.metrics.documents_refused.inc()
        if self._refused_documents_log_limit.allows(self.clock()):
            log_event("document_refused", "WARNING", key=key, reason=failure.reason)

    def mark_superseded(self, replica: RelayReplica, by: str = "") -> None:
        """Record that another incarnation answers at a replica's address.

        ``by`` is the id that this incarnation reported, or empty.
        """
        self.fleet.record_other_answered(replica, by)
        self.crashes.record_crash(replica, CrashEvidence.REPLACED)

    def suspect_unreachable(self, replica: RelayReplica) -> None:
        """Record that a replica was silent, which may be the link's fault; have it checked."""
        self.zone_reachability.record_failure(
            replica.listing.zone, replica.incarnation_hash, self.clock()
        )
        self.on_unresponsive(replica)

    def record_unreachable(self, replica: RelayReplica, reason: str, *, confirmed: bool) -> None:
        """Record that no connection to a replica came up by any path, and eject it.

        Peers are told only if one of them has ``confirmed`` it: this daemon's links may be down.
        """
        self.zone_reachability.record_failure(
            replica.listing.zone, replica.incarnation_hash, self.clock()
        )
        self.record_failure(replica, reason, certain=True)
        if confirmed:
            self.on_ejected(replica)

    def end_ejection(self, replica: RelayReplica) -> None:
        """Send requests to a replica again that was reached by some path."""
        replica.ejected_until_s = min(replica.ejected_until_s, self.clock())
        replica.consecutive_failures = 0
        replica.consecutive_ejections = 0

    def record_failure(self, replica: RelayReplica, reason: str, *, certain: bool = False) -> None:
        """Record a replica's failure; log if it is now ejected for a while."""
        now_s = self.clock()
        if replica.record_failure(now_s, certain=certain):
            log_event(
                "replica_ejected",
                replica=replica.replica_id,
                reason=reason,
                failures=replica.consecutive_failures,
                for_s=replica.ejected_until_s - now_s,
                last_received_s=_age_s(replica.last_received_at_s, now_s),
            )

    def record_failure_report(self, replica_hash: int, reporter: str) -> None:
        """Record that a peer has ejected a replica; log if it is now ejected here as well."""
        now_s = self.clock()
        for replica in self.fleet.replicas():
            if replica.incarnation_hash != replica_hash:
                continue
            self.zone_reachability.record_failure(replica.listing.zone, replica_hash, now_s)
            if replica.record_failure_report(reporter, now_s):
                log_event(
                    "replica_ejected",
                    replica=replica.replica_id,
                    reason="peers have ejected the replica",
                    told_by=reporter,
                    for_s=replica.ejected_until_s - now_s,
                    last_received_s=_age_s(replica.last_received_at_s, now_s),
                )
                self.on_unverified_ejection(replica)

    def engine_speed(self, service: str) -> EngineSpeed:
        """Return the measured speed of a service's engines."""
        return self._engine_speeds[service]

    def copy_tokens_per_s(self, service: str, store: RelayReplica | None = None) -> float:
        """Return how fast a service's replicas copy cached parts in their zone; 0 if they cannot.

        They copy from each other, or from ``store``, whose link may be slower.
        """
        known = self.routing_table.services.get(service) if self.routing_table else None
        engine = known.engine if known else None
        if engine is None or not engine.token_bytes:
            return 0.0
        link_mbps = engine.link_mbps
        if store is not None:
            link_mbps = self.cache_stores.link_mbps(store, link_mbps)
        return link_mbps * BYTES_PER_S_PER_MBPS / engine.token_bytes

    def cache_capacity_tokens(self, service: str) -> int:
        """Return the tokens that each replica of the service can cache; 0 if unknown."""
        known = self.routing_table.services.get(service) if self.routing_table else None
        return known.engine.cache_tokens if known and known.engine else 0

    def is_configured(self, service: str) -> bool:
        """Whether the configuration names a service; true while there is no configuration."""
        return self.routing_table is None or service in self.routing_table.services

    def connection_limit(self, service: str) -> int:
        """Return this daemon's share of the connections that one replica accepts."""
        known = self.routing_table.services.get(service) if self.routing_table else None
        total = known.max_connections if known else 64
        return max(2, total // self.daemon_count)


def _count_other_seeds(settings: RouterSettings) -> int:
    """Return how many seeds are on other machines."""
    return sum(seed.rpartition(":")[0] != settings.machine_ip for seed in settings.seeds)


def _has_loaded(known: RelayReplica, listing: ReplicaListing) -> bool:
    """Whether the entry has a newer version of some model than was known."""
    return any(
        version > known.versions.get(model, 0) for model, version in listing.versions.items()
    )


def _age_s(at_s: float, now_s: float) -> float | None:
    """Return how long ago a time was; None if it is minus infinity, that is, never."""
    return None if math.isinf(at_s) else now_s - at_s


def _log_incarnation_change(change: IncarnationChange) -> None:
    replica = change.replica
    log_event(
        "replica_superseded" if replica.superseded else "replica_reinstated",
        replica=replica.replica_id,
        address=replica.listing.address,
        reason=change.cause.value,
        standing=replica.incarnation_state.value,
        by=(change.current_id if change.current_id != replica.replica_id else "") or None,
    )

"""What one router process believes, and the decisions that read it. Not thread-safe: one loop."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable

from winchfork.core.broken_runs import CrashEvidence
from winchfork.core.cached_parts_backlog import CachedPartsBacklog
from winchfork.core.engine_speed import EngineSpeed
from winchfork.core.freshness import Freshness
from winchfork.core.part_index import PartIndex
from winchfork.core.permit_queue import PermitQueue
from winchfork.core.placement_request import CacheStoreChoice
from winchfork.core.prompt_parts import Prompt
from winchfork.core.quota_ledger import QuotaLedger
from winchfork.core.region_delay import RegionDelay
from winchfork.core.relay_fleet import IncarnationChange, RelayFleet
from winchfork.core.relay_replica import RelayReplica, ReplicaListing
from winchfork.core.routing import Route, RoutingTable, TrafficSplitter
from winchfork.core.sliding_retry_budget import RetryAllowance, SlidingRetryBudget
from winchfork.core.store_outage import StoreOutageDetector
from winchfork.core.store_position import StorePosition
from winchfork.core.weight_rollout import VersionHistory
from winchfork.core.zone_reachability import ZoneReachability
from winchfork.errors import Failure
from winchfork.logs import log_event
from winchfork.router.cache_stores import CacheStores
from winchfork.router.crash_tracker import CrashTracker
from winchfork.router.limit_registry import LimitRegistry
from winchfork.router.log_rate_limit import LogRateLimit
from winchfork.router.metrics import RouterMetrics
from winchfork.router.notice_registry import NoticeRegistry
from winchfork.router.replica_selector import ReplicaSelector
from winchfork.router.settings import RouterSettings
from winchfork.router.software_versions import SoftwareVersions
from winchfork.router.stall_detector import StallDetector
from winchfork.router.store_eras import StoreEras
from winchfork.router.zone_outage_handler import ZoneOutageHandler

#: Part of the revocation bound that is kept for a store whose watches lag and for slow clocks.
REVOCATION_MARGIN_S = 1.15
#: Seconds for each token out until measured, and the share of a new run in the moving average.
INITIAL_RUN_S_PER_TOKEN = 0.008
INITIAL_MEAN_RUN_S = 0.5
RUN_WEIGHT = 0.05
BYTES_PER_S_PER_MBPS = 125_000.0
#: Daemons assumed to share budgets and connections until more are known.
ASSUMED_DAEMON_COUNT = 10
#: Enough that two starts of one daemon never meet in a number.
START_ID_BITS = 32


class RouterState:
    """Beliefs of one process: configuration, replicas, kept parts, budgets."""

    def __init__(
        self, settings: RouterSettings, clock: Callable[[], float], generator: random.Random
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.generator = generator
        #: When this process began; what it then finds in the store may have been there for long.
        self.started_at_s = clock()
        self.routing_table: RoutingTable | None = None
        #: Everything in the store up to there is known here.
        self.store_position = StorePosition()
        #: Versions of each model's weights that operators have named.
        self.weights_versions: dict[str, VersionHistory] = {}
        #: Replicas missing from the list since an outage, with the time until which they are kept.
        self.missing_until_s: dict[str, float] = {}
        self.fleet = RelayFleet()
        self.fleet.on_incarnation_change = _log_incarnation_change
        self.cache_stores = CacheStores()
        self.region_delay = RegionDelay()
        self.parts = PartIndex()
        #: What this daemon has learned of kept parts and has not told its peers yet.
        self.cached_parts_backlog = CachedPartsBacklog()
        #: The daemon that the store names as the leader; empty while there is none.
        self.leader_id = ""
        #: Highest fence under which a rollout leader has spoken.
        self.weights_fence = 0
        self.freshness = Freshness()
        self.stall_detector = StallDetector()
        self.store_outage = StoreOutageDetector(clock(), has_peers=bool(settings.seeds))
        self.software = SoftwareVersions(
            self.fleet,
            lambda: self.freshness.age_s(self.clock()),
            generator.random,
            settings.bounds.exposure.rollback_s,
            enabled=settings.software_rollouts,
        )
        self.splits = TrafficSplitter()
        self.metrics = RouterMetrics()
        self.eras = StoreEras(self.metrics)
        self.stopping = False
        #: Whether a connection to a replica's address waits to be used.
        self.is_connected: Callable[[str], bool] = lambda address: True
        #: Told when this daemon has given a replica a prompt.
        self.on_work_sent: Callable[[], None] = lambda: None
        #: Told of each replica that is to be given nothing new, since it loads weights next.
        self.on_replica_hold: Callable[[RelayReplica], None] = lambda replica: None
        #: Told of each replica that has not acknowledged a request on an open connection, and of
        #: each zone that cannot be reached any more.
        self.on_unresponsive: Callable[[RelayReplica], None] = lambda replica: None
        self.on_zone_unreachable: Callable[[str], None] = lambda zone: None
        #: Told of each replica that this daemon ejects on its own evidence.
        self.on_ejected: Callable[[RelayReplica], None] = lambda replica: None
        bounds = settings.bounds
        self.retry_budget = SlidingRetryBudget(
            RetryAllowance(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s), clock()
        )
        self.daemon_count = ASSUMED_DAEMON_COUNT
        #: Tells this start of the process from others.
        self.start_id = generator.getrandbits(START_ID_BITS)
        self.zone_reachability = ZoneReachability(settings.zone)
        self.zone_outage_handler = ZoneOutageHandler(self)
        self.replica_selector = ReplicaSelector(self)
        self.crashes = CrashTracker(settings.node_id, clock)
        self._refused_documents_log_limit = LogRateLimit()
        self.limits = LimitRegistry(self)
        #: Requests that wait for places of limited replicas, by service.
        self.permit_queues: defaultdict[str, PermitQueue] = defaultdict(PermitQueue)
        self.notices = NoticeRegistry(self)
        self.quotas = QuotaLedger(bounds.quota, self.start_id)
        self._engine_speeds: defaultdict[str, EngineSpeed] = defaultdict(EngineSpeed)
        #: Seconds of a run for each token that its caller allows out, as measured lately.
        self.run_s_per_token = INITIAL_RUN_S_PER_TOKEN
        #: Seconds of a run, as measured lately.
        self.mean_run_s = INITIAL_MEAN_RUN_S

    def install_table(self, table: RoutingTable) -> bool:
        """Put a newer configuration in force; False when it is not newer."""
        current = self.routing_table.version if self.routing_table else -1
        if table.version <= current:
            return False
        self.routing_table = table
        self.cache_stores.install(table)
        limits = {item.name: item.limit for item in table.tenants if item.limit is not None}
        self.quotas.install(limits, self.clock())
        self.splits.forget_except(table.routes)
        return True

    def cache_store_choices(self, service: str, prompt: Prompt) -> dict[str, CacheStoreChoice]:
        """Return the store that keeps a prompt's family in each region that has one."""
        homes = self.cache_stores.stores_by_region(prompt, self.settings.regions)
        return {
            region: CacheStoreChoice(store, self.copy_tokens_per_s(service, store))
            for region, store in homes.items()
        }

    @property
    def api_keys_fresh(self) -> bool:
        """Whether a key that the table holds cannot have been revoked too long ago."""
        bounds = self.settings.bounds
        if not bounds.fail_closed:
            return True
        age_s = self.freshness.age_s(self.clock())
        return age_s <= max(0.5, bounds.revoke_s - REVOCATION_MARGIN_S)

    @property
    def ready(self) -> bool:
        """Whether this process wants callers."""
        return (
            not self.stopping
            and self.routing_table is not None
            and self.zone_outage_handler.can_keep_serving
        )

    def choose_service(self, route: Route) -> str:
        """Return the service whose turn it is, or another part when it has no replica."""
        chosen = self.splits.choose(route)
        if self.fleet.of_service(chosen):
            return chosen
        for share in route.shares:
            if share.weight > 0 and self.fleet.of_service(share.service):
                return share.service
        return chosen

    def record_cached_parts(self, replica: RelayReplica, keys: list[int]) -> None:
        """Record parts that a replica has read for this daemon."""
        news = self.parts.record_cached(keys, replica.order_hash, self.clock())
        if news:
            self.cached_parts_backlog.add(replica.order_hash, news)

    def record_peer_cached_parts(self, replica_hash: int, keys: tuple[int, ...]) -> None:
        """Record parts that a replica has read for another daemon."""
        self.parts.record_cached(keys, replica_hash, self.clock())

    def record_run(self, output_tokens: int, run_s: float) -> None:
        """Learn how long runs take by the tokens that they may put out."""
        self.mean_run_s += RUN_WEIGHT * (run_s - self.mean_run_s)
        if output_tokens > 0:
            self.run_s_per_token += RUN_WEIGHT * (run_s / output_tokens - self.run_s_per_token)

    def install_listing(self, listing: ReplicaListing) -> None:
        """Take in what the platform's list says of a replica; newer weights end its load."""
        known = self.fleet.get(listing.replica_id)
        if known is not None and _has_loaded(known, listing):
            known.loading_until_s = 0.0
        replica = self.fleet.install(listing)
        if known is None:
            self.notices.adopt(replica)
            self.limits.mark_listed(replica)

    def record_version(self, replica: RelayReplica, model: str, version: int) -> None:
        """Record a replica's weights version; newer weights have emptied its cache."""
        if version > replica.versions.get(model, 0):
            replica.versions[model] = version

    def record_refused_version(self, replica: RelayReplica, model: str, refused: int) -> bool:
        """Record that a replica refused a request for one version; True when it may be asked again.

        Versions only rise, so it has at least the next number. Nothing lowers a believed version,
        and a replica believed to be newer than it is would refuse everything and never be loaded.
        """
        history = self.weights_versions.get(model)
        if history is None or refused >= history.newest:
            return False
        replica.versions[model] = max(refused + 1, replica.versions.get(model, 0))
        return True

    def record_refused_document(self, key: str, failure: Failure) -> None:
        """Count an entry of the store that cannot be read, and log some: many may be written."""
        self.metrics.documents_refused.inc()
        if self._refused_documents_log_limit.allows(self.clock()):
            log_event("document_refused", "WARNING", key=key, reason=failure.reason)

    def mark_superseded(self, replica: RelayReplica, by: str = "") -> None:
        """Record that another incarnation answers at a replica's address, ``by`` if it said so."""
        self.fleet.record_other_answered(replica, by)
        self.crashes.record_crash(replica, CrashEvidence.REPLACED)

    def record_failure(self, replica: RelayReplica, reason: str, *, certain: bool = False) -> None:
        """Record a replica's failure; log when it is now left alone for a while."""
        now_s = self.clock()
        if certain:
            self.zone_reachability.record_failure(replica.listing.zone, replica.order_hash, now_s)
        if replica.record_failure(now_s, certain=certain):
            log_event(
                "replica_ejected",
                replica=replica.replica_id,
                reason=reason,
                failures=replica.failures_in_row,
                for_s=replica.ejected_until_s - now_s,
            )
            self.on_ejected(replica)

    def record_failure_report(self, replica_hash: int, reporter: str) -> None:
        """Record that a peer has ejected a replica; log when it is now left alone here as well."""
        now_s = self.clock()
        for replica in self.fleet.replicas():
            if replica.order_hash != replica_hash:
                continue
            self.zone_reachability.record_failure(replica.listing.zone, replica_hash, now_s)
            if replica.record_failure_report(reporter, now_s):
                log_event(
                    "replica_ejected",
                    replica=replica.replica_id,
                    reason="peers have ejected it",
                    told_by=reporter,
                    for_s=replica.ejected_until_s - now_s,
                )

    def engine_speed(self, service: str) -> EngineSpeed:
        """Return what is known of the speed of a service's engines."""
        return self._engine_speeds[service]

    def copy_tokens_per_s(self, service: str, store: RelayReplica | None = None) -> float:
        """Return how fast a service's replicas copy kept parts in their zone; 0 where they cannot.

        They copy from each other, or from a store whose link may be slower.
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
        """Return the tokens that each of the service's replicas has memory for; 0 if not known."""
        known = self.routing_table.services.get(service) if self.routing_table else None
        return known.engine.cache_tokens if known and known.engine else 0

    def is_configured(self, service: str) -> bool:
        """Whether the configuration names a service; without one, nothing is known against it."""
        return self.routing_table is None or service in self.routing_table.services

    def connection_limit(self, service: str) -> int:
        """Return this daemon's part of the connections that one replica takes."""
        known = self.routing_table.services.get(service) if self.routing_table else None
        total = known.max_connections if known else 64
        return max(2, total // self.daemon_count)


def _has_loaded(known: RelayReplica, listing: ReplicaListing) -> bool:
    """Whether the list now shows a newer version of some model than was believed."""
    return any(
        version > known.versions.get(model, 0) for model, version in listing.versions.items()
    )


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

"""Decodes operators' documents and replicas' store entries into the router's types.

Encodes the status of rollouts for operators.
"""

from __future__ import annotations

import enum
import ipaddress
from typing import Annotated, TypeVar

import msgspec

from winchfork.core.relay_replica import ReplicaListing
from winchfork.core.routing import (
    CacheStore,
    CallerLimits,
    EngineProfile,
    Route,
    RouteKind,
    RoutingTable,
    Service,
    ServiceShare,
    TenantPolicy,
)
from winchfork.core.software_state import RolloutOutcome, SoftwareOrder
from winchfork.core.tenant_quota import QuotaUnit, TenantLimit
from winchfork.decoding import Count, Number, Quantity, decode_json, read_count
from winchfork.errors import Failure, FailureKind
from winchfork.platform import names
from winchfork.router.documents import Document, ReplicaRemoved, UnreadableReplica, WeightsTarget
from winchfork.stores.async_key_value import PutItem, StoreItem

_Shape = TypeVar("_Shape")
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_MAX_PORT = 65_535


class _ReplicaState(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


class _PascalStruct(msgspec.Struct, rename="pascal"):
    """Base of records whose JSON field names are in Pascal case."""


class _Split(_PascalStruct):
    service: str
    weight: Quantity


class _Route(_PascalStruct):
    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: Quantity
    max_attempts: Number = 1
    target_latency_ms: Quantity = 0.0
    priority: Number = 5
    service: str = ""
    traffic_split: list[_Split] = msgspec.field(default_factory=list)
    allow_anonymous: bool = False
    sticky_sessions: bool = False
    resumable: bool = False
    gap_target_ms: Quantity = 0.0


class _NamedModel(_PascalStruct):
    name: str


class _Engine(_PascalStruct):
    slots: Number = 0
    kv_capacity_tokens: Number = 0
    kv_token_bytes: Quantity = 0.0
    link_mbps: Quantity = 0.0
    max_in_flight: Number = 0
    models: list[_NamedModel] = msgspec.field(default_factory=list)


class _Service(_PascalStruct):
    name: str
    max_connections: Number = 64
    engine: _Engine | None = None
    kv_store_address: str = ""
    zone: str = ""
    kv_capacity_tokens: Number = 0
    link_mbps: Quantity = 0.0


class _Limits(_PascalStruct):
    max_header_bytes: Number = 16_384
    max_body_bytes: Number = 4_194_304
    header_timeout_ms: Quantity = 5_000.0
    idle_timeout_ms: Quantity = 30_000.0


class _Tenant(_PascalStruct):
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: Number | None = None
    isolated: bool = False
    #: Unit of ``rate_per_s`` and ``burst``.
    unit: QuotaUnit = QuotaUnit.REQUESTS
    rate_per_s: Quantity = 0.0
    burst: Quantity = 0.0
    #: Tokens charged for a request whose headers do not give its token usage.
    uncached_tokens: Quantity = 0.0


class _Configuration(_PascalStruct):
    version: Number
    routes: list[_Route] = msgspec.field(default_factory=list)
    services: list[_Service] = msgspec.field(default_factory=list)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = msgspec.field(default_factory=list)


class _ModelVersion(_PascalStruct):
    name: str
    version: Count


class _ReplicaEntry(_PascalStruct):
    service: _Name
    address: str
    zone: _Name
    slots: Count
    state: _ReplicaState
    version: str = ""
    models: list[_ModelVersion] = msgspec.field(default_factory=list)
    sequence: Count = 0
    born: Count = msgspec.field(name="born", default=0)


class _NamedVersion(_PascalStruct):
    model: str
    version: Count


class _RolloutOrder(_PascalStruct):
    service: str
    target_version: str
    duration_s: Quantity


class _RolloutStatus(_PascalStruct):
    state: str
    target_version: str


class PlatformDocumentCodec:
    """Implements ``DocumentReader`` and ``StatusWriter`` of :mod:`winchfork.router.documents`."""

    def read(self, item: StoreItem) -> Document | Failure | None:
        """Return the document of an entry; None for an entry that the router does not use."""
        if item.key.startswith(names.REPLICA_PREFIX):
            return _replica(item)
        if item.value is None:
            return None
        if item.key == names.CONFIGURATION_KEY:
            return _table(item.value)
        if item.key.startswith(names.VERSION_PREFIX):
            named = _decode(item, _NamedVersion)
            if isinstance(named, Failure):
                return named
            return WeightsTarget(named.model, named.version)
        if item.key.startswith(names.ROLLOUT_ORDER_PREFIX):
            return _rollout_order(item)
        return None

    def rollout_status(self, service: str, target: str, outcome: RolloutOutcome) -> PutItem:
        """Return the entry that shows operators the state of a software rollout."""
        status = _RolloutStatus(_ROLLOUT_STATES[outcome], target)
        key = names.ROLLOUT_STATUS_PREFIX + service
        return PutItem(key, msgspec.json.encode(status))


_ROLLOUT_STATES = {
    RolloutOutcome.RUNNING: "running",
    RolloutOutcome.COMPLETED: "completed",
    RolloutOutcome.ROLLED_BACK: "rolled_back",
}


def _rollout_order(item: StoreItem) -> SoftwareOrder | Failure:
    order = _decode(item, _RolloutOrder)
    if isinstance(order, Failure):
        return order
    if not order.target_version or not order.service:
        return FailureKind.BAD_DOCUMENT.because(
            f"{item.key}: the service or the target version is empty",
            remedy="set both the service and the target version",
        )
    return SoftwareOrder(order.service, order.target_version, order.duration_s, item.revision)


def _replica(item: StoreItem) -> Document | Failure:
    replica_id = item.key.removeprefix(names.REPLICA_PREFIX)
    if item.value is None:
        return ReplicaRemoved(replica_id)
    entry = _decode(item, _ReplicaEntry)
    if isinstance(entry, Failure):
        return UnreadableReplica(replica_id, entry)
    if not _is_address(entry.address):
        failure = FailureKind.BAD_DOCUMENT.because(
            f"{item.key}: {entry.address} is not an address",
            remedy="use an IPv4 address and a port, such as 10.0.0.1:8080",
        )
        return UnreadableReplica(replica_id, failure)
    return ReplicaListing(
        replica_id=replica_id,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        accepting=entry.state is _ReplicaState.READY,
        versions={model.name: model.version for model in entry.models},
        software=entry.version,
        started_at_ms=entry.born,
    )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return 0 < (read_count(port) or 0) <= _MAX_PORT


def _table(value: bytes) -> RoutingTable | Failure:
    document = _decode(StoreItem(names.CONFIGURATION_KEY, value, 0), _Configuration)
    if isinstance(document, Failure):
        return document
    limits = document.limits
    return RoutingTable(
        document.version,
        [_route(route) for route in document.routes],
        [_service(service) for service in document.services],
        [_tenant(item) for item in document.tenants],
        CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000.0,
            limits.idle_timeout_ms / 1000.0,
        ),
    )


def _tenant(tenant: _Tenant) -> TenantPolicy:
    limit = None
    if tenant.rate_per_s > 0.0:
        default_charge = 1.0 if tenant.unit is QuotaUnit.REQUESTS else tenant.uncached_tokens
        limit = TenantLimit(tenant.rate_per_s, tenant.burst, tenant.unit, default_charge)
    return TenantPolicy(
        tenant.name, tuple(tenant.api_keys), tenant.priority, tenant.isolated, limit
    )


def _route(route: _Route) -> Route:
    shares = tuple(ServiceShare(part.service, part.weight) for part in route.traffic_split)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=route.kind,
        timeout_s=route.timeout_ms / 1000.0,
        target_latency_s=route.target_latency_ms / 1000.0,
        priority=route.priority,
        shares=shares or (ServiceShare(route.service, 1.0),),
        max_attempts=max(1, route.max_attempts),
        anonymous=route.allow_anonymous,
        session_affinity=route.sticky_sessions,
        resumable=route.resumable,
        gap_target_s=route.gap_target_ms / 1000.0,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    profile = None
    if engine is not None:
        profile = EngineProfile(
            slots=engine.slots,
            cache_tokens=engine.kv_capacity_tokens,
            token_bytes=int(engine.kv_token_bytes),
            link_mbps=engine.link_mbps,
            models=tuple(model.name for model in engine.models),
            event_readers=engine.max_in_flight,
        )
    store = None
    if service.kv_store_address:
        store = CacheStore(
            service.kv_store_address, service.zone, service.kv_capacity_tokens, service.link_mbps
        )
    return Service(service.name, service.max_connections, profile, store)


def _decode(item: StoreItem, shape: type[_Shape]) -> _Shape | Failure:
    return decode_json(item.value or b"", shape, item.key)

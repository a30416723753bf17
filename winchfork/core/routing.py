"""Routes, services, tenants and limits of a relayed deployment, as one immutable table.

A route is found by host and longest path prefix. It says what may be repeated, how long a request
may be held, and which services share its requests. Times are in seconds, sizes in bytes or tokens.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from winchfork.core.tenant_quota import TenantLimit


class RouteKind(enum.Enum):
    """What an answer looks like and whether its request may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class ServiceShare(msgspec.Struct, frozen=True):
    """One part of a route's traffic split; weights are relative."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One route. ``priority`` 0 is the most urgent; ``gap_target_s`` is 0 where none is set."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int = 1
    anonymous: bool = False
    session_affinity: bool = False
    resumable: bool = False
    gap_target_s: float = 0.0

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after an attempt whose outcome is unknown."""
        return self.kind is RouteKind.SAFE or self.resumable


class EngineProfile(msgspec.Struct, frozen=True):
    """What operators say of a service's engines."""

    slots: int
    cache_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[str, ...]
    event_readers: int = 0


class CacheStore(msgspec.Struct, frozen=True):
    """A store of kept cache outside the engines; ``address`` is ``IP:PORT``.

    ``link_mbps`` 0: not known, as fast as the engines' own links.
    """

    address: str
    zone: str
    cache_tokens: int
    link_mbps: float = 0.0


class Service(msgspec.Struct, frozen=True):
    """A group of replicas; ``engine`` is set for model replicas, ``store`` for a cache store."""

    name: str
    max_connections: int = 64
    engine: EngineProfile | None = None
    store: CacheStore | None = None


class TenantPolicy(msgspec.Struct, frozen=True):
    """A tenant: its priority takes precedence over the route's; ``isolated`` shares no cache.

    ``limit`` is what it may use over all daemons together; None: as much as it likes.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    limit: TenantLimit | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


class RoutingTable:
    """One version of the operators' configuration with its look-ups. Immutable."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        tenants: Iterable[TenantPolicy] = (),
        limits: CallerLimits | None = None,
    ) -> None:
        self.version = version
        self.routes = tuple(routes)
        self.services = {service.name: service for service in services}
        self.tenants = tuple(tenants)
        self.limits = limits or CallerLimits()
        self._tenant_by_key = {key: tenant for tenant in self.tenants for key in tenant.api_keys}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that begins ``path``."""
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def tenant_of(self, api_key: str) -> TenantPolicy | None:
        """Return the tenant that holds ``api_key``."""
        return self._tenant_by_key.get(api_key)

    def cache_stores(self) -> list[CacheStore]:
        """Return the stores of kept cache."""
        return [item.store for item in self.services.values() if item.store]


class TrafficSplitter:
    """Deals requests to the parts of a split in proportion to their weights.

    Smooth weighted round-robin: in every run of requests each part's share is within one request
    of its weight, so that no random excursion shows in a short window. State is kept for each
    route and restarts when the route's split changes.
    """

    def __init__(self) -> None:
        self._credit: dict[tuple[str, tuple[ServiceShare, ...]], dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service whose turn it is."""
        if len(route.shares) == 1:
            return route.shares[0].service
        credit = self._credit.setdefault((route.name, route.shares), {})
        total = sum(share.weight for share in route.shares)
        for share in route.shares:
            credit[share.service] = credit.get(share.service, 0.0) + share.weight
        chosen = max(route.shares, key=lambda share: credit[share.service])
        credit[chosen.service] -= total
        return chosen.service

    def forget_except(self, routes: Iterable[Route]) -> None:
        """Drop the state of routes that are no longer configured."""
        kept = {(route.name, route.shares) for route in routes}
        self._credit = {key: value for key, value in self._credit.items() if key in kept}

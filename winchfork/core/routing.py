"""Routes, services, tenants and limits of a relayed deployment, as one immutable table.

Routes are matched by host and longest path prefix. A route defines whether its requests may be
retried, their timeout, and the services that share them. Times are in seconds, sizes in bytes or
tokens.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable

import msgspec

from winchfork.core.prompt_parts import shared_isolation_key
from winchfork.core.tenant_quota import TenantLimit


class RouteKind(enum.Enum):
    """The form of a route's answers and whether its requests may run more than once."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service's share of a route's traffic; weights are relative."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One route. ``priority`` 0 is the most urgent; ``gap_target_s`` is 0 if none is set."""

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
        """Whether a request may be retried after an attempt whose outcome is unknown."""
        return self.kind is RouteKind.SAFE or self.resumable


class EngineProfile(msgspec.Struct, frozen=True):
    """The configured properties of a service's engines.

    ``cache_tokens`` is an engine's cache capacity, ``token_bytes`` the cache size of one token, and
    ``link_mbps`` the bandwidth for copying cache.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    link_mbps: float
    models: tuple[str, ...]
    event_readers: int = 0


class CacheStore(msgspec.Struct, frozen=True):
    """A cache store outside the engines; ``address`` is ``IP:PORT``.

    ``link_mbps`` is the bandwidth of its link; 0: that of the engines' links.
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
    """A tenant. Its priority, if set, overrides the route's; an ``isolated`` one shares no cache.

    ``limit`` applies over all daemons together; None: unlimited.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    limit: TenantLimit | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Size limits and timeouts for callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


class RoutingTable:
    """One version of the operators' configuration, with lookups. Immutable."""

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
        #: Isolation key of the cache that the tenants share which are not isolated.
        self.shared_isolation_key = shared_isolation_key(
            tenant.name for tenant in self.tenants if tenant.isolated
        )
        self._tenant_by_name = {tenant.name: tenant for tenant in self.tenants}
        self._tenant_by_key = {key: tenant for tenant in self.tenants for key in tenant.api_keys}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix of ``path``, or None."""
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def tenant_of(self, api_key: str) -> TenantPolicy | None:
        """Return the tenant that owns ``api_key``, or None."""
        return self._tenant_by_key.get(api_key)

    def tenant_named(self, name: str) -> TenantPolicy | None:
        """Return the tenant called ``name``, or None."""
        return self._tenant_by_name.get(name)

    def cache_stores(self) -> list[CacheStore]:
        """Return the configured cache stores."""
        return [item.store for item in self.services.values() if item.store]


class TrafficSplitter:
    """Distributes a route's requests over its services in proportion to their weights.

    Uses smooth weighted round-robin: in any sequence of requests each service's share is within one
    request of its weight. State is held for each route and is reset when the route's split changes.
    """

    def __init__(self) -> None:
        self._credit: dict[tuple[str, tuple[ServiceShare, ...]], dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request."""
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
        """Drop the state of all routes but these."""
        retained = {(route.name, route.shares) for route in routes}
        self._credit = {key: value for key, value in self._credit.items() if key in retained}

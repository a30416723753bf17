"""Settings of a router process. Times are in seconds, addresses are ``IP:PORT``."""

from __future__ import annotations

import msgspec

from winchfork.core.region_map import RegionMap
from winchfork.core.software_plan import ExposureLimits
from winchfork.core.tenant_quota import QuotaTolerance

_NO_REGIONS = RegionMap()


class RouterBounds(msgspec.Struct, frozen=True):
    """Time bounds, limits and tolerances that the deployment sets.

    ``contact_s`` is how long a store that is reachable again must stay so to count as stable.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    revoke_s: float = 5.0
    fail_closed: bool = True
    configuration_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    lease_s: float = 3.0
    weights_s: float = 8.0
    reread_s: float = 10.0
    heartbeat_s: float = 1.2
    quota: QuotaTolerance = QuotaTolerance()
    exposure: ExposureLimits = ExposureLimits()


class RouterSettings(msgspec.Struct, frozen=True):
    """The identity, addresses and bounds of a router process."""

    node_id: str
    zone: str
    region: str
    machine_ip: str
    caller_address: str
    readiness_address: str
    store_address: str
    metrics_address: str = ""
    peer_ports: tuple[int, int] = (0, 0)
    #: The zones of the deployment and the region of each.
    regions: RegionMap = _NO_REGIONS
    seeds: tuple[str, ...] = ()
    store_min_lease_s: float = 1.0
    #: Bandwidth of the machine's link in Mbit/s; 0 if unknown.
    link_mbps: int = 0
    #: Memory limit of the process in bytes; 0 if there is none.
    memory_bytes: int = 0
    #: Whether software rollouts are enabled; if not, every version gets requests.
    software_rollouts: bool = False
    bounds: RouterBounds = RouterBounds()

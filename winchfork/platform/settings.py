"""Reads the platform's settings file, with lines of ``a.b=value``, into the router's settings."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path

from winchfork.core.region_map import RegionMap
from winchfork.core.software_plan import ExposureLimits
from winchfork.core.tenant_quota import QuotaTolerance
from winchfork.errors import Failure, FailureKind
from winchfork.platform import names
from winchfork.router.settings import RouterBounds, RouterSettings

_METRICS_PORT = 9464
BYTES_PER_MB = 1_000_000


def read_settings(environment: Mapping[str, str] | None = None) -> RouterSettings | Failure:
    """Read the settings file that the variable ``WINCHFORK_BOOT`` names."""
    path = (environment or os.environ).get(names.SETTINGS_VARIABLE, "")
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return FailureKind.INVALID_SETTINGS.because(
            f"{names.SETTINGS_VARIABLE} is {path!r}, which cannot be read: {error}",
            remedy="set it to the path of a readable settings file",
        )
    return parse_settings(text)


def parse_settings(text: str) -> RouterSettings | Failure:
    """Parse settings; unknown keys are ignored."""
    fields = _SettingsReader(text)
    bounds = RouterBounds(
        contact_s=fields.seconds("Bounds.ContactMs", 3_000),
        drain_s=fields.seconds("Bounds.DrainMs", 2_000),
        grace_s=fields.number("Bounds.GraceS", 8),
        revoke_s=fields.seconds("Bounds.RevokeMs", 5_000),
        fail_closed=fields.text("Bounds.FailClosed", "true") == "true",
        configuration_s=fields.seconds("Bounds.ConfigApplyMs", 2_000),
        retry_ratio=fields.number("Bounds.RetryBudgetRatio", 0.2),
        retry_window_s=fields.number("Bounds.BudgetWindowS", 10),
        retry_slack=fields.number("Bounds.BudgetSlack", 0),
        lease_s=fields.seconds("Bounds.LeaseMs", 3_000),
        weights_s=fields.seconds("Bounds.VersionMs", 8_000),
        reread_s=fields.number("Bounds.RetryAfterS", 10),
        heartbeat_s=fields.seconds("HeartbeatMs", 1_200),
        quota=QuotaTolerance(
            window_s=fields.number("Bounds.QuotaWindowS", 8),
            overage=fields.number("Bounds.QuotaOverage", 0),
            slack=fields.number("Bounds.QuotaSlack", 0),
        ),
        exposure=ExposureLimits(
            share=fields.number("Bounds.ExposureShare", 0.1),
            slack=fields.number("Bounds.ExposureSlack", 0),
            rollback_s=fields.seconds("Bounds.RollbackMs", 5_000),
        ),
    )
    machine_ip = fields.text("Ip")
    settings = RouterSettings(
        node_id=fields.text("Node"),
        zone=fields.text("Zone"),
        region=fields.text("Region", "default"),
        machine_ip=machine_ip,
        caller_address=fields.address("ListenAddresses.Front"),
        readiness_address=fields.address("ListenAddresses.Readiness"),
        store_address=fields.address("Platform.Address"),
        metrics_address=f"{machine_ip}:{_METRICS_PORT}",
        peer_ports=fields.ports("InternalPorts"),
        regions=RegionMap(fields.table("Zones.")),
        seeds=fields.items("Seeds"),
        memory_bytes=int(fields.number("Limits.MemoryMb", 0) * BYTES_PER_MB),
        link_mbps=int(fields.number("Limits.LinkMbps", 0)),
        store_min_lease_s=fields.seconds("Platform.ttl_min_ms", 1_000),
        software_rollouts=names.ROLLOUT_CONTRACT in fields.items("Contracts"),
        bounds=bounds,
    )
    return fields.problem or settings


class _SettingsReader:
    """Typed look-ups of settings; ``problem`` is the first failure, if any."""

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        self.problem: Failure | None = None
        for line in text.splitlines():
            key, separator, value = line.partition("=")
            if separator:
                self._values[key.strip()] = value.strip()

    def text(self, key: str, default: str | None = None) -> str:
        """Return a text; a missing key without a default is a failure."""
        value = self._values.get(key, default)
        if value is None:
            self._record_problem(
                key, "is missing", "check the settings file that the platform writes"
            )
            return ""
        return value

    def number(self, key: str, default: float) -> float:
        """Return a number."""
        value = self._values.get(key)
        if value is None or value == "":
            return float(default)
        try:
            return float(value)
        except ValueError:
            self._record_problem(key, f"is {value!r}", "use a number")
            return float(default)

    def seconds(self, key: str, default_ms: float) -> float:
        """Return a time in seconds; the file gives milliseconds."""
        return self.number(key, default_ms) / 1000.0

    def address(self, key: str) -> str:
        """Return an address as ``IP:PORT``."""
        value = self.text(key)
        host, _, port = value.rpartition(":")
        if value and not (host and port.isdigit()):
            self._record_problem(key, f"is {value!r}", "use an IP address and a port")
        return value

    def ports(self, key: str) -> tuple[int, int]:
        """Return the first and last port of a range; (0, 0) where it is missing."""
        first, _, last = self._values.get(key, "").partition(",")
        if not first:
            return (0, 0)
        if not (first.isdigit() and last.isdigit()):
            self._record_problem(key, "is not a range", "use FIRST,LAST")
            return (0, 0)
        return int(first), int(last)

    def items(self, key: str) -> tuple[str, ...]:
        """Return the items of a comma-separated list; empty where it is missing."""
        return tuple(filter(None, self._values.get(key, "").split(",")))

    def table(self, prefix: str) -> dict[str, str]:
        """Return the values of all keys with a prefix, by the rest of the key."""
        return {
            key.removeprefix(prefix): value
            for key, value in self._values.items()
            if key.startswith(prefix)
        }

    def _record_problem(self, key: str, problem: str, remedy: str) -> None:
        if self.problem is None:
            self.problem = FailureKind.INVALID_SETTINGS.because(f"{key} {problem}", remedy=remedy)

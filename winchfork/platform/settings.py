"""The platform's settings file (lines of ``a.b=value``) to the router's settings."""

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


def read_settings(environment: Mapping[str, str] | None = None) -> RouterSettings | Failure:
    """Read the file that the environment names."""
    path = (environment or os.environ).get(names.SETTINGS_VARIABLE, "")
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        return FailureKind.INVALID_SETTINGS.because(
            f"{names.SETTINGS_VARIABLE} names {path!r}: {error}",
            remedy="name a readable settings file",
        )
    return parse_settings(text)


def parse_settings(text: str) -> RouterSettings | Failure:
    """Read settings; keys that are not known are skipped."""
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
        link_mbps=int(fields.number("Limits.LinkMbps", 0)),
        store_min_lease_s=fields.seconds("Platform.ttl_min_ms", 1_000),
        software_rollouts=names.ROLLOUT_CONTRACT in fields.items("Contracts"),
        bounds=bounds,
    )
    return fields.problem or settings


class _SettingsReader:
    """Typed look-ups in the file; the first problem is kept."""

    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        self.problem: Failure | None = None
        for line in text.splitlines():
            key, separator, value = line.partition("=")
            if separator:
                self._values[key.strip()] = value.strip()

    def text(self, key: str, default: str | None = None) -> str:
        """Return a text; a missing one without a default is a problem."""
        value = self._values.get(key, default)
        if value is None:
            self._record_problem(key, "is missing", "the platform writes it at each start")
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
            self._record_problem(key, f"is {value!r}", "write a number")
            return float(default)

    def seconds(self, key: str, default_ms: float) -> float:
        """Return a time that the file gives in milliseconds."""
        return self.number(key, default_ms) / 1000.0

    def address(self, key: str) -> str:
        """Return an ``IP:PORT``."""
        value = self.text(key)
        host, _, port = value.rpartition(":")
        if value and not (host and port.isdigit()):
            self._record_problem(key, f"is {value!r}", "write an IP number and a port")
        return value

    def ports(self, key: str) -> tuple[int, int]:
        """Return the first and the last of a range of ports."""
        first, _, last = self._values.get(key, "").partition(",")
        if not first:
            return (0, 0)
        if not (first.isdigit() and last.isdigit()):
            self._record_problem(key, "is no range", "write FIRST,LAST")
            return (0, 0)
        return int(first), int(last)

    def items(self, key: str) -> tuple[str, ...]:
        """Return the items of a list, none where it is missing."""
        return tuple(filter(None, self._values.get(key, "").split(",")))

    def table(self, prefix: str) -> dict[str, str]:
        """Return a table's values by name."""
        return {
            key.removeprefix(prefix): value
            for key, value in self._values.items()
            if key.startswith(prefix)
        }

    def _record_problem(self, key: str, problem: str, remedy: str) -> None:
        if self.problem is None:
            self.problem = FailureKind.INVALID_SETTINGS.because(f"{key} {problem}", remedy=remedy)

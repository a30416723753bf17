"""The daemon's settings: a TOML file, validated by pydantic; command-line flags override it."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any

import pydantic

from winchfork.constants import (
    CLAIM_FUTURE_MARGIN_S,
    CLAIM_RESTART_MARGIN_S,
    CLAIM_RETENTION_S,
    CLAIM_VOTERS,
)
from winchfork.core.configuration import Name, describe_validation_error
from winchfork.core.policies.registry import DEFAULT_POLICY, POLICIES
from winchfork.errors import Failure, FailureKind


def _check_address(value: str) -> str:
    host, separator, port = value.rpartition(":")
    parts = host.split(".")
    numeric = len(parts) == 4 and all(part.isdigit() and int(part) < 256 for part in parts)
    if not separator or not numeric or not port.isdigit() or int(port) > 65_535:
        raise ValueError("must be an IP address and a port, such as 127.0.0.1:8080")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class DaemonSettings(_Section):
    """The daemon's identity, addresses, keys and policy."""

    id: Name
    zone: Name
    region: Name = "default"
    http_address: Address
    peer_address: Address
    rpc_address: Address
    seeds: tuple[Address, ...] = ()
    cluster_key_file: str | None = None
    cluster_key: Annotated[str, pydantic.Field(min_length=16)] | None = None
    operator_token_sha256: tuple[str, ...] = ()
    policy: str = DEFAULT_POLICY
    log_level: str = "info"

    @pydantic.field_validator("policy")
    @classmethod
    def _policy_is_known(cls, value: str) -> str:
        if value not in POLICIES:
            raise ValueError(f"must be one of {', '.join(sorted(POLICIES))}")
        return value

    @pydantic.field_validator("log_level")
    @classmethod
    def _level_is_known(cls, value: str) -> str:
        if value not in ("debug", "info", "warning", "error"):
            raise ValueError("must be debug, info, warning or error")
        return value

    @pydantic.model_validator(mode="after")
    def _has_one_key(self) -> DaemonSettings:
        if (self.cluster_key is None) == (self.cluster_key_file is None):
            raise ValueError("set exactly one of cluster_key and cluster_key_file")
        return self


class PlatformSettings(_Section):
    """Addresses of the platform's services."""

    key_value_endpoints: Annotated[tuple[str, ...], pydantic.Field(min_length=1)]
    machine_list_url: str


class LimitSettings(_Section):
    """Limits on threads and requests of this daemon."""

    workers: Annotated[int, pydantic.Field(ge=4, le=4096)] = 256
    max_open_requests: Annotated[int, pydantic.Field(ge=1, le=4096)] = 200
    max_waiting_requests: Annotated[int, pydantic.Field(ge=0, le=100_000)] = 400


class ClaimSettings(_Section):
    """Times of the at-most-once claims, in seconds, and the number of voters in a panel."""

    voters: Annotated[int, pydantic.Field(ge=1, le=5)] = CLAIM_VOTERS
    future_margin_s: Annotated[float, pydantic.Field(gt=0, le=60)] = CLAIM_FUTURE_MARGIN_S
    restart_margin_s: Annotated[float, pydantic.Field(gt=0, le=120)] = CLAIM_RESTART_MARGIN_S
    retention_s: Annotated[float, pydantic.Field(gt=0, le=86_400)] = CLAIM_RETENTION_S

    @pydantic.model_validator(mode="after")
    def _margins_fit(self) -> ClaimSettings:
        if self.restart_margin_s <= self.future_margin_s:
            raise ValueError("restart_margin_s must exceed future_margin_s by the clock skew")
        return self


class TlsSettings(_Section):
    """PEM files of the certificate and key for the callers' and the operators' interface."""

    certificate_file: str
    key_file: str


class Settings(_Section):
    """All settings of a daemon."""

    daemon: DaemonSettings
    platform: PlatformSettings
    limits: LimitSettings = LimitSettings()
    claims: ClaimSettings = ClaimSettings()
    tls: TlsSettings | None = None

    def cluster_key_bytes(self) -> bytes | Failure:
        """Return the key that all peers share, from the settings or the key file."""
        if self.daemon.cluster_key is not None:
            return self.daemon.cluster_key.encode()
        path = str(self.daemon.cluster_key_file)
        try:
            key = Path(path).read_bytes().strip()
        except OSError as error:
            return FailureKind.INVALID_SETTINGS.because(
                f"daemon.cluster_key_file: {path} cannot be read: {error.strerror}",
                remedy="name a readable file with the shared key",
            )
        if len(key) < 16:
            return FailureKind.INVALID_SETTINGS.because(
                f"daemon.cluster_key_file: {path} has only {len(key)} bytes",
                remedy="use at least 16 random bytes",
            )
        return key


def load_settings(path: str, overrides: dict[str, Any]) -> Settings | Failure:
    """Read the settings file; ``overrides`` are ``section.key`` values from flags."""
    try:
        document = tomllib.loads(Path(path).read_text())
    except OSError as error:
        return FailureKind.INVALID_SETTINGS.because(
            f"{path} cannot be read: {error.strerror}", remedy="name a readable TOML file"
        )
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return FailureKind.INVALID_SETTINGS.because(
            f"{path} is not TOML: {error}", remedy="correct the TOML syntax"
        )
    for name, value in overrides.items():
        section, _, key = name.partition(".")
        if value is not None:
            document.setdefault(section, {})[key] = value
    try:
        return Settings.model_validate(document)
    except pydantic.ValidationError as error:
        return FailureKind.INVALID_SETTINGS.because(
            f"{path}: {describe_validation_error(error)}",
            remedy="correct this key; docs/operations/settings.md lists every key",
        )

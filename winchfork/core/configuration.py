"""The operators' configuration: its objects, their validation, and installation by revision.

An older or equal revision never replaces the installed one.
"""

from __future__ import annotations

import dataclasses
import enum
import hashlib
from typing import Annotated, Any

import pydantic

from winchfork.core.placement import ClassWeights
from winchfork.errors import Failure, FailureKind

Name = Annotated[str, pydantic.Field(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9-]*$")]
_HexSha256 = Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]


class _Object(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Tenant(_Object):
    """A customer. ``weight`` is its relative share in fair queueing."""

    name: Name
    api_key_sha256: tuple[_HexSha256, ...] = ()
    weight: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    max_open_requests: Annotated[int, pydantic.Field(ge=1, le=100_000)] = 1000


class TrafficClass(_Object):
    """Scheduling of one kind of request. Priority 0 is the most urgent; times in seconds."""

    name: Name
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 5
    first_token_weight: Annotated[float, pydantic.Field(ge=0, le=100)] = 1.0
    recompute_weight: Annotated[float, pydantic.Field(ge=0, le=100)] = 1.0
    may_wait: bool = False
    deadline_s: Annotated[float, pydantic.Field(gt=0, le=86_400)] = 120.0

    def placement_weights(self) -> ClassWeights:
        """Return the weights that the placement policy uses."""
        return ClassWeights(self.first_token_weight, self.recompute_weight)


class PoolKind(enum.Enum):
    """Whether the back ends of a pool are inference engines or application servers."""

    ENGINE = "engine"
    APPLICATION = "application"


class Pool(_Object):
    """A set of back ends; the machine list assigns machines to pools.

    With ``repeatable`` false, every request of an application pool runs at most once.
    """

    name: Name
    kind: PoolKind
    model: Name | None = None
    repeatable: bool = True
    traffic_class: Name | None = None

    @pydantic.model_validator(mode="after")
    def _model_matches_kind(self) -> Pool:
        if (self.kind is PoolKind.ENGINE) != (self.model is not None):
            raise ValueError("an engine pool names its model; an application pool has none")
        return self


class Rule(_Object):
    """Overrides for matching requests; the first rule that matches a request applies.

    A condition of None matches everything. An override of None keeps the class's or pool's setting.
    """

    name: Name
    tenant: Name | None = None
    pool: Name | None = None
    path_prefix: str | None = None
    traffic_class: Name | None = None
    may_wait: bool | None = None
    repeatable: bool | None = None

    def matches(self, tenant: str, pool: str, path: str) -> bool:
        """Whether the rule matches a request of this tenant, pool and path."""
        return (
            self.tenant in (None, tenant)
            and self.pool in (None, pool)
            and (self.path_prefix is None or path.startswith(self.path_prefix))
        )


class Configuration(_Object):
    """All settings that operators make, as one versioned document.

    ``draining`` names the back ends that receive no new work until an operator removes them from
    the list.
    """

    tenants: tuple[Tenant, ...] = ()
    traffic_classes: tuple[TrafficClass, ...] = ()
    pools: tuple[Pool, ...] = ()
    rules: tuple[Rule, ...] = ()
    draining: tuple[Name, ...] = ()

    @pydantic.model_validator(mode="after")
    def _names_are_consistent(self) -> Configuration:
        for label, items in (
            ("tenant", self.tenants),
            ("traffic class", self.traffic_classes),
            ("pool", self.pools),
            ("rule", self.rules),
        ):
            names = [item.name for item in items]
            doubled = {name for name in names if names.count(name) > 1}
            if doubled:
                raise ValueError(f"{label} {sorted(doubled)[0]!r} is defined twice")
        classes = {item.name for item in self.traffic_classes}
        for pool in self.pools:
            if pool.traffic_class is not None and pool.traffic_class not in classes:
                raise ValueError(
                    f"pool {pool.name!r}: {pool.traffic_class!r} is no known traffic class"
                )
        for rule in self.rules:
            if rule.traffic_class is not None and rule.traffic_class not in classes:
                raise ValueError(
                    f"rule {rule.name!r}: {rule.traffic_class!r} is no known traffic class"
                )
        hashes = [digest for tenant in self.tenants for digest in tenant.api_key_sha256]
        if len(hashes) != len(set(hashes)):
            raise ValueError("an API key hash is listed more than once")
        return self


DEFAULT_CLASS = TrafficClass(name="default")


def describe_validation_error(error: pydantic.ValidationError) -> str:
    """Return the first problem of a validation error as `field: problem`."""
    problem = error.errors()[0]
    field = ".".join(str(part) for part in problem["loc"]) or "document"
    return f"{field}: {problem['msg']}"


def parse_configuration(text: str | bytes) -> Configuration | Failure:
    """Parse a configuration from JSON text; the failure names the invalid field."""
    try:
        return Configuration.model_validate_json(text)
    except pydantic.ValidationError as error:
        return FailureKind.INVALID_CONFIGURATION.because(
            describe_validation_error(error), remedy="correct the field and apply again"
        )


def hash_api_key(api_key: str) -> str:
    """Return the SHA-256 hash of an API key; keys are stored in no other form."""
    return hashlib.sha256(api_key.encode()).hexdigest()


@dataclasses.dataclass(frozen=True)
class InstalledConfiguration:
    """A configuration with its store revision and the lookup tables derived from it."""

    revision: int
    configuration: Configuration
    tenants_by_key: dict[str, Tenant]
    pools: dict[str, Pool]
    pools_by_model: dict[str, Pool]
    traffic_classes: dict[str, TrafficClass]

    @classmethod
    def of(cls, revision: int, configuration: Configuration) -> InstalledConfiguration:
        """Build the lookup tables of ``configuration``."""
        return cls(
            revision,
            configuration,
            {
                digest: tenant
                for tenant in configuration.tenants
                for digest in tenant.api_key_sha256
            },
            {pool.name: pool for pool in configuration.pools},
            {pool.model: pool for pool in configuration.pools if pool.model is not None},
            {item.name: item for item in configuration.traffic_classes},
        )

    def rule_for(self, tenant: str, pool: str, path: str) -> Rule | None:
        """Return the first rule that matches, or None."""
        rules = self.configuration.rules
        return next((rule for rule in rules if rule.matches(tenant, pool, path)), None)

    def traffic_class(self, name: str | None) -> TrafficClass | Failure:
        """Return the class called ``name``, or the default class for None."""
        if name is None:
            return self.traffic_classes.get(DEFAULT_CLASS.name, DEFAULT_CLASS)
        found = self.traffic_classes.get(name)
        if found is None:
            return FailureKind.INVALID_REQUEST.because(
                f"there is no traffic class {name!r}",
                remedy=f"use one of: {', '.join(sorted(self.traffic_classes))}",
            )
        return found


class ConfigurationHolder:
    """Holds the active configuration; an older or equal revision is never installed."""

    def __init__(self) -> None:
        self.current = InstalledConfiguration.of(0, Configuration())

    def install(self, revision: int, configuration: Configuration) -> bool:
        """Activate a newer configuration; False when it is not newer."""
        if revision <= self.current.revision:
            return False
        self.current = InstalledConfiguration.of(revision, configuration)
        return True


def changed_objects(old: dict[str, Any], new: dict[str, Any]) -> list[tuple[str, Any, Any]]:
    """List (object, old, new) for every named object that differs between two configurations."""
    changes: list[tuple[str, Any, Any]] = []
    for section in ("tenants", "traffic_classes", "pools", "rules"):
        before = {item["name"]: item for item in old.get(section, [])}
        after = {item["name"]: item for item in new.get(section, [])}
        for name in sorted(set(before) | set(after)):
            if before.get(name) != after.get(name):
                changes.append((f"{section}/{name}", before.get(name), after.get(name)))
    if old.get("draining", []) != new.get("draining", []):
        changes.append(("draining", old.get("draining", []), new.get("draining", [])))
    return changes

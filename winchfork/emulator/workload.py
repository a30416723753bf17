"""Workloads of two deployments, shared by the load tool and the experiments.

A prompt is a list of segments (such as house rules, a school's style sheet, a page), each with an
identity and a length. The load tool turns segments into text; the experiments turn them directly
into block keys that share prefixes in the same way.
"""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Iterator
from typing import Protocol

import xxhash

from winchfork.constants import BLOCK_TOKENS, BYTES_PER_TOKEN
from winchfork.core.configuration import (
    Configuration,
    Pool,
    PoolKind,
    Tenant,
    TrafficClass,
    hash_api_key,
)
from winchfork.core.prefix import CacheScope, PromptPrefix, chain_key

TENANT_SHARES = (0.28, 0.22, 0.16, 0.11, 0.09, 0.06, 0.05, 0.03)


@dataclasses.dataclass(frozen=True)
class Segment:
    """A part of a prompt; segments with equal identities have equal text."""

    identity: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class WorkItem:
    """One request of a workload, sent ``at_s`` seconds after its start.

    ``is_command`` items go to the application pool.
    """

    number: int
    at_s: float
    tenant: str
    traffic_class: str
    segments: tuple[Segment, ...]
    output_tokens: int
    is_command: bool = False

    @property
    def prompt_tokens(self) -> int:
        """The prompt's length in tokens."""
        return sum(segment.tokens for segment in self.segments)


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The sizes of one deployment: zones, pools, traffic classes and tenants."""

    name: str
    region: str
    zones: tuple[str, ...]
    engine_pool: str
    model: str
    engine_replicas: int
    application_pool: str
    application_replicas: int
    zone_delay_s: float
    weights_load_s: float
    max_loading: int
    cache_blocks: int
    classes: tuple[TrafficClass, ...]
    tenants: tuple[str, ...]
    command_class: str

    def api_key(self, tenant: str) -> str:
        """Return the development API key of a tenant."""
        return f"dev-key-{tenant}"

    def configuration(self) -> Configuration:
        """Return the operators' configuration of this deployment."""
        return Configuration(
            tenants=tuple(
                Tenant(name=tenant, api_key_sha256=(hash_api_key(self.api_key(tenant)),))
                for tenant in self.tenants
            ),
            traffic_classes=self.classes,
            pools=(
                Pool(name=self.engine_pool, kind=PoolKind.ENGINE, model=self.model),
                Pool(
                    name=self.application_pool,
                    kind=PoolKind.APPLICATION,
                    repeatable=not self.command_class,
                    traffic_class=self.command_class or None,
                ),
            ),
        )


class Workload(Protocol):
    """Generates a deployment's requests in order of time."""

    def items(self, duration_s: float, rate: float) -> Iterator[WorkItem]:
        """Yield the requests of ``duration_s``; ``rate`` scales the arrivals."""
        ...


def segment_text(segment: Segment) -> str:
    """Return text of the segment's length, determined by its identity."""
    unit = xxhash.xxh3_64_hexdigest(segment.identity.encode()) + " "
    wanted = segment.tokens * BYTES_PER_TOKEN
    return (unit * (wanted // len(unit) + 1))[:wanted]


def prompt_text(item: WorkItem) -> str:
    """Return the prompt of an item as the load tool sends it."""
    return "".join(segment_text(segment) for segment in item.segments)


def item_prefix(item: WorkItem, scope: CacheScope) -> PromptPrefix:
    """Return the item's chained block keys without building its text."""
    keys: list[int] = []
    parent = scope.root_key()
    total = item.prompt_tokens
    starts: list[tuple[int, Segment]] = []
    position = 0
    for segment in item.segments:
        starts.append((position, segment))
        position += segment.tokens
    for start in range(0, total - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        end = start + BLOCK_TOKENS
        content = "|".join(
            f"{segment.identity}@{start - begin}"
            for begin, segment in starts
            if begin < end and begin + segment.tokens > start
        )
        parent = chain_key(parent, content.encode())
        keys.append(parent)
    return PromptPrefix(tuple(keys), total)


def _pick_tenant(generator: random.Random, tenants: tuple[str, ...]) -> str:
    return generator.choices(tenants, TENANT_SHARES[: len(tenants)])[0]


def _zipf_index(generator: random.Random, count: int) -> int:
    weights = [1.0 / (rank + 1) for rank in range(count)]
    return generator.choices(range(count), weights)[0]


def merge_by_time(streams: list[list[WorkItem]]) -> Iterator[WorkItem]:
    """Yield the items of all streams in order of time, renumbered."""
    merged = sorted((item for stream in streams for item in stream), key=lambda item: item.at_s)
    for number, item in enumerate(merged):
        yield dataclasses.replace(item, number=number)


class HimalWorkload:
    """Yearbook proofing: interactive suggestions, and book reviews that may wait.

    After the share ``SURGE_FROM`` of the run there are ``SURGE_FACTOR`` times as many suggestions.
    """

    SCHOOLS = 8
    HOUSE_TOKENS = 2_048
    SUGGESTIONS_PER_S = 9.0
    BOOKS_PER_S = 0.12
    BOOK_PAGES = 48
    PAGE_PERIOD_S = 0.12
    SURGE_FROM = 0.6
    SURGE_FACTOR = 1.6

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(f"himal:{seed}")

    def items(self, duration_s: float, rate: float) -> Iterator[WorkItem]:
        """Yield the requests of ``duration_s``."""
        suggestions = self._suggestions(duration_s, rate)
        return merge_by_time([suggestions, self._books(duration_s, rate)])

    def _school(self, tenant: str, school: int) -> tuple[Segment, ...]:
        sizes = random.Random(f"{tenant}:{school}")
        return (
            Segment(f"house:{tenant}", self.HOUSE_TOKENS),
            Segment(f"style:{tenant}:{school}", sizes.randrange(3_000, 6_000)),
            Segment(f"roster:{tenant}:{school}", sizes.randrange(3_000, 7_000)),
        )

    def _suggestions(self, duration_s: float, rate: float) -> list[WorkItem]:
        found: list[WorkItem] = []
        at_s = 0.0
        while True:
            surge = self.SURGE_FACTOR if at_s > self.SURGE_FROM * duration_s else 1.0
            at_s += self._random.expovariate(self.SUGGESTIONS_PER_S * rate * surge)
            if at_s >= duration_s:
                return found
            tenant = _pick_tenant(self._random, self._deployment.tenants)
            school = _zipf_index(self._random, self.SCHOOLS)
            caption = Segment(f"caption:{self._random.getrandbits(48)}", 250)
            found.append(
                WorkItem(
                    0,
                    at_s,
                    tenant,
                    "suggestion",
                    (*self._school(tenant, school), caption),
                    self._random.randrange(16, 48),
                )
            )

    def _books(self, duration_s: float, rate: float) -> list[WorkItem]:
        found: list[WorkItem] = []
        at_s = 0.0
        while True:
            at_s += self._random.expovariate(self.BOOKS_PER_S * rate)
            if at_s >= duration_s:
                return found
            tenant = _pick_tenant(self._random, self._deployment.tenants)
            school = _zipf_index(self._random, self.SCHOOLS)
            for page in range(self.BOOK_PAGES):
                page_at_s = at_s + page * self.PAGE_PERIOD_S
                if page_at_s >= duration_s:
                    break
                text = Segment(f"page:{self._random.getrandbits(48)}", 900)
                found.append(
                    WorkItem(
                        0,
                        page_at_s,
                        tenant,
                        "overnight",
                        (*self._school(tenant, school), text),
                        self._random.randrange(60, 160),
                    )
                )


class VigieWorkload:
    """Wind farms: alarm explanations, fault reviews and commands.

    Between the shares ``GUST_FROM`` and ``GUST_TO`` of the run there are ``GUST_FACTOR`` times as
    many alarms, and ``HOT_SHARE`` of them concern a few turbines, which change at ``GUST_SHIFT``.
    """

    TURBINES = 24
    FARM_TOKENS = 3_072
    ALARMS_PER_S = 6.0
    REVIEWS_PER_S = 1.6
    COMMANDS_PER_S = 2.0
    GUST_FROM = 0.4
    GUST_SHIFT = 0.55
    GUST_TO = 0.75
    GUST_FACTOR = 2.0
    HOT_TURBINES = 3
    HOT_SHARE = 0.8

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(f"vigie:{seed}")
        self._hot = [self._draw_hot(), self._draw_hot()]

    def items(self, duration_s: float, rate: float) -> Iterator[WorkItem]:
        """Yield the requests of ``duration_s``."""
        return merge_by_time(
            [
                self._alarms(duration_s, rate),
                self._reviews(duration_s, rate),
                self._commands(duration_s, rate),
            ]
        )

    def _draw_hot(self) -> list[tuple[str, int]]:
        return [
            (_pick_tenant(self._random, self._deployment.tenants), self._random.randrange(24))
            for _ in range(self.HOT_TURBINES)
        ]

    def _turbine(self, tenant: str, turbine: int) -> tuple[Segment, ...]:
        sizes = random.Random(f"{tenant}:{turbine}")
        return (
            Segment(f"farm:{tenant}", self.FARM_TOKENS),
            Segment(f"history:{tenant}:{turbine}", sizes.randrange(6_000, 16_000)),
        )

    def _draw_turbine(self, phase: float) -> tuple[str, int]:
        if self.GUST_FROM <= phase < self.GUST_TO and self._random.random() < self.HOT_SHARE:
            return self._random.choice(self._hot[phase >= self.GUST_SHIFT])
        tenant = _pick_tenant(self._random, self._deployment.tenants)
        return tenant, _zipf_index(self._random, self.TURBINES)

    def _alarms(self, duration_s: float, rate: float) -> list[WorkItem]:
        found: list[WorkItem] = []
        at_s = 0.0
        while True:
            gust = self.GUST_FROM <= at_s / duration_s < self.GUST_TO
            per_s = self.ALARMS_PER_S * rate * (self.GUST_FACTOR if gust else 1.0)
            at_s += self._random.expovariate(per_s)
            if at_s >= duration_s:
                return found
            tenant, turbine = self._draw_turbine(at_s / duration_s)
            alarm = Segment(f"alarm:{self._random.getrandbits(48)}", 300)
            segments = (*self._turbine(tenant, turbine), alarm)
            output = self._random.randrange(40, 90)
            found.append(WorkItem(0, at_s, tenant, "alarm", segments, output))

    def _reviews(self, duration_s: float, rate: float) -> list[WorkItem]:
        found: list[WorkItem] = []
        at_s = 0.0
        while True:
            at_s += self._random.expovariate(self.REVIEWS_PER_S * rate)
            if at_s >= duration_s:
                return found
            tenant, turbine = self._draw_turbine(0.0)
            question = Segment(f"review:{self._random.getrandbits(48)}", 1_500)
            segments = (*self._turbine(tenant, turbine), question)
            output = self._random.randrange(150, 350)
            found.append(WorkItem(0, at_s, tenant, "review", segments, output))

    def _commands(self, duration_s: float, rate: float) -> list[WorkItem]:
        found: list[WorkItem] = []
        at_s = 0.0
        while True:
            at_s += self._random.expovariate(self.COMMANDS_PER_S * rate)
            if at_s >= duration_s:
                return found
            tenant = _pick_tenant(self._random, self._deployment.tenants)
            order = Segment(f"stop:{self._random.getrandbits(64)}", 10)
            found.append(WorkItem(0, at_s, tenant, "command", (order,), 0, is_command=True))


HIMAL = Deployment(
    name="himal",
    region="bagmati",
    zones=("thamel-hall", "patan-hall", "bhaktapur-hall"),
    engine_pool="lekh-models",
    model="lekh",
    engine_replicas=10,
    application_pool="pustika-app",
    application_replicas=3,
    zone_delay_s=0.0015,
    weights_load_s=0.5,
    max_loading=3,
    cache_blocks=160,
    classes=(
        TrafficClass(
            name="suggestion",
            priority=1,
            first_token_weight=1.0,
            recompute_weight=1.0,
            deadline_s=30,
        ),
        TrafficClass(
            name="overnight",
            priority=8,
            first_token_weight=0.1,
            recompute_weight=2.0,
            may_wait=True,
            deadline_s=3600,
        ),
    ),
    tenants=tuple(f"press-{number}" for number in range(1, 9)),
    command_class="",
)

VIGIE = Deployment(
    name="vigie",
    region="souss",
    zones=("hall-tarfaya", "hall-tiznit", "hall-agadir"),
    engine_pool="vigie-lm",
    model="vigie",
    engine_replicas=6,
    application_pool="relais",
    application_replicas=3,
    zone_delay_s=0.001,
    weights_load_s=0.33,
    max_loading=2,
    cache_blocks=240,
    classes=(
        TrafficClass(
            name="alarm",
            priority=0,
            first_token_weight=2.0,
            recompute_weight=0.5,
            deadline_s=30,
        ),
        TrafficClass(name="command", priority=0, deadline_s=10),
        TrafficClass(
            name="review",
            priority=7,
            first_token_weight=0.2,
            recompute_weight=1.0,
            may_wait=True,
            deadline_s=1800,
        ),
    ),
    tenants=tuple(f"farm-{number}" for number in range(1, 9)),
    command_class="command",
)

DEPLOYMENTS = {HIMAL.name: HIMAL, VIGIE.name: VIGIE}


def make_workload(deployment: Deployment, seed: int) -> Workload:
    """Return the workload of a deployment."""
    if deployment.name == HIMAL.name:
        return HimalWorkload(deployment, seed)
    return VigieWorkload(deployment, seed)

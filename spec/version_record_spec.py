"""Specification of the record of versions: a router that has just started concludes no wrong one.

One service with two versions that come and go, two routers that die and start, the store's record,
and one stream that may be continued for a tick. The store is restored from a backup, which voids
the record. Each router sees every change at once; it knows how many ticks ago it saw each version
listed, and since when it has missed nothing.

Checked: while a stream can be continued, a router that concludes a version from its history
concludes the one that began it. Until one that ran then dies, the router that began the stream is
asked, and nothing is concluded. What a router has seen is written before it dies or the store is
restored; the mutant without this shows the gap that is left.

State: listed versions, the record and whether it is valid, the version that began the stream and
its age, which routers have died since, and for each router whether it runs, how long ago it saw
each version, since when it has missed nothing, and whether it knew all versions when an era began.
"""

from __future__ import annotations

import dataclasses
from typing import Any

from minicheck import Protocol

State = tuple[int, ...]
Steps = list[tuple[str, State]]
#: Sets of versions are bit masks: version 1 is 1, version 2 is 2, both are 3.
VERSIONS = (1, 2)
#: Ticks for which a stream may be continued, and the age that stands for all longer ones.
SPAN = 1
OLD = SPAN + 1
#: Of the routers that ran when the stream began, none has died (0), or one has, or nobody ran.
SOME_DIED = 1
ALL_DIED = 2
FIELDS = ("listed", "record", "valid", "stream", "age", "died", "first", "second")


@dataclasses.dataclass(frozen=True)
class VersionRecordRules:
    """The protocol's rules; each mutant violates one. Times are in ticks."""

    #: A router takes the versions of a valid record for what it has not seen.
    seeds_from_record: bool = True
    #: A router that finds no valid record counts from its start.
    distrusts_other_eras: bool = True
    #: The record is created only by a router that knows all versions.
    creates_informed: bool = True
    #: A version is removed only when no stream of it can be continued.
    removes_late: bool = True
    #: What is new in the record counts as seen by every router.
    reads_additions: bool = True
    #: What a router has seen is in a valid record before it dies or the store is restored.
    writes_at_once: bool = True


@dataclasses.dataclass(frozen=True)
class _Router:
    """A router that runs."""

    seen: tuple[int, int]
    since: int
    informed: int
    #: Whether it ran when the stream began, so that it may have begun it.
    began: int = 0

    def see(self, versions: int) -> _Router:
        seen = [0 if version & versions else self.seen[version - 1] for version in VERSIONS]
        return dataclasses.replace(self, seen=(seen[0], seen[1]))

    def tick(self, listed: int) -> _Router:
        aged = (min(OLD, self.seen[0] + 1), min(OLD, self.seen[1] + 1))
        return dataclasses.replace(self, seen=aged, since=min(OLD, self.since + 1)).see(listed)

    @property
    def recent(self) -> int:
        return sum(version for version in VERSIONS if self.seen[version - 1] <= SPAN)

    @property
    def is_complete(self) -> bool:
        return self.since == OLD

    @property
    def concluded(self) -> int:
        return self.recent if self.is_complete and self.recent in VERSIONS else 0


@dataclasses.dataclass(frozen=True)
class _World:
    listed: int = 1
    record: int = 0
    valid: int = 0
    stream: int = 0
    age: int = 0
    died: int = 0
    routers: tuple[_Router | None, ...] = (None, None)

    def state(self) -> State:
        """Return the state; routers are interchangeable."""
        packed = sorted(_pack(router) for router in self.routers)
        head = (self.listed, self.record, self.valid, self.stream, self.age, self.died)
        return (*head, *packed)

    @classmethod
    def of(cls, state: State) -> _World:
        listed, record, valid, stream, age, died, first, second = state
        routers = (_unpack(first), _unpack(second))
        return cls(listed, record, valid, stream, age, died, routers)

    def alive(self) -> list[tuple[int, _Router]]:
        return [(index, item) for index, item in enumerate(self.routers) if item is not None]

    def put(self, index: int, router: _Router | None) -> _World:
        routers = tuple(router if i == index else item for i, item in enumerate(self.routers))
        return dataclasses.replace(self, routers=routers)

    def map(self, change: Any) -> _World:
        routers = tuple(change(item) if item is not None else None for item in self.routers)
        return dataclasses.replace(self, routers=routers)


def _pack(router: _Router | None) -> int:
    if router is None:
        return 0
    first, second = router.seen
    return 1 + first + 3 * second + 9 * router.since + 27 * router.informed + 54 * router.began


def _unpack(packed: int) -> _Router | None:
    if packed == 0:
        return None
    rest = packed - 1
    return _Router((rest % 3, rest // 3 % 3), rest // 9 % 3, rest // 27 % 2, rest // 54)


def version_record_protocol(rules: VersionRecordRules) -> Protocol:
    """Return the protocol for minicheck."""

    def transitions(state: State) -> Steps:
        world = _World.of(state)
        steps = [
            *_environment_steps(rules, world),
            *_life_steps(rules, world),
            *_record_steps(rules, world),
        ]
        return [(label, after.state()) for label, after in steps]

    return Protocol(
        name="version record",
        candidate=False,
        fields=FIELDS,
        initial=_World().state(),
        transitions=transitions,
        invariants={"concludes_the_version_that_began_the_stream": _concludes_rightly},
    )


def _concludes_rightly(state: dict[str, int]) -> bool:
    return not state["died"] or all(
        concluded in (0, state["stream"]) for concluded in _conclusions(state)
    )


def _conclusions(state: dict[str, int]) -> list[int]:
    routers = (_unpack(state["first"]), _unpack(state["second"]))
    return [router.concluded for router in routers if router is not None]


def _is_written(world: _World, router: _Router) -> bool:
    return not world.valid or not router.recent & ~world.record


def _environment_steps(rules: VersionRecordRules, world: _World) -> list[tuple[str, _World]]:
    aged = dataclasses.replace(world, age=world.age + 1) if world.stream else world
    if aged.age > SPAN:
        aged = dataclasses.replace(aged, stream=0, age=0, died=0)
        aged = aged.map(lambda router: dataclasses.replace(router, began=0))
    steps = [("tick", aged.map(lambda router: router.tick(world.listed)))]
    for version in VERSIONS:
        listed = world.listed ^ version
        changed = dataclasses.replace(world, listed=listed)
        steps.append((f"list({listed})", changed.map(lambda router, seen=listed: router.see(seen))))
        if version & world.listed and not world.stream and world.alive():
            begun = dataclasses.replace(world, stream=version)
            running = begun.map(lambda router: dataclasses.replace(router, began=1))
            steps.append((f"begin({version})", running))
    restored = dataclasses.replace(world, valid=0)
    knows = world.valid

    def lose(router: _Router) -> _Router:
        informed = int(knows or router.informed or router.is_complete)
        return dataclasses.replace(router, since=0, informed=informed)

    is_written = all(_is_written(world, router) for _, router in world.alive())
    if is_written or not rules.writes_at_once:
        steps.append(("restore", restored.map(lose)))
    return steps


def _life_steps(rules: VersionRecordRules, world: _World) -> list[tuple[str, _World]]:
    steps = []
    for index, router in enumerate(world.routers):
        if router is None:
            steps.append((f"start({index})", world.put(index, _started(rules, world))))
            continue
        if not rules.writes_at_once or _is_written(world, router):
            after = world.put(index, None)
            if world.stream and router.began:
                died = world.died if after.alive() else ALL_DIED
                after = dataclasses.replace(after, died=max(SOME_DIED, died))
            steps.append((f"die({index})", after))
    return steps


def _started(rules: VersionRecordRules, world: _World) -> _Router:
    router = _Router((OLD, OLD), 0, 0).see(world.listed)
    if world.valid or not rules.distrusts_other_eras:
        record = world.record if rules.seeds_from_record else 0
        return dataclasses.replace(router.see(record), since=OLD)
    return router


def _record_steps(rules: VersionRecordRules, world: _World) -> list[tuple[str, _World]]:
    steps = []
    for index, router in world.alive():
        is_informed = router.is_complete or router.informed or not rules.creates_informed
        if not world.valid and is_informed:
            created = dataclasses.replace(world, record=router.recent, valid=1)
            steps.append((f"create({index})", _shown(rules, created, router.recent)))
        if not world.valid:
            continue
        missing = router.recent & ~world.record
        if missing:
            added = dataclasses.replace(world, record=world.record | missing)
            steps.append((f"add({index})", _shown(rules, added, missing)))
        kept = router.recent if rules.removes_late else world.listed
        removable = world.record & ~kept
        if removable and router.is_complete:
            removed = dataclasses.replace(world, record=world.record & ~removable)
            steps.append((f"remove({index})", removed))
    return steps


def _shown(rules: VersionRecordRules, world: _World, versions: int) -> _World:
    """Return the world after the routers have read of versions that are new in the record."""
    if not rules.reads_additions:
        return world
    return world.map(lambda router: router.see(versions))


WITNESSES = {
    "a_stream_goes_on_after_all_routers_died": lambda state: bool(
        state["died"] == ALL_DIED and state["stream"] in _conclusions(state)
    ),
}

MUTANTS = {
    "seeded_from_the_list_alone": VersionRecordRules(seeds_from_record=False),
    "record_of_an_earlier_era": VersionRecordRules(distrusts_other_eras=False),
    "created_without_knowledge": VersionRecordRules(creates_informed=False),
    "version_removed_at_once": VersionRecordRules(removes_late=False),
    "additions_not_read": VersionRecordRules(reads_additions=False),
    "version_not_written_in_time": VersionRecordRules(writes_at_once=False),
}

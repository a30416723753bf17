"""What the router needs of a model engine; each engine protocol is one adapter of this port."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

from winchfork.core.cache_index import CacheEvent
from winchfork.core.fleet import ReplicaIdentity, ReplicaLoad
from winchfork.core.prefix import BlockKey, CacheScope
from winchfork.errors import Failure


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """One attempt at a generation, with the fences it relies on.

    ``attempt_id`` is unique per attempt, so that a late answer of an earlier attempt cannot be
    taken for this one. ``emitted_text`` is what the caller has already received; the engine
    continues after it. ``resume_offset`` resumes the same attempt's stream at that token instead.
    ``import_from`` is the address of a replica from which the engine first copies the prompt's
    leading ``import_blocks``.
    """

    attempt_id: str
    prompt: str
    max_tokens: int
    priority: int
    scope: CacheScope
    expected: ReplicaIdentity
    timeout_s: float
    emitted_text: str = ""
    emitted_tokens: int = 0
    resume_offset: int | None = None
    import_from: str = ""
    import_blocks: int = 0


@dataclasses.dataclass(frozen=True)
class StreamStart:
    """The engine's first word: who it is and what it reused; the truth that corrects beliefs."""

    identity: ReplicaIdentity
    cached_tokens: int


@dataclasses.dataclass(frozen=True)
class StreamPiece:
    """One piece of text. ``offset`` is the index of its first token in the whole answer."""

    offset: int
    token_count: int
    text: str


class FinishReason(enum.Enum):
    """Why a complete stream ended."""

    STOP = "stop"
    LENGTH = "length"


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """A complete stream; its absence means that the stream broke."""

    finish_reason: FinishReason
    completion_tokens: int


@dataclasses.dataclass(frozen=True)
class StreamCallbacks:
    """Receivers of a stream's parts. A returned Failure aborts the stream with that failure."""

    on_start: Callable[[StreamStart], Failure | None]
    on_piece: Callable[[StreamPiece], Failure | None]
    should_stop: Callable[[], Failure | None]


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """A read of an engine's event stream with its identity and load."""

    identity: ReplicaIdentity
    load: ReplicaLoad
    next_sequence: int
    events: tuple[CacheEvent, ...]
    accepting: bool = True


@dataclasses.dataclass(frozen=True)
class CacheSnapshot:
    """Everything that an engine holds, as (key, parent key) pairs."""

    report: EngineReport
    blocks: tuple[tuple[BlockKey, BlockKey], ...]


class OrderKind(enum.Enum):
    """What an engine can be ordered to do."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


@dataclasses.dataclass(frozen=True)
class EngineOrder:
    """A fenced order: an engine refuses a fence lower than the highest it has seen."""

    kind: OrderKind
    fence: int
    version: int = 0
    role: str = ""


class EnginePort(Protocol):
    """A client of one engine protocol; ``address`` is the replica's base URL. Thread-safe."""

    def generate(
        self, address: str, dispatch: Dispatch, callbacks: StreamCallbacks
    ) -> StreamEnd | Failure:
        """Run one attempt to its end."""
        ...

    def cancel(self, address: str, attempt_id: str) -> Failure | None:
        """Stop an attempt that nobody waits for."""
        ...

    def report(self, address: str, after_sequence: int) -> EngineReport | Failure:
        """Read identity, load and the events after ``after_sequence``."""
        ...

    def snapshot(self, address: str) -> CacheSnapshot | Failure:
        """Read every cached block key, for a resync after a gap."""
        ...

    def order(self, address: str, order: EngineOrder) -> ReplicaIdentity | Failure:
        """Give a fenced order."""
        ...

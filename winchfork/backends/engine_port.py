"""The port to model engines; each engine protocol has one adapter."""

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
    """One attempt at a generation. Times in seconds.

    ``attempt_id`` is unique per attempt, so that a late answer to an earlier attempt is recognized.
    The engine refuses the attempt if its identity is not ``expected``. ``emitted_text`` is what the
    caller has already received; the engine continues after it. ``resume_offset`` instead resumes
    the same attempt's stream at that token. ``import_from`` is the address of a replica from which
    the engine first copies the prompt's leading ``import_blocks`` cache blocks.
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
    """First event of a stream: the engine's identity and how many prompt tokens were cached."""

    identity: ReplicaIdentity
    cached_tokens: int


@dataclasses.dataclass(frozen=True)
class StreamPiece:
    """One piece of text; ``offset`` is the index of its first token in the whole answer."""

    offset: int
    token_count: int
    text: str


class FinishReason(enum.Enum):
    """Why a complete stream ended."""

    STOP = "stop"
    LENGTH = "length"


@dataclasses.dataclass(frozen=True)
class StreamEnd:
    """End of a complete stream; a stream without it was truncated."""

    finish_reason: FinishReason
    completion_tokens: int


@dataclasses.dataclass(frozen=True)
class StreamCallbacks:
    """Callbacks for a stream's parts; a returned Failure aborts the stream with that failure."""

    on_start: Callable[[StreamStart], Failure | None]
    on_piece: Callable[[StreamPiece], Failure | None]
    should_stop: Callable[[], Failure | None]


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """An engine's identity, load and the cache events after the requested sequence number."""

    identity: ReplicaIdentity
    load: ReplicaLoad
    next_sequence: int
    events: tuple[CacheEvent, ...]
    accepting: bool = True


@dataclasses.dataclass(frozen=True)
class CacheSnapshot:
    """All cached blocks of an engine, as pairs of block key and parent key."""

    report: EngineReport
    blocks: tuple[tuple[BlockKey, BlockKey], ...]


class OrderKind(enum.Enum):
    """Kinds of orders to an engine."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    SET_ROLE = "set_role"


@dataclasses.dataclass(frozen=True)
class EngineOrder:
    """An order with a fencing token; an engine refuses one lower than the highest it has seen."""

    kind: OrderKind
    fence: int
    version: int = 0
    role: str = ""


class EnginePort(Protocol):
    """A client of one engine protocol; ``address`` is the replica's base URL. Thread-safe."""

    def generate(
        self, address: str, dispatch: Dispatch, callbacks: StreamCallbacks
    ) -> StreamEnd | Failure:
        """Run one attempt; block until its stream ends."""
        ...

    def cancel(self, address: str, attempt_id: str) -> Failure | None:
        """Cancel an attempt whose caller no longer waits."""
        ...

    def report(self, address: str, after_sequence: int) -> EngineReport | Failure:
        """Read identity, load and the events after ``after_sequence``."""
        ...

    def snapshot(self, address: str) -> CacheSnapshot | Failure:
        """Read all cached blocks, to resynchronize after a gap in the events."""
        ...

    def order(self, address: str, order: EngineOrder) -> ReplicaIdentity | Failure:
        """Send a fenced order; return the engine's identity afterwards."""
        ...

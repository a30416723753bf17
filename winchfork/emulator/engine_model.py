"""Model of an inference engine: continuous batching, chunked prefill, a prefix cache, priorities.

It does no I/O and reads no clock: ``plan_step`` returns the next batch and its duration, and
``finish_step`` applies it. The same model runs in real time behind HTTP and in virtual time in
experiments.
"""

from __future__ import annotations

import dataclasses
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from winchfork.constants import BLOCK_TOKENS
from winchfork.core.cache_index import CacheEvent, EventKind
from winchfork.core.fleet import ReplicaIdentity, ReplicaLoad, is_urgent
from winchfork.core.prefix import BlockKey

_MAX_EVENTS = 20_000


@dataclasses.dataclass(frozen=True)
class EngineSettings:
    """Speeds and sizes. Times in seconds, cache in blocks of ``BLOCK_TOKENS``."""

    prefill_tokens_per_s: float = 16_000.0
    step_base_s: float = 0.010
    step_per_sequence_s: float = 0.0002
    step_prefill_tokens: int = 512
    max_running: int = 48
    cache_blocks: int = 400
    import_tokens_per_s: float = 80_000.0
    import_setup_s: float = 0.02


@dataclasses.dataclass
class Sequence:
    """One generation in the engine; ``cached_blocks`` is -1 until it has started."""

    sequence_id: str
    block_keys: tuple[BlockKey, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int
    arrived_s: float
    generated: int = 0
    cached_blocks: int = -1
    prefilled_tokens: int = 0
    stored_blocks: int = 0
    preemptions: int = 0

    @property
    def prefill_left(self) -> int:
        """Prompt tokens still to prefill."""
        return self.prompt_tokens - self.prefilled_tokens

    @property
    def finished(self) -> bool:
        """Whether every output token has been generated."""
        return self.generated >= self.output_tokens


@dataclasses.dataclass(frozen=True)
class StepPlan:
    """One batch: its duration, prefill tokens by sequence, and decoding sequences.

    ``decode_tokens`` is the number of tokens that each decoding sequence generates.
    """

    duration_s: float
    prefill: tuple[tuple[Sequence, int], ...]
    decode: tuple[Sequence, ...]
    decode_tokens: int = 1


@dataclasses.dataclass(frozen=True)
class TokensOut:
    """Tokens that one step generated for a sequence."""

    sequence: Sequence
    first_offset: int
    count: int


class BlockCache:
    """Prefix blocks in least-recently-used order; pinned blocks are not evicted."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[BlockKey, int] = OrderedDict()
        self._parents: dict[BlockKey, BlockKey] = {}
        self._in_use = 0

    def __contains__(self, key: BlockKey) -> bool:
        return key in self._blocks

    def __len__(self) -> int:
        return len(self._blocks)

    def keys(self) -> Iterable[BlockKey]:
        """Return the cached keys, least recently used first."""
        return self._blocks.keys()

    def keys_with_parents(self) -> list[tuple[BlockKey, BlockKey]]:
        """Return (key, parent key) pairs, least recently used first."""
        return [(key, self._parents[key]) for key in self._blocks]

    @property
    def free_blocks(self) -> int:
        """Blocks that are empty or may be evicted."""
        return self._capacity - self._in_use

    def match(self, keys: tuple[BlockKey, ...]) -> int:
        """Return how many leading blocks are cached."""
        for depth, key in enumerate(keys):
            if key not in self._blocks:
                return depth
        return len(keys)

    def acquire(self, key: BlockKey) -> None:
        """Pin a cached block."""
        count = self._blocks[key]
        self._in_use += count == 0
        self._blocks[key] = count + 1
        self._blocks.move_to_end(key)

    def release(self, key: BlockKey) -> None:
        """Unpin a block; it stays cached until evicted."""
        count = self._blocks.get(key, 0)
        if count:
            self._blocks[key] = count - 1
            self._in_use -= count == 1

    def store(self, key: BlockKey, parent: BlockKey) -> list[BlockKey] | None:
        """Add a pinned block; return the evicted keys, or None if every block is pinned."""
        evicted: list[BlockKey] = []
        if len(self._blocks) >= self._capacity:
            victim = next((cached for cached, count in self._blocks.items() if count == 0), None)
            if victim is None:
                return None
            del self._blocks[victim]
            del self._parents[victim]
            evicted.append(victim)
        self._blocks[key] = 1
        self._parents[key] = parent
        self._in_use += 1
        return evicted


class EngineModel:
    """One engine replica. Not thread-safe.

    ``on_stored`` is called with the keys of blocks that were computed (not imported).
    """

    def __init__(
        self,
        settings: EngineSettings,
        identity: ReplicaIdentity,
        on_stored: Callable[[tuple[BlockKey, ...]], None] = lambda keys: None,
    ) -> None:
        self.settings = settings
        self._on_stored = on_stored
        self.identity = identity
        self.cache = BlockCache(settings.cache_blocks)
        self.waiting: list[Sequence] = []
        self.running: list[Sequence] = []
        self.computed_prefill_tokens = 0
        self.imported_blocks = 0
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_MAX_EVENTS)
        self._next_sequence = 1

    def submit(self, sequence: Sequence) -> None:
        """Queue a generation, ordered by priority, then arrival."""
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda item: (item.priority, item.arrived_s))

    def cancel(self, sequence_id: str) -> bool:
        """Drop a generation; return False if there is none with this id."""
        for queue in (self.waiting, self.running):
            for sequence in queue:
                if sequence.sequence_id == sequence_id:
                    queue.remove(sequence)
                    self._unpin(sequence)
                    return True
        return False

    def crash(self) -> None:
        """Restart with an empty cache under the next incarnation."""
        self.identity = ReplicaIdentity(
            self.identity.incarnation + 1, self.identity.weights_version
        )
        self.cache = BlockCache(self.settings.cache_blocks)
        self.waiting.clear()
        self.running.clear()
        self._events.clear()
        self._next_sequence = 1

    def import_blocks(self, keys: tuple[BlockKey, ...], now_s: float) -> int:
        """Store copied leading blocks of a chain, unpinned; return how many are cached now."""
        stored: list[BlockKey] = []
        evicted: list[BlockKey] = []
        matched = self.cache.match(keys)
        pinned = keys[:matched]
        for key in pinned:
            self.cache.acquire(key)
        for position in range(matched, len(keys)):
            if keys[position] in self.cache:
                self.cache.acquire(keys[position])
            else:
                victims = self.cache.store(keys[position], keys[position - 1] if position else 0)
                if victims is None:
                    break
                evicted += victims
                stored.append(keys[position])
            pinned = keys[: position + 1]
        for key in pinned:
            self.cache.release(key)
        if evicted:
            self._publish(EventKind.REMOVED, tuple(evicted), now_s)
        if stored:
            self._publish(
                EventKind.STORED, tuple(stored), now_s, keys[matched - 1] if matched else 0
            )
        self.imported_blocks += len(stored)
        return len(pinned)

    def load_weights(self, version: int, now_s: float) -> list[Sequence]:
        """Switch to other weights: drop the cache, and abort and return all generations."""
        aborted = [*self.waiting, *self.running]
        self.waiting.clear()
        self.running.clear()
        removed = tuple(self.cache.keys())
        self.cache = BlockCache(self.settings.cache_blocks)
        if removed:
            self._publish(EventKind.REMOVED, removed, now_s)
        self.identity = ReplicaIdentity(self.identity.incarnation, version)
        return aborted

    def load(self) -> ReplicaLoad:
        """Return the load as the engine reports it."""
        total = urgent = 0
        for sequence in self.waiting:
            cached = self.cache.match(sequence.block_keys) * BLOCK_TOKENS
            tokens = max(0, sequence.prompt_tokens - cached)
            total += tokens
            urgent += tokens if is_urgent(sequence.priority) else 0
        for sequence in self.running:
            total += sequence.prefill_left
            urgent += sequence.prefill_left if is_urgent(sequence.priority) else 0
        return ReplicaLoad(
            waiting_prefill_tokens=total,
            urgent_prefill_tokens=urgent,
            running_requests=len(self.running),
            waiting_requests=len(self.waiting),
            prefill_tokens_per_s=self.settings.prefill_tokens_per_s,
            free_cache_blocks=self.cache.free_blocks,
            import_tokens_per_s=self.settings.import_tokens_per_s,
        )

    @property
    def next_sequence(self) -> int:
        """The sequence number of the next cache event."""
        return self._next_sequence

    def events_after(self, sequence: int, published_before_s: float) -> tuple[CacheEvent, ...]:
        """Return events after ``sequence``, published by ``published_before_s``, oldest first."""
        found: list[CacheEvent] = []
        for at_s, event in reversed(self._events):
            if event.sequence <= sequence:
                break
            if at_s <= published_before_s:
                found.append(event)
        return tuple(reversed(found))

    def plan_step(self, now_s: float, max_decode_tokens: int = 1) -> StepPlan | None:
        """Compose the next batch; return None if no sequence is running.

        If nothing waits and nothing is to be prefilled, the batch may decode up to
        ``max_decode_tokens`` tokens per sequence.
        """
        self._schedule(now_s)
        if not self.running:
            return None
        budget = self.settings.step_prefill_tokens
        prefill: list[tuple[Sequence, int]] = []
        decode: list[Sequence] = []
        for sequence in self.running:
            if sequence.prefill_left <= 0:
                decode.append(sequence)
            elif budget > 0:
                tokens = min(budget, sequence.prefill_left)
                prefill.append((sequence, tokens))
                budget -= tokens
        decode_tokens = 1
        if not prefill and not self.waiting:
            remaining = min(sequence.output_tokens - sequence.generated for sequence in decode)
            decode_tokens = max(1, min(max_decode_tokens, remaining))
        step_s = self.settings.step_base_s + self.settings.step_per_sequence_s * len(decode)
        prefill_tokens = sum(tokens for _, tokens in prefill)
        duration_s = step_s * decode_tokens + prefill_tokens / self.settings.prefill_tokens_per_s
        return StepPlan(duration_s, tuple(prefill), tuple(decode), decode_tokens)

    def finish_step(self, plan: StepPlan, now_s: float) -> list[TokensOut]:
        """Apply a batch that has run; return the generated tokens."""
        alive = set(map(id, self.running))
        output: list[TokensOut] = []
        for sequence, tokens in plan.prefill:
            if id(sequence) not in alive:
                continue
            sequence.prefilled_tokens += tokens
            self.computed_prefill_tokens += tokens
            self._store_prefilled(sequence, now_s)
            if sequence.prefill_left <= 0:
                output.append(self._generate(sequence, 1))
        for sequence in plan.decode:
            if id(sequence) in alive:
                output.append(self._generate(sequence, plan.decode_tokens))
        for sequence in [item for item in self.running if item.finished]:
            self.running.remove(sequence)
            self._unpin(sequence)
        return output

    def _generate(self, sequence: Sequence, count: int) -> TokensOut:
        count = min(count, sequence.output_tokens - sequence.generated)
        offset = sequence.generated
        sequence.generated += count
        return TokensOut(sequence, offset, count)

    def _schedule(self, now_s: float) -> None:
        """Start waiting sequences, preempting less urgent ones if ``max_running`` are running."""
        while self.waiting:
            head = self.waiting[0]
            if len(self.running) >= self.settings.max_running and not self._preempt_for(head):
                return
            self.waiting.pop(0)
            self._start(head)

    def _preempt_for(self, urgent: Sequence) -> bool:
        victim = max(self.running, key=lambda item: (item.priority, item.arrived_s))
        if victim.priority <= urgent.priority:
            return False
        self.running.remove(victim)
        self._unpin(victim)
        victim.preemptions += 1
        self.submit(victim)
        return True

    def _start(self, sequence: Sequence) -> None:
        matched = self.cache.match(sequence.block_keys)
        for key in sequence.block_keys[:matched]:
            self.cache.acquire(key)
        sequence.cached_blocks = matched
        sequence.stored_blocks = matched
        # The last prompt token is always computed, since it yields the first output token.
        sequence.prefilled_tokens = min(matched * BLOCK_TOKENS, sequence.prompt_tokens - 1)
        self.running.append(sequence)
        self.running.sort(key=lambda item: (item.priority, item.arrived_s))

    def _store_prefilled(self, sequence: Sequence, now_s: float) -> None:
        done = min(sequence.prefilled_tokens // BLOCK_TOKENS, len(sequence.block_keys))
        keys = sequence.block_keys
        stored: list[BlockKey] = []
        evicted: list[BlockKey] = []
        first_stored = 0
        for position in range(sequence.stored_blocks, done):
            key = keys[position]
            if key in self.cache:
                self.cache.acquire(key)
            else:
                victims = self.cache.store(key, keys[position - 1] if position else 0)
                if victims is None:
                    break
                if not stored:
                    first_stored = position
                evicted += victims
                stored.append(key)
            sequence.stored_blocks += 1
        if evicted:
            self._publish(EventKind.REMOVED, tuple(evicted), now_s)
        if stored:
            parent = keys[first_stored - 1] if first_stored else 0
            self._on_stored(tuple(stored))
            self._publish(EventKind.STORED, tuple(stored), now_s, parent)

    def _unpin(self, sequence: Sequence) -> None:
        for key in sequence.block_keys[: sequence.stored_blocks]:
            self.cache.release(key)
        sequence.stored_blocks = 0

    def _publish(
        self, kind: EventKind, keys: tuple[BlockKey, ...], now_s: float, parent: BlockKey = 0
    ) -> None:
        self._events.append((now_s, CacheEvent(self._next_sequence, kind, keys, parent)))
        self._next_sequence += 1

"""An engine in virtual time: a simpy process that drives the engine model."""

from __future__ import annotations

import dataclasses
import enum
from collections.abc import Callable
from typing import Any

import simpy

from winchfork.constants import BLOCK_TOKENS
from winchfork.core.fleet import ReplicaIdentity
from winchfork.core.prefix import BlockKey
from winchfork.emulator.engine_model import EngineModel, EngineSettings, Sequence

#: Decode steps simulated as one event while nothing waits; a new arrival waits until it ends.
_DECODE_STRIDE = 3


class StreamSignal(enum.Enum):
    """Signals to the listener of a stream."""

    FIRST_TOKEN = "first_token"
    DONE = "done"
    BROKEN = "broken"
    REFUSED = "refused"


Listener = Callable[[StreamSignal, Sequence], None]


@dataclasses.dataclass
class _Running:
    sequence: Sequence
    listener: Listener
    from_offset: int


class SimEngine:
    """One replica in virtual time."""

    def __init__(
        self,
        env: Any,
        replica_id: str,
        zone: str,
        settings: EngineSettings,
        on_stored: Callable[[tuple[BlockKey, ...]], None],
    ) -> None:
        self.replica_id = replica_id
        self.zone = zone
        self.accepting = True
        self.model = EngineModel(settings, ReplicaIdentity(1, 1), on_stored)
        self._env = env
        self._streams: dict[str, _Running] = {}
        self._wake = env.event()
        self._reset_count = 0
        self._link_free_s = 0.0
        env.process(self._run())

    def submit(
        self,
        sequence: Sequence,
        expected: ReplicaIdentity,
        listener: Listener,
        source: SimEngine | None = None,
        import_blocks: int = 0,
    ) -> StreamSignal | None:
        """Start a generation; with a ``source``, first copy the leading ``import_blocks`` from it.

        Return REFUSED if the engine accepts no requests or its identity is not ``expected``.
        """
        if not self.accepting or expected != self.model.identity:
            return StreamSignal.REFUSED
        self._streams[sequence.sequence_id] = _Running(sequence, listener, sequence.generated)
        if source is None:
            self._enqueue(sequence)
        else:
            keys = sequence.block_keys[:import_blocks]
            self._env.process(self._import(sequence, keys, source))
        return None

    def _enqueue(self, sequence: Sequence) -> None:
        self.model.submit(sequence)
        if not self._wake.triggered:
            self._wake.succeed()

    def _import(self, sequence: Sequence, keys: tuple[BlockKey, ...], source: SimEngine) -> Any:
        """Copy blocks over a link that serves one copy at a time, then queue the generation."""
        available = source.model.cache.match(keys)
        missing = available - self.model.cache.match(keys)
        if missing > 0:
            settings = self.model.settings
            seconds = missing * BLOCK_TOKENS / settings.import_tokens_per_s
            seconds += settings.import_setup_s
            self._link_free_s = max(self._link_free_s, self._env.now) + seconds
            reset_count = self._reset_count
            yield self._env.timeout(self._link_free_s - self._env.now)
            if reset_count != self._reset_count:
                return
            self.model.import_blocks(keys[:available], self._env.now)
        if sequence.sequence_id in self._streams:
            self._enqueue(sequence)

    def cancel(self, sequence_id: str) -> None:
        """Drop a generation."""
        self.model.cancel(sequence_id)
        self._streams.pop(sequence_id, None)

    def crash(self) -> None:
        """Restart with an empty cache; every stream breaks."""
        self._reset_count += 1
        self.model.crash()
        self._break_all()

    def load_weights(self, version: int) -> None:
        """Switch weights; every stream breaks."""
        self._reset_count += 1
        self.model.load_weights(version, self._env.now)
        self._break_all()

    def _break_all(self) -> None:
        streams, self._streams = self._streams, {}
        for running in streams.values():
            running.listener(StreamSignal.BROKEN, running.sequence)

    def _run(self) -> Any:
        while True:
            plan = self.model.plan_step(self._env.now, _DECODE_STRIDE)
            if plan is None:
                self._wake = self._env.event()
                yield self._wake
                continue
            reset_count = self._reset_count
            yield self._env.timeout(plan.duration_s)
            if reset_count != self._reset_count:
                continue
            for output in self.model.finish_step(plan, self._env.now):
                running = self._streams.get(output.sequence.sequence_id)
                if running is None:
                    continue
                if output.first_offset == running.from_offset:
                    running.listener(StreamSignal.FIRST_TOKEN, output.sequence)
                if output.sequence.finished:
                    del self._streams[output.sequence.sequence_id]
                    running.listener(StreamSignal.DONE, output.sequence)


def make_environment() -> Any:
    """Return a new simpy environment."""
    return simpy.Environment()

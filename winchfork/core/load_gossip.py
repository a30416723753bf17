"""Gossip of replica loads as small packed entries on membership probes.

A daemon that reads a replica's load publishes it when its quantized level changes, and each daemon
forwards recent changes with the probes that it sends anyway. The cost per daemon is bounded by
``MAX_ENTRIES`` per message, and a change reaches a region of n daemons in about log2(n) periods.
"""

from __future__ import annotations

import dataclasses
import math
import struct

import xxhash

from winchfork.core.fleet import ReplicaLoad

#: Entries in one message.
MAX_ENTRIES = 40
#: Messages that each change is sent with.
SPREAD_ROUNDS = 8
#: Ratio of waiting work between two adjacent levels.
LEVEL_RATIO = 1.25
#: Waiting prefill tokens at level 1.
LEVEL_UNIT_TOKENS = 256
#: An unchanged level is published again after this long, in case a message was lost.
REFRESH_S = 5.0
_ENTRY = struct.Struct(">IIBBB")
MAX_RUNNING = 255
#: The level of a replica that does not accept work.
UNAVAILABLE_LEVEL = 255


@dataclasses.dataclass(frozen=True)
class LoadEntry:
    """One replica's quantized load. ``version`` is the publisher's clock in tenths of a second.

    ``running`` counts running and waiting requests, up to ``MAX_RUNNING``.
    """

    replica_hash: int
    version: int
    level: int
    urgent_level: int
    running: int

    @property
    def available(self) -> bool:
        """Whether the replica accepts work."""
        return self.level != UNAVAILABLE_LEVEL

    def update(self, known: ReplicaLoad) -> ReplicaLoad:
        """Return ``known`` with its queue and running counts replaced by those of the levels."""
        return dataclasses.replace(
            known,
            waiting_requests=0,
            waiting_prefill_tokens=tokens_of_level(self.level),
            urgent_prefill_tokens=tokens_of_level(self.urgent_level),
            running_requests=self.running,
        )


def hash_replica(replica_id: str) -> int:
    """Return the 32-bit hash that identifies a replica in packed entries."""
    return xxhash.xxh32_intdigest(replica_id.encode())


def level_of_tokens(tokens: int) -> int:
    """Quantize waiting tokens to a level below ``UNAVAILABLE_LEVEL``."""
    if tokens <= 0:
        return 0
    return min(
        UNAVAILABLE_LEVEL - 1,
        1 + int(math.log(1 + tokens / LEVEL_UNIT_TOKENS) / math.log(LEVEL_RATIO)),
    )


def tokens_of_level(level: int) -> int:
    """Return the midpoint of a level in waiting tokens."""
    if level == 0:
        return 0
    return int(LEVEL_UNIT_TOKENS * (LEVEL_RATIO ** (level - 0.5) - 1))


def quantize(replica_hash: int, load: ReplicaLoad | None, now_s: float) -> LoadEntry:
    """Return the entry of a load measured now; None is a replica that does not accept work."""
    version = int(now_s * 10) & 0xFFFFFFFF
    if load is None:
        return LoadEntry(replica_hash, version, UNAVAILABLE_LEVEL, UNAVAILABLE_LEVEL, 0)
    return LoadEntry(
        replica_hash,
        version,
        level_of_tokens(load.waiting_prefill_tokens),
        level_of_tokens(load.urgent_prefill_tokens),
        min(load.running_requests + load.waiting_requests, MAX_RUNNING),
    )


class LoadGossip:
    """The newest quantized load of each replica, and the changes that are still to be sent."""

    def __init__(self) -> None:
        self._entries: dict[int, LoadEntry] = {}
        self._remaining_sends: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def publish(self, replica_id: str, load: ReplicaLoad | None, now_s: float) -> LoadEntry | None:
        """Publish a load that this daemon read itself; None when it has not changed enough.

        ``load`` is None for a replica that does not accept work.
        """
        entry = quantize(hash_replica(replica_id), load, now_s)
        known = self._entries.get(entry.replica_hash)
        if known is not None:
            same = (known.level, known.urgent_level, known.running // 4) == (
                entry.level,
                entry.urgent_level,
                entry.running // 4,
            )
            if same and entry.version - known.version < REFRESH_S * 10:
                return None
        return entry if self._install(entry) else None

    def pack(self) -> bytes:
        """Return the entries for one message, those sent the fewest times first."""
        chosen = sorted(self._remaining_sends, key=lambda key: (-self._remaining_sends[key], key))
        parts: list[bytes] = []
        for replica_hash in chosen[:MAX_ENTRIES]:
            self._remaining_sends[replica_hash] -= 1
            if self._remaining_sends[replica_hash] <= 0:
                del self._remaining_sends[replica_hash]
            entry = self._entries[replica_hash]
            parts.append(
                _ENTRY.pack(
                    replica_hash, entry.version, entry.level, entry.urgent_level, entry.running
                )
            )
        return b"".join(parts)

    def unpack(self, packed: bytes) -> list[LoadEntry]:
        """Apply a message's entries and return those that were new."""
        updates: list[LoadEntry] = []
        usable = len(packed) - len(packed) % _ENTRY.size
        for fields in _ENTRY.iter_unpack(packed[:usable]):
            entry = LoadEntry(*fields)
            if self._install(entry):
                updates.append(entry)
        return updates

    def _install(self, entry: LoadEntry) -> bool:
        known = self._entries.get(entry.replica_hash)
        if known is not None and known.version >= entry.version:
            return False
        self._entries[entry.replica_hash] = entry
        self._remaining_sends[entry.replica_hash] = SPREAD_ROUNDS
        return True

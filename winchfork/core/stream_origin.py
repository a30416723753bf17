"""Which software began a stream, so that no other version of it continues the stream.

A stream is known by the caller and the request id of the attempt that brought its first event. What
is known of it is kept for a bounded time, and not at all once two attempts of one caller have begun
different streams under one id.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from winchfork.core.member import Member
from winchfork.core.rendezvous import member_hash, mixed_order

#: Long enough to be collision-resistant, so that no caller can forge the key of another's stream.
KEY_BYTES = 16
#: Begun streams that one daemon remembers at most; about 10 MB.
MAX_STREAMS = 32_768
#: Daemons that remember a stream beside the one that began it.
RECORD_COPIES = 3


class StreamOrigin(msgspec.Struct, frozen=True):
    """The service and the version of its software that began a stream."""

    service: str
    software: str


class _Entry(msgspec.Struct, frozen=True):
    """``origin`` is None if the id was used for several streams."""

    origin: StreamOrigin | None
    expires_at_s: float


def stream_key(caller: str, request_id: str) -> bytes:
    """Return the key of the stream that an attempt of ``caller`` began."""
    name = caller.encode()
    digest = hashlib.blake2b(len(name).to_bytes(4, "big") + name, digest_size=KEY_BYTES)
    digest.update(request_id.encode())
    return digest.digest()


class RecordPlacement:
    """Which daemons remember a stream, by rendezvous hashing of its key.

    Zones take turns, so that the loss of one does not take all records of a stream.
    """

    def __init__(self, members: Iterable[Member]) -> None:
        by_zone: dict[str, list[Member]] = {}
        for member in members:
            by_zone.setdefault(member.zone, []).append(member)
        self._zones = [
            (zone_members, [member_hash(member.member_id) for member in zone_members])
            for zone_members in by_zone.values()
        ]

    def owners(self, key: bytes, count: int) -> list[Member]:
        """Return at most ``count`` daemons, in order of preference."""
        number = int.from_bytes(key[:8], "big")
        ranked: list[tuple[int, float, str, Member]] = []
        for members, hashes in self._zones:
            orders = [mixed_order(number, hashed) for hashed in hashes]
            best = heapq.nsmallest(count, range(len(orders)), key=orders.__getitem__)
            for rank, index in enumerate(best):
                member = members[index]
                ranked.append((rank, orders[index], member.member_id, member))
        return [member for *_, member in heapq.nsmallest(count, ranked)]


class StreamOriginTable:
    """The origins of streams by key, until they expire. Times are monotonic seconds."""

    def __init__(self, max_streams: int = MAX_STREAMS) -> None:
        self._max_streams = max_streams
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def record(self, key: bytes, origin: StreamOrigin, expires_at_s: float) -> None:
        """Remember a stream; the oldest one is forgotten if there are too many."""
        known = self._entries.pop(key, None)
        if known is not None:
            expires_at_s = max(expires_at_s, known.expires_at_s)
        is_same = known is None or known.origin == origin
        self._entries[key] = _Entry(origin if is_same else None, expires_at_s)
        if len(self._entries) > self._max_streams:
            self._entries.popitem(last=False)

    def find(self, key: bytes, now_s: float) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is not known."""
        entry = self._entries.get(key)
        return entry.origin if entry is not None and now_s < entry.expires_at_s else None

    def remaining(self, now_s: float) -> list[tuple[bytes, StreamOrigin, float]]:
        """Return all known streams with the seconds until they expire."""
        return [
            (key, entry.origin, entry.expires_at_s - now_s)
            for key, entry in self._entries.items()
            if entry.origin is not None and now_s < entry.expires_at_s
        ]

    def remove_expired(self, now_s: float) -> None:
        """Forget streams that have expired."""
        for key in [key for key, item in self._entries.items() if now_s >= item.expires_at_s]:
            del self._entries[key]

"""Invalid entries of another writer among the replicas' entries in the store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from standins.store_server import StoreServer

MIN_ENTRY_DURATION_S, MAX_ENTRY_DURATION_S = 0.2, 3.0
_VALUES = (
    b"",
    b"\xff\xfe\x00",
    b"[]",
    b'{"Service": "models"}',
    b'{"Service": "models", "Address": "nowhere", "Zone": "patan", "Slots": 9, "State": "ready"}',
    b'{"Service": "models", "Address": "127.0.0.9:9", "Zone": "patan", "Slots": 9, "State": "on"}',
    b'{"Service": 7, "Address": "127.0.0.9:9", "Zone": "patan", "Slots": "9", "State": "ready"}',
)


class ForeignEntries:
    """Writes entries that belong to no replica."""

    def __init__(
        self, store: StoreServer, generator: random.Random, log_line: Callable[[str], None]
    ) -> None:
        self._store = store
        self._random = generator
        self._log_line = log_line
        self._written = 0

    async def foreign_entry(self) -> None:
        """Write one entry and remove it after a random time."""
        self._written += 1
        key = f"servers/i-foreign-{self._written}"
        self._store.put(key, self._random.choice(_VALUES))
        self._log_line(f"{key} is written by another writer")
        await asyncio.sleep(self._random.uniform(MIN_ENTRY_DURATION_S, MAX_ENTRY_DURATION_S))
        self._store.remove(key)

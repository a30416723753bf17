"""The entry of a replica that has ended: it lapses later than the replica, and may come back."""

from __future__ import annotations

import dataclasses

from standins.store_server import StoreServer


@dataclasses.dataclass(frozen=True)
class StaleEntry:
    """What a replica had written before it ended."""

    store: StoreServer
    key: str
    value: bytes

    def lapse(self) -> None:
        """Remove it, as after heartbeats that did not come."""
        self.store.remove(self.key)

    def write_late(self) -> None:
        """Write it once more: a heartbeat that was on its way when the replica ended."""
        self.store.put(self.key, self.value)

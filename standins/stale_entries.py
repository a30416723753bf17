"""The entry of a replica that has ended: it lapses later than the replica, and may come back.

Where the replica has returned under its id, the entry is the living one's: that writes it again
with each heartbeat, so what was written late does not last.
"""

from __future__ import annotations

import dataclasses

from standins.store_server import StoreServer


@dataclasses.dataclass
class StaleEntry:
    """What a replica had written before it ended."""

    store: StoreServer
    key: str
    value: bytes
    #: What the living replica had written where a late entry took its place.
    _replaced_value: bytes | None = None

    def lapse(self) -> None:
        """Remove it, as after heartbeats that did not come; a living replica's entry stays."""
        if self._replaced_value is not None:
            self.store.put(self.key, self._replaced_value)
            self._replaced_value = None
        elif self._current() == self.value:
            self.store.remove(self.key)

    def write_late(self) -> None:
        """Write it once more: a heartbeat that was on its way when the replica ended."""
        current = self._current()
        if current is not None and current != self.value:
            self._replaced_value = current
        self.store.put(self.key, self.value)

    def _current(self) -> bytes | None:
        held = self.store.get_text(self.key)
        return held.encode() if held is not None else None

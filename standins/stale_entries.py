"""The store entry of a crashed replica, which outlives the replica and may be written late.

If the replica has restarted under the same id, its heartbeats rewrite the entry, so that a late
write is only temporary.
"""

from __future__ import annotations

import dataclasses

from standins.store_server import StoreServer


@dataclasses.dataclass
class StaleEntry:
    """The value that a replica had in the store when it crashed."""

    store: StoreServer
    key: str
    value: bytes
    #: The running replica's value that a late write replaced.
    _replaced_value: bytes | None = None

    def lapse(self) -> None:
        """Expire the entry, or restore the running replica's value that a late write replaced."""
        if self._replaced_value is not None:
            self.store.put(self.key, self._replaced_value)
            self._replaced_value = None
        elif self._current() == self.value:
            self.store.remove(self.key)

    def write_late(self) -> None:
        """Write the old value again, as a heartbeat that was delayed in flight."""
        current = self._current()
        if current is not None and current != self.value:
            self._replaced_value = current
        self.store.put(self.key, self.value)

    def _current(self) -> bytes | None:
        text = self.store.get_text(self.key)
        return text.encode() if text is not None else None

"""An in-memory key-value store for tests, with leases, history and injectable faults."""

from __future__ import annotations

import asyncio
import copy
from collections.abc import Sequence
from typing import Any

from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.stores.async_key_value import (
    ExpectedRevision,
    PutItem,
    StoreItem,
    StoreLease,
    StoreSnapshot,
    WatchBatch,
)


class MemoryStore:
    """A linearizable store.

    ``down`` makes every call fail. The next ``write_answers_to_lose`` writes take effect, but their
    answers are lost.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.era = 0
        self.leases_granted = 0
        self.items: dict[str, StoreItem] = {}
        self.history: list[StoreItem] = []
        self.first_retained = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.lease_of: dict[str, int] = {}
        self.down = False
        self.write_answers_to_lose = 0
        #: Delay between the effect of a write and its answer.
        self.write_answer_delay_s = 0.0
        self.calls: list[str] = []
        self._changed = asyncio.Event()

    @property
    def at(self) -> StorePosition:
        return StorePosition(self.era, self.revision)

    # Operators' writes and faults

    def put(self, key: str, value: bytes, lease_id: int = 0) -> int:
        self.revision += 1
        self._record(StoreItem(key, value, self.revision))
        self.lease_of[key] = lease_id
        return self.revision

    def remove(self, key: str) -> None:
        self.revision += 1
        self.lease_of.pop(key, None)
        self._record(StoreItem(key, None, self.revision))

    def compact_history(self) -> None:
        self.first_retained = self.revision
        self.history.clear()
        self._wake()

    def cut_watches(self) -> None:
        self._wake()

    def backup(self) -> dict[str, Any]:
        """Return a copy of the store's state."""
        now_s = asyncio.get_running_loop().time()
        return {
            "revision": self.revision,
            "items": dict(self.items),
            "history": list(self.history),
            "leases": {key: (end_s - now_s, ttl_s) for key, (end_s, ttl_s) in self.leases.items()},
            "lease_of": dict(self.lease_of),
            "leases_granted": self.leases_granted,
        }

    def restore(self, state: dict[str, Any]) -> None:
        """Restore a backup in a new era: later revisions and lease ids are assigned again."""
        now_s = asyncio.get_running_loop().time()
        restored = copy.deepcopy(state)
        leases = restored.pop("leases")
        self.leases = {key: (now_s + left_s, ttl_s) for key, (left_s, ttl_s) in leases.items()}
        vars(self).update(restored)
        self.era += 1
        self._wake()

    def _record(self, item: StoreItem) -> None:
        if item.value is None:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        self.history.append(item)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def expire_leases(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for lease_id, (until_s, _) in list(self.leases.items()):
            if now_s >= until_s:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: int) -> None:
        self.leases.pop(lease_id, None)
        for key, owner in list(self.lease_of.items()):
            if owner == lease_id:
                self.remove(key)

    # AsyncKeyValueStore

    async def list(self, prefix: str) -> StoreSnapshot | Failure:
        failure = await self._arrive("list")
        if failure:
            return failure
        found = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
        return StoreSnapshot(tuple(found), self.at)

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> WatchBatch | Failure:
        failure = await self._arrive("watch")
        if failure:
            return failure
        until_s = asyncio.get_running_loop().time() + wait_s
        while True:
            self.expire_leases()
            if not self.first_retained <= after_revision <= self.revision:
                return FailureKind.HISTORY_LOST.because("revision is compacted or not in this era")
            found = [item for item in self.history if item.revision > after_revision]
            found = [item for item in found if item.key.startswith(prefix)]
            left_s = until_s - asyncio.get_running_loop().time()
            if found or left_s < 1e-6:
                return WatchBatch(tuple(found), self.at)
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.05))
            except TimeoutError:
                continue

    async def transact(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[PutItem]
    ) -> StorePosition | Failure:
        failure = await self._arrive("transact")
        if failure:
            return failure
        for condition in expected:
            current = self.items.get(condition.key)
            if (current.revision if current else 0) != condition.revision:
                return FailureKind.REVISION_CONFLICT.because("changed", ran=RunState.NOT_RUN)
        for put in puts:
            if put.lease_id and put.lease_id not in self.leases:
                return FailureKind.NOT_FOUND.because("no such lease")
            self.put(put.key, put.value, put.lease_id)
        at = self.at
        if self.write_answer_delay_s:
            await asyncio.sleep(self.write_answer_delay_s)
        return self._answer(at)

    async def grant_lease(self, ttl_s: float) -> StoreLease | Failure:
        failure = await self._arrive("grant_lease")
        if failure:
            return failure
        self.leases_granted += 1
        lease_id = 1000 + self.leases_granted
        self.leases[lease_id] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return StoreLease(self.era, lease_id)

    async def renew_lease(self, lease: StoreLease) -> bool | Failure:
        failure = await self._arrive("renew_lease")
        if failure:
            return failure
        lease_id = lease.lease_id
        if lease_id not in self.leases:
            return False
        ttl_s = self.leases[lease_id][1]
        self.leases[lease_id] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return lease.era == self.era

    async def end_lease(self, lease: StoreLease) -> Failure | None:
        failure = await self._arrive("end_lease")
        if failure:
            return failure
        self._end_lease(lease.lease_id)
        return None

    async def _arrive(self, call: str) -> Failure | None:
        self.calls.append(call)
        await asyncio.sleep(0.004)
        self.expire_leases()
        if self.down:
            return FailureKind.STORE_UNAVAILABLE.because("down")
        return None

    def _answer(self, at: StorePosition) -> StorePosition | Failure:
        if self.write_answers_to_lose > 0:
            self.write_answers_to_lose -= 1
            return FailureKind.STORE_UNAVAILABLE.because("the answer was lost")
        return at

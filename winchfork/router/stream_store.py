"""Reads the store for requests whose stream has no record at this daemon and its peers.

What a daemon's list of replicas says is true as of its last proof, and a stream may have begun at a
replica that was listed since. So a conclusion from the list needs a read that begins after the
request has arrived, and a list that contains all that the store held then.
"""

from __future__ import annotations

import asyncio

from winchfork.core.store_position import StorePosition
from winchfork.errors import Failure, FailureKind
from winchfork.router.state import RouterState
from winchfork.router.stream_origin_exchange import VIEW_SETTLED_S
from winchfork.stores.async_key_value import AsyncKeyValueStore

#: Prefix of the keys that are read. Any prefix serves to learn the store's position.
STREAMS_PREFIX = "winchfork/streams/"
#: Seconds for a read, and for this daemon's list to contain what the store held then.
READ_TIMEOUT_S = 0.5
CATCH_UP_TIMEOUT_S = 0.6
_CATCH_UP_TICK_S = 0.01
#: Limit on the reads of all daemons together, a part of what the store takes.
MAX_FLEET_READS_PER_S = 500.0
#: Seconds between two reads until the members of the fleet are known.
STARTING_INTERVAL_S = 0.25


class StreamStore:
    """Shares each read of the store among the requests that wait for it. Not thread-safe."""

    def __init__(self, state: RouterState, store: AsyncKeyValueStore) -> None:
        self._state = state
        self._store = store
        self._reading = asyncio.Lock()
        self._pending: asyncio.Task[Failure | None] | None = None
        self._last_read_s = state.clock() - 1.0

    async def confirm_list(self) -> Failure | None:
        """Wait until the list of replicas contains all that the store holds at or after this call.

        Returns why this is not known; the list may be old then.
        """
        if self._pending is None:
            self._pending = asyncio.get_running_loop().create_task(self._read_in_turn())
        return await asyncio.shield(self._pending)

    async def _read_in_turn(self) -> Failure | None:
        async with self._reading:
            pause_s = self._last_read_s + self._interval_s() - self._state.clock()
            await asyncio.sleep(max(0.0, pause_s))
            # Requests that arrive from here on need a read that has not begun.
            self._pending = None
            self._last_read_s = self._state.clock()
            position = await self._read()
        if isinstance(position, Failure):
            return position
        return await self._catch_up(position)

    def _interval_s(self) -> float:
        """Return the seconds between two reads."""
        uptime_s = self._state.clock() - self._state.started_at_s
        starting_s = STARTING_INTERVAL_S if uptime_s < VIEW_SETTLED_S else 0.0
        return max(starting_s, self._state.daemon_count / MAX_FLEET_READS_PER_S)

    async def _read(self) -> StorePosition | Failure:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                snapshot = await self._store.list(STREAMS_PREFIX)
        except TimeoutError:
            return FailureKind.STORE_UNAVAILABLE.because(f"no answer in {READ_TIMEOUT_S} s")
        if isinstance(snapshot, Failure):
            return snapshot
        if snapshot.position.era < self._state.eras.newest:
            return FailureKind.HISTORY_LOST.because(
                "the answer is from an earlier era of the store"
            )
        return snapshot.position

    async def _catch_up(self, position: StorePosition) -> Failure | None:
        until_s = self._state.clock() + CATCH_UP_TIMEOUT_S
        while self._state.store_position < position:
            if self._state.clock() >= until_s:
                return FailureKind.STORE_UNAVAILABLE.because(
                    f"the list of replicas is behind revision {position.revision}"
                )
            await asyncio.sleep(_CATCH_UP_TICK_S)
        return None

"""The platform's store, in memory: items with revisions, leases, history, watches and eras."""

from __future__ import annotations

import asyncio
import base64
import dataclasses
import itertools
import json
from typing import Any

from standins.http_server import HttpServer, Request, write_answer

#: Interval at which a watch checks for changes.
_POLL_INTERVAL_S = 0.01
_PAGE_BYTES = 1024 * 1024
_PAGE_ITEMS = 500
#: Time after which a restored entry lapses unless it is written again.
RESTORED_ENTRY_LAPSE_S = 3.6
#: Prefixes of the operators' and replicas' items, which they write again after a restore.
_REWRITTEN_PREFIXES = ("op/", "servers/")


@dataclasses.dataclass(frozen=True)
class StoreBackup:
    """A backup of the store; ``leases`` maps ids to the remaining and the full TTL in seconds."""

    items: dict[str, dict[str, Any]]
    history: list[dict[str, Any]]
    revision: int
    leases: dict[int, tuple[float, float]]
    last_lease: int


class StoreServer:
    """A linearizable store over HTTP.

    While ``down`` is set, it refuses every call with 503, as the platform does when it is busy.
    ``era`` is sent in every answer and rises with each restore from a backup; 0: it is not sent.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.down = False
        self.era = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        #: Not reused until a restore: the holder of an expired lease must not renew another's.
        self._last_lease = 77_000
        self._http = HttpServer(self._handle)

    @property
    def address(self) -> str:
        """The address on which the store listens, as host:port."""
        return self._http.address

    async def start(self) -> None:
        """Start to listen."""
        await self._http.start()

    async def stop(self) -> None:
        """Stop listening and abort every connection."""
        await self._http.stop()

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Write a value, as JSON unless it is bytes; return the new revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        item = {
            "PrivateKey": key,
            "Value": base64.b64encode(data).decode(),
            "Revision": self.revision,
            "made": self._items.get(key, {}).get("made", self.revision),
            "lease": lease,
        }
        self._items[key] = item
        self._history.append(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item if it exists."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            tombstone = {"PrivateKey": key, "Revision": self.revision, "gone": True}
            self._history.append(tombstone)

    def get_text(self, key: str) -> str | None:
        """Return an item's value as text, or None."""
        item = self._items.get(key)
        return base64.b64decode(item["Value"]).decode() if item else None

    def back_up(self) -> StoreBackup:
        """Return a backup of the current state."""
        now_s = asyncio.get_running_loop().time()
        leases = {
            lease: (until_s - now_s, ttl_s) for lease, (until_s, ttl_s) in self._leases.items()
        }
        return StoreBackup(
            dict(self._items), list(self._history), self.revision, leases, self._last_lease
        )

    def restore(self, copy: StoreBackup) -> None:
        """Restore a backup in a new era.

        Operators and replicas write their current items again; those that only the backup has lapse
        after ``RESTORED_ENTRY_LAPSE_S``.
        """
        now_s = asyncio.get_running_loop().time()
        lost = self._items
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self.revision = copy.revision
        self._leases = {
            lease: (now_s + left_s, ttl_s) for lease, (left_s, ttl_s) in copy.leases.items()
        }
        self._last_lease = copy.last_lease
        if self.era:
            self.era += 1
        self._rewrite_lost_entries(lost)

    def _rewrite_lost_entries(self, lost: dict[str, dict[str, Any]]) -> None:
        for key, before in sorted(lost.items()):
            now = self._items.get(key)
            if key.startswith(_REWRITTEN_PREFIXES) and (
                now is None or now["Value"] != before["Value"]
            ):
                self.put(key, base64.b64decode(before["Value"]))
        loop = asyncio.get_running_loop()
        for key in self._items.keys() - lost.keys():
            if key.startswith(_REWRITTEN_PREFIXES):
                loop.call_later(
                    RESTORED_ENTRY_LAPSE_S, self._lapse, key, self._items[key]["Revision"], self.era
                )

    def _lapse(self, key: str, revision: int, era: int) -> None:
        """Remove a restored entry that has not been written since."""
        item = self._items.get(key)
        if item is not None and item["Revision"] == revision and self.era == era:
            self.remove(key)

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        self._expire()
        if self.down:
            write_answer(writer, 503, headers=self._era_header())
            return True
        status, answer = await self._answer(request)
        headers = {"Content-Type": "application/json"} | self._era_header()
        write_answer(writer, status, json.dumps(answer).encode(), headers)
        return True

    def _era_header(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)} if self.era else {}

    async def _answer(self, request: Request) -> tuple[int, dict[str, Any]]:
        call, _, argument = request.path[1:].partition("/")
        if call == "kv-range":
            return 200, self._range(request.query)
        if call == "kv-watch":
            return await self._watch(request.query)
        if call == "kv-txn":
            return self._transact(json.loads(request.body))
        if call == "kv-lease":
            return 200, self._grant(json.loads(request.body))
        if call == "kv-keep":
            return self._renew(int(argument))
        if call == "kv-lease-end":
            self._end(int(argument))
            return 200, {}
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("PathPrefix", ""), query.get("after", "")
        found = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        sizes = itertools.accumulate(len(item["Value"]) for item in found[:_PAGE_ITEMS])
        page = [item for item, size in zip(found, sizes, strict=False) if size <= _PAGE_BYTES]
        page = page or found[:1]
        return {"items": page, "more": len(page) < len(found), "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query.get("WaitMs", "0")) / 1000.0
        prefix, after = query.get("PathPrefix", ""), int(query.get("after", "0"))
        while True:
            self._expire()
            if after > self.revision:
                return 410, {}
            events = [
                item
                for item in self._history
                if item["Revision"] > after and item["PrivateKey"].startswith(prefix)
            ]
            if events or loop.time() >= until_s:
                return 200, {"Events": events, "at": self.revision}
            await asyncio.sleep(_POLL_INTERVAL_S)

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for condition in body.get("Expected", ()):
            current = self._items.get(condition["PrivateKey"])
            if (current["Revision"] if current else 0) != condition["Revision"]:
                return 412, {"items": [current] if current else []}
        for put in body.get("put", ()):
            lease = put.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
            self.put(put["PrivateKey"], base64.b64decode(put["Value"]), lease)
        for key in body.get("Remove", ()):
            self.remove(key)
        return 200, {"Revision": self.revision}

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        self._last_lease += 1
        lease = self._last_lease
        ttl_s = body["ttl_ms"] / 1000.0
        self._leases[lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return {"lease": lease, "ttl_ms": body["ttl_ms"]}

    def _renew(self, lease: int) -> tuple[int, dict[str, Any]]:
        if lease not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (asyncio.get_running_loop().time() + ttl_s, ttl_s)
        return 200, {"ttl_ms": ttl_s * 1000.0}

    def _expire(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for lease, (until_s, _) in list(self._leases.items()):
            if now_s >= until_s:
                self._end(lease)

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                self.remove(key)

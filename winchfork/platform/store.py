"""The platform's store calls behind the router's key-value port."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from winchfork.errors import Failure, FailureKind, RunState
from winchfork.platform.store_headers import read_store_answer
from winchfork.router.http_call import CallReply, HttpCaller
from winchfork.stores.async_key_value import (
    ExpectedRevision,
    OnStoreAnswer,
    PutItem,
    StoreItem,
    StoreSnapshot,
    WatchBatch,
    ignore_answer,
)

_Shape = TypeVar("_Shape")

#: Time limit of a call, and what a watch may take beyond its wait.
CALL_TIMEOUT_S = 1.2
WATCH_SLACK_S = 0.9
_MOST_PAGES = 200


class _Item(msgspec.Struct):
    key: str = msgspec.field(name="PrivateKey")
    revision: int = msgspec.field(name="Revision")
    value: str | None = msgspec.field(name="Value", default=None)
    gone: bool = False


class _Page(msgspec.Struct):
    items: list[_Item]
    at: int
    more: bool = False


class _Events(msgspec.Struct):
    at: int
    events: list[_Item] = msgspec.field(name="Events", default_factory=list)


class _Revision(msgspec.Struct):
    revision: int = msgspec.field(name="Revision")


class _Lease(msgspec.Struct):
    lease: int
    ttl_ms: float = 0.0


class PlatformStore:
    """Implements :class:`winchfork.stores.async_key_value.AsyncKeyValueStore`."""

    def __init__(
        self, caller: HttpCaller, address: str, on_answer: OnStoreAnswer = ignore_answer
    ) -> None:
        self._caller = caller
        self._address = address
        self._on_answer = on_answer

    async def list(self, prefix: str) -> StoreSnapshot | Failure:
        """Read every entry under a prefix, page by page."""
        items: list[StoreItem] = []
        first_at = -1
        after = ""
        for _ in range(_MOST_PAGES):
            query = {"PathPrefix": prefix} | ({"after": after} if after else {})
            page = await self._read(f"/kv-range?{urlencode(query)}", _Page, CALL_TIMEOUT_S)
            if isinstance(page, Failure):
                return page
            first_at = page.at if first_at < 0 else first_at
            items += [_item(entry) for entry in page.items]
            if not page.more or not page.items:
                return StoreSnapshot(tuple(items), first_at)
            after = page.items[-1].key
        return FailureKind.STORE_UNAVAILABLE.because("the list does not end")

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> WatchBatch | Failure:
        """Wait for changes."""
        query = urlencode(
            {"PathPrefix": prefix, "after": after_revision, "WaitMs": int(wait_s * 1000)}
        )
        batch = await self._read(f"/kv-watch?{query}", _Events, wait_s + WATCH_SLACK_S)
        if isinstance(batch, Failure):
            return batch
        return WatchBatch(tuple(_item(entry) for entry in batch.events), batch.at)

    async def transact(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[PutItem]
    ) -> int | Failure:
        """Write all or nothing."""
        body = {
            "Expected": [{"PrivateKey": item.key, "Revision": item.revision} for item in expected],
            "put": [
                {
                    "PrivateKey": item.key,
                    "Value": base64.b64encode(item.value).decode(),
                    "lease": item.lease_id,
                }
                for item in puts
            ],
            "Remove": [],
        }
        reply = await self._write("/kv-txn", body)
        if isinstance(reply, Failure):
            return reply
        decoded = _decode(reply.body, _Revision)
        return decoded if isinstance(decoded, Failure) else decoded.revision

    async def grant_lease(self, ttl_s: float) -> int | Failure:
        """Open a lease."""
        reply = await self._write("/kv-lease", {"ttl_ms": int(ttl_s * 1000)})
        if isinstance(reply, Failure):
            return reply
        decoded = _decode(reply.body, _Lease)
        return decoded if isinstance(decoded, Failure) else decoded.lease

    async def renew_lease(self, lease_id: int) -> bool | Failure:
        """Renew a lease; False when it is over."""
        reply = await self._write(f"/kv-keep/{lease_id}", None)
        if isinstance(reply, Failure):
            return False if reply.kind is FailureKind.NOT_FOUND else reply
        return True

    async def end_lease(self, lease_id: int) -> Failure | None:
        """End a lease."""
        reply = await self._call(b"DELETE", f"/kv-lease-end/{lease_id}", None, CALL_TIMEOUT_S)
        return reply if isinstance(reply, Failure) else None

    async def _read(self, target: str, shape: type[_Shape], timeout_s: float) -> _Shape | Failure:
        reply = await self._call(b"GET", target, None, timeout_s)
        return reply if isinstance(reply, Failure) else _decode(reply.body, shape)

    async def _write(self, target: str, body: object) -> CallReply | Failure:
        encoded = msgspec.json.encode(body) if body is not None else b""
        return await self._call(b"POST", target, encoded, CALL_TIMEOUT_S)

    async def _call(
        self, method: bytes, target: str, body: bytes | None, timeout_s: float
    ) -> CallReply | Failure:
        label = target[1:].partition("?")[0].partition("/")[0]
        reply = await self._caller.call(
            self._address,
            method,
            target.encode(),
            body,
            timeout_s,
            label=label,
            on_head=lambda head: self._on_answer(read_store_answer(head)),
        )
        if isinstance(reply, Failure):
            return FailureKind.STORE_UNAVAILABLE.because(reply.reason, ran=reply.ran)
        return reply if reply.status == 200 else _refused(reply)


def _refused(reply: CallReply) -> Failure:
    if reply.status == 410:
        return FailureKind.HISTORY_LOST.because("the store has forgotten this history")
    if reply.status == 404:
        return FailureKind.NOT_FOUND.because("no such entry or lease")
    if reply.status == 412:
        return FailureKind.REVISION_CONFLICT.because("the entry has changed", ran=RunState.NOT_RUN)
    if reply.status in (429, 503):
        return FailureKind.STORE_RATE_LIMITED.because(
            f"the store answered {reply.status}", ran=RunState.NOT_RUN
        )
    return FailureKind.STORE_UNAVAILABLE.because(f"the store answered {reply.status}")


def _decode(body: bytes, shape: type[_Shape]) -> _Shape | Failure:
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.DecodeError as error:
        return FailureKind.STORE_UNAVAILABLE.because(f"unreadable answer: {error}")


def _item(entry: _Item) -> StoreItem:
    value = None if entry.gone or entry.value is None else _bytes_of(entry.value)
    return StoreItem(entry.key, value, entry.revision)


def _bytes_of(text: str) -> bytes:
    """Return an entry's bytes; what is no base64 is nobody's document, and not the call's end."""
    try:
        return base64.b64decode(text)
    except ValueError:
        return b""

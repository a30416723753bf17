"""Adapter of the router's key-value port for the platform's store, over HTTP."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import Generic, TypeVar
from urllib.parse import urlencode

import msgspec

from winchfork.core.store_position import StorePosition
from winchfork.decoding import Count, decode_json
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.logs import log_event
from winchfork.platform.store_headers import read_store_answer
from winchfork.router.http_types import AnswerHead
from winchfork.router.pooled_http_client import CallReply, PooledHttpClient
from winchfork.stores.async_key_value import (
    ExpectedRevision,
    OnStoreAnswer,
    PutItem,
    StoreItem,
    StoreLease,
    StoreSnapshot,
    WatchBatch,
    ignore_answer,
)

_Shape = TypeVar("_Shape")

CALL_TIMEOUT_S = 1.2
#: Time that a watch may take beyond its own wait.
WATCH_SLACK_S = 0.9
_MAX_PAGES = 200
#: Limit on one answer of the store; a page has about 1 MB, and a watch has no bound of its own.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class _Item(msgspec.Struct):
    key: str = msgspec.field(name="PrivateKey")
    revision: Count = msgspec.field(name="Revision")
    value: str | None = msgspec.field(name="Value", default=None)
    gone: bool = False


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    at: int
    more: bool = False


class _Events(msgspec.Struct):
    at: int
    events: list[msgspec.Raw] = msgspec.field(name="Events", default_factory=list)


class _Revision(msgspec.Struct):
    revision: int = msgspec.field(name="Revision")


class _Lease(msgspec.Struct):
    lease: int
    ttl_ms: float = 0.0


class _AnswerWithEra(msgspec.Struct, Generic[_Shape]):
    """The body of a successful answer and the store's era from its headers."""

    body: _Shape
    era: int


class PlatformStore:
    """Implements :class:`winchfork.stores.async_key_value.AsyncKeyValueStore`."""

    def __init__(
        self, client: PooledHttpClient, address: str, on_answer: OnStoreAnswer = ignore_answer
    ) -> None:
        self._client = client
        self._address = address
        self._on_answer = on_answer

    async def list(self, prefix: str) -> StoreSnapshot | Failure:
        """Read every entry under a prefix, page by page; fails if the era changes in between."""
        items: list[StoreItem] = []
        position: StorePosition | None = None
        after = ""
        for _ in range(_MAX_PAGES):
            query = {"PathPrefix": prefix} | ({"after": after} if after else {})
            answer = await self._read(f"/kv-range?{urlencode(query)}", _Page, CALL_TIMEOUT_S)
            if isinstance(answer, Failure):
                return answer
            page = answer.body
            position = position or StorePosition(answer.era, page.at)
            if answer.era != position.era:
                return FailureKind.HISTORY_LOST.because(
                    "the store's era changed between two pages of a list"
                )
            found = _items(page.items)
            items += found
            if not page.more or not page.items:
                return StoreSnapshot(tuple(items), position)
            if not found:
                return FailureKind.STORE_UNAVAILABLE.because("a page has no item that can be read")
            after = found[-1].key
        return FailureKind.STORE_UNAVAILABLE.because("the list exceeds the maximum number of pages")

    async def watch(self, prefix: str, after_revision: int, wait_s: float) -> WatchBatch | Failure:
        """Wait up to ``wait_s`` for changes after a revision.

        Changes that exceed the limit on an answer are read as a list, whose pages are small.
        """
        query = urlencode(
            {"PathPrefix": prefix, "after": after_revision, "WaitMs": int(wait_s * 1000)}
        )
        answer = await self._read(f"/kv-watch?{query}", _Events, wait_s + WATCH_SLACK_S)
        if isinstance(answer, Failure):
            too_large = answer.kind is FailureKind.ANSWER_TOO_LARGE
            return FailureKind.HISTORY_LOST.because(answer.reason) if too_large else answer
        batch = answer.body
        position = StorePosition(answer.era, batch.at)
        return WatchBatch(tuple(_items(batch.events)), position)

    async def transact(
        self, expected: Sequence[ExpectedRevision], puts: Sequence[PutItem]
    ) -> StorePosition | Failure:
        """Write all entries if every condition holds, otherwise none."""
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
        answer = await self._write("/kv-txn", body, _Revision)
        if isinstance(answer, Failure):
            return answer
        return StorePosition(answer.era, answer.body.revision)

    async def grant_lease(self, ttl_s: float) -> StoreLease | Failure:
        """Grant a lease."""
        answer = await self._write("/kv-lease", {"ttl_ms": int(ttl_s * 1000)}, _Lease)
        if isinstance(answer, Failure):
            return answer
        return StoreLease(answer.era, answer.body.lease)

    async def renew_lease(self, lease: StoreLease) -> bool | Failure:
        """Renew a lease; False if the lease or its era has ended."""
        target = f"/kv-keep/{lease.lease_id}"
        answer = await self._call(b"POST", target, b"", CALL_TIMEOUT_S)
        if isinstance(answer, Failure):
            return False if answer.kind is FailureKind.NOT_FOUND else answer
        return answer.era == lease.era

    async def end_lease(self, lease: StoreLease) -> Failure | None:
        """Revoke a lease."""
        target = f"/kv-lease-end/{lease.lease_id}"
        answer = await self._call(b"DELETE", target, None, CALL_TIMEOUT_S)
        return answer if isinstance(answer, Failure) else None

    async def _read(
        self, target: str, shape: type[_Shape], timeout_s: float
    ) -> _AnswerWithEra[_Shape] | Failure:
        return _decode(await self._call(b"GET", target, None, timeout_s), shape)

    async def _write(
        self, target: str, body: object, shape: type[_Shape]
    ) -> _AnswerWithEra[_Shape] | Failure:
        encoded = msgspec.json.encode(body)
        return _decode(await self._call(b"POST", target, encoded, CALL_TIMEOUT_S), shape)

    async def _call(
        self, method: bytes, target: str, body: bytes | None, timeout_s: float
    ) -> _AnswerWithEra[bytes] | Failure:
        label = target[1:].partition("?")[0].partition("/")[0]
        heads: list[AnswerHead] = []
        reply = await self._client.call(
            self._address,
            method,
            target.encode(),
            body,
            timeout_s,
            label=label,
            on_head=heads.append,
            max_reply_bytes=MAX_ANSWER_BYTES,
        )
        if isinstance(reply, Failure) and reply.kind is FailureKind.ANSWER_TOO_LARGE:
            return reply
        if isinstance(reply, Failure):
            return FailureKind.STORE_UNAVAILABLE.because(reply.reason, ran=reply.ran)
        answer = read_store_answer(heads[-1])
        self._on_answer(answer)
        return _AnswerWithEra(reply.body, answer.era) if reply.status == 200 else _refused(reply)


def _refused(reply: CallReply) -> Failure:
    if reply.status == 410:
        return FailureKind.HISTORY_LOST.because(
            "the store no longer has the changes since this revision"
        )
    if reply.status == 404:
        return FailureKind.NOT_FOUND.because("the entry or the lease does not exist")
    if reply.status == 412:
        return FailureKind.REVISION_CONFLICT.because(
            "the entry is not at the expected revision", ran=RunState.NOT_RUN
        )
    if reply.status in (429, 503):
        return FailureKind.STORE_RATE_LIMITED.because(
            f"the store answered {reply.status}", ran=RunState.NOT_RUN
        )
    return FailureKind.STORE_UNAVAILABLE.because(f"the store answered {reply.status}")


def _decode(
    answer: _AnswerWithEra[bytes] | Failure, shape: type[_Shape]
) -> _AnswerWithEra[_Shape] | Failure:
    if isinstance(answer, Failure):
        return answer
    kind = FailureKind.STORE_UNAVAILABLE
    body = decode_json(answer.body, shape, "the store's answer", kind)
    return body if isinstance(body, Failure) else _AnswerWithEra(body, answer.era)


def _items(entries: Sequence[msgspec.Raw]) -> list[StoreItem]:
    """Return the entries of an answer; one that cannot be read must not hide the others."""
    decoded = [decode_json(bytes(entry), _Item, "an item of the store") for entry in entries]
    refused = [entry for entry in decoded if isinstance(entry, Failure)]
    if refused:
        log_event("store_items_refused", "WARNING", count=len(refused), reason=refused[0].reason)
    return [_item(entry) for entry in decoded if isinstance(entry, _Item)]


def _item(entry: _Item) -> StoreItem:
    value = None if entry.gone or entry.value is None else _decode_value(entry.value)
    return StoreItem(entry.key, value, entry.revision)


def _decode_value(text: str) -> bytes:
    """Return an entry's bytes; empty if not base64, so that a bad entry does not fail the call."""
    try:
        return base64.b64decode(text)
    except ValueError:
        return b""

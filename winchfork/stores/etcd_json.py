"""Key-value adapter for the etcd v3 JSON gateway over HTTP.

Uses kv range and txn (compare on mod_revision), lease grant and keepalive, and watch. Keys and
values are encoded in base64, 64-bit numbers as strings.
"""

from __future__ import annotations

import base64
import json
import threading
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from winchfork.backends.http_client import HttpClient, HttpRequest
from winchfork.errors import Failure, FailureKind, RunState
from winchfork.stores.key_value import Entry

_CALL_TIMEOUT_S = 1.5
_WATCH_TIMEOUT_S = 3600.0
HTTP_TOO_MANY = 429


def _encode(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _prefix_end(prefix: str) -> str:
    """Return, in base64, the first key after all keys with this prefix."""
    raw = prefix.encode()
    return _encode(raw[:-1] + bytes([raw[-1] + 1]))


def _entry(body: Mapping[str, Any]) -> Entry:
    key = base64.b64decode(body["key"]).decode()
    value = base64.b64decode(body.get("value", ""))
    return Entry(key, value, int(body.get("mod_revision", 0)))


class EtcdJsonStore:
    """Client of one service with one or more endpoints; moves to the next when a call fails."""

    def __init__(self, client: HttpClient, endpoints: Sequence[str]) -> None:
        self._client = client
        self._endpoints = list(endpoints)
        self._endpoint_index = 0
        self._lock = threading.Lock()

    def get(self, key: str) -> Entry | None | Failure:
        """Read one entry; None when absent."""
        body = self._call("/v3/kv/range", {"key": _encode(key)})
        if isinstance(body, Failure):
            return body
        entries = body.get("kvs") or []
        return _entry(entries[0]) if entries else None

    def list(self, prefix: str) -> list[Entry] | Failure:
        """Read every entry under a prefix."""
        body = self._call(
            "/v3/kv/range", {"key": _encode(prefix), "range_end": _prefix_end(prefix)}
        )
        if isinstance(body, Failure):
            return body
        return [_entry(item) for item in body.get("kvs") or []]

    def compare_and_swap(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> int | Failure:
        """Write if the entry is at ``expected_revision``; return the new revision."""
        put: dict[str, Any] = {"key": _encode(key), "value": _encode(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        return self._transact(key, expected_revision, {"requestPut": put})

    def delete(self, key: str, expected_revision: int) -> Failure | None:
        """Delete if the entry is at ``expected_revision``."""
        result = self._transact(
            key, expected_revision, {"requestDeleteRange": {"key": _encode(key)}}
        )
        return result if isinstance(result, Failure) else None

    def grant_lease(self, ttl_s: int) -> int | Failure:
        """Grant a lease and return its id."""
        body = self._call("/v3/lease/grant", {"TTL": str(ttl_s)})
        return body if isinstance(body, Failure) else int(body["ID"])

    def renew_lease(self, lease_id: int) -> int | Failure:
        """Renew a lease; return its time to live in seconds."""
        body = self._call("/v3/lease/keepalive", {"ID": str(lease_id)})
        if isinstance(body, Failure):
            return body
        ttl_s = int(body.get("result", {}).get("TTL", 0))
        if ttl_s <= 0:
            return FailureKind.NOT_FOUND.because(f"lease {lease_id} has expired")
        return ttl_s

    def watch(
        self,
        prefix: str,
        from_revision: int,
        on_entry: Callable[[Entry], None],
        should_stop: Callable[[], bool],
    ) -> Failure | None:
        """Pass writes from ``from_revision`` on to ``on_entry`` until stopped or disconnected.

        ``from_revision`` is included; removals are not passed.
        """
        create = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _prefix_end(prefix),
                "start_revision": str(from_revision),
            }
        }
        stopped = FailureKind.STOPPING.because("the watch was stopped")
        pending = b""

        def receive(data: bytes) -> Failure | None:
            nonlocal pending
            *lines, pending = (pending + data).split(b"\n")
            for line in lines:
                if line.strip():
                    _deliver(json.loads(line), on_entry)
            return stopped if should_stop() else None

        request = HttpRequest(
            "POST",
            f"{self._endpoint()}/v3/watch",
            json.dumps(create).encode(),
            timeout_s=_WATCH_TIMEOUT_S,
        )
        result = self._client.stream(
            request,
            lambda status, headers: None,
            receive,
            lambda: stopped if should_stop() else None,
        )
        if result is stopped or not isinstance(result, Failure):
            return None
        return result

    def _transact(
        self, key: str, expected_revision: int, operation: dict[str, Any]
    ) -> int | Failure:
        body = self._call(
            "/v3/kv/txn",
            {
                "compare": [
                    {
                        "target": "MOD",
                        "result": "EQUAL",
                        "key": _encode(key),
                        "mod_revision": str(expected_revision),
                    }
                ],
                "success": [operation],
                "failure": [{"requestRange": {"key": _encode(key)}}],
            },
        )
        if isinstance(body, Failure):
            return body
        if body.get("succeeded"):
            return int(body["header"]["revision"])
        return FailureKind.REVISION_CONFLICT.because(
            f"{key} is not at revision {expected_revision}", remedy="read the entry again and retry"
        )

    def _endpoint(self) -> str:
        with self._lock:
            return self._endpoints[self._endpoint_index % len(self._endpoints)]

    def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any] | Failure:
        request = HttpRequest(
            "POST", self._endpoint() + path, json.dumps(body).encode(), timeout_s=_CALL_TIMEOUT_S
        )
        answer = self._client.exchange(request)
        if isinstance(answer, Failure):
            with self._lock:
                self._endpoint_index += 1
            return FailureKind.STORE_UNAVAILABLE.because(answer.reason, ran=RunState.UNKNOWN)
        if answer.status == HTTP_TOO_MANY:
            return FailureKind.STORE_RATE_LIMITED.because(
                "the store rejected the call: too many requests from this client"
            )
        if answer.status != 200:
            return FailureKind.STORE_UNAVAILABLE.because(
                f"the store answered {answer.status}", ran=RunState.UNKNOWN
            )
        parsed = json.loads(answer.body)
        return parsed if isinstance(parsed, dict) else {}


def _deliver(message: Mapping[str, Any], on_entry: Callable[[Entry], None]) -> None:
    for event in message.get("result", {}).get("events", ()):
        if event.get("type", "PUT") == "PUT":
            on_entry(_entry(event["kv"]))

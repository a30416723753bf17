"""Adapter for engines with OpenAI-compatible completions and extensions in the style of vLLM.

Extensions in use: ``priority``, ``cache_salt``, the expected identity in ``expect``,
``continue_from``, ``resume_offset``, ``import``, and a first stream event with the engine's
identity and the number of cached tokens.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from winchfork.backends.engine_port import (
    CacheSnapshot,
    Dispatch,
    EngineOrder,
    EngineReport,
    FinishReason,
    StreamCallbacks,
    StreamEnd,
    StreamPiece,
    StreamStart,
)
from winchfork.backends.http_client import HttpAnswer, HttpClient, HttpRequest
from winchfork.constants import ENGINE_IDLE_TIMEOUT_S
from winchfork.core.cache_index import CacheEvent, EventKind
from winchfork.core.fleet import ReplicaIdentity, ReplicaLoad
from winchfork.errors import Failure, FailureKind, RunState

_JSON_HEADERS = {"Content-Type": "application/json"}
_REPORT_TIMEOUT_S = 1.0
_ORDER_TIMEOUT_S = 30.0
_DATA_PREFIX = b"data: "
_DONE = b"[DONE]"
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503


class _StreamReader:
    """Parses the server-sent events of one attempt and passes them to the callbacks."""

    def __init__(self, attempt_id: str, callbacks: StreamCallbacks) -> None:
        self.end: StreamEnd | None = None
        self.error_body = b""
        self._attempt_id = attempt_id
        self._callbacks = callbacks
        self._buffer = b""
        self._status = 0

    def on_http_start(self, status: int, headers: Mapping[str, str]) -> Failure | None:
        self._status = status
        return None

    def on_data(self, data: bytes) -> Failure | None:
        if self._status != 200:
            self.error_body += data
            return None
        self._buffer += data
        *events, self._buffer = self._buffer.split(b"\n\n")
        for event in events:
            failure = self._on_event(event)
            if failure is not None:
                return failure
        return None

    def _on_event(self, event: bytes) -> Failure | None:
        if not event.startswith(_DATA_PREFIX):
            return None
        payload = event[len(_DATA_PREFIX) :]
        if payload == _DONE:
            return None
        try:
            body = json.loads(payload)
            return self._on_body(body)
        except (ValueError, KeyError, TypeError) as error:
            return FailureKind.STREAM_BROKEN.because(
                f"the engine sent a malformed event: {type(error).__name__}",
                ran=RunState.UNKNOWN,
            )

    def _on_body(self, body: dict[str, Any]) -> Failure | None:
        if body["id"] != self._attempt_id:
            return FailureKind.STREAM_BROKEN.because(
                "the engine sent an event of another attempt", ran=RunState.UNKNOWN
            )
        if "engine" in body:
            identity = _identity(body["engine"])
            return self._callbacks.on_start(
                StreamStart(identity, int(body["engine"]["cached_tokens"]))
            )
        choice = body["choices"][0]
        if choice.get("text"):
            piece = StreamPiece(body["offset"], body["token_count"], choice["text"])
            failure = self._callbacks.on_piece(piece)
            if failure is not None:
                return failure
        if choice.get("finish_reason"):
            reason = FinishReason(choice["finish_reason"])
            self.end = StreamEnd(reason, int(body["usage"]["completion_tokens"]))
        return None


class OpenAiEngine:
    """Implements ``EnginePort``; one object serves all engines."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def generate(
        self, address: str, dispatch: Dispatch, callbacks: StreamCallbacks
    ) -> StreamEnd | Failure:
        """Run one attempt to its end."""
        reader = _StreamReader(dispatch.attempt_id, callbacks)
        request = _generate_request(address, dispatch)
        result = self._client.stream(
            request, reader.on_http_start, reader.on_data, callbacks.should_stop
        )
        if isinstance(result, Failure):
            return result
        status, _ = result
        if status != 200:
            return _refusal(status, reader.error_body, address)
        if reader.end is None:
            return FailureKind.STREAM_BROKEN.because(
                f"{address} closed the stream before sending a finish reason", ran=RunState.UNKNOWN
            )
        return reader.end

    def cancel(self, address: str, attempt_id: str) -> Failure | None:
        """Cancel an attempt whose caller no longer waits."""
        body = json.dumps({"id": attempt_id}).encode()
        answer = self._client.exchange(
            HttpRequest(
                "POST", f"{address}/v1/cancel", body, _JSON_HEADERS, timeout_s=_REPORT_TIMEOUT_S
            )
        )
        return answer if isinstance(answer, Failure) else None

    def report(self, address: str, after_sequence: int) -> EngineReport | Failure:
        """Read identity, load and the events after ``after_sequence``."""
        body = self._get(f"{address}/engine/events?after={after_sequence}")
        return body if isinstance(body, Failure) else _report(body)

    def snapshot(self, address: str) -> CacheSnapshot | Failure:
        """Read all cached blocks, to resynchronize after a gap in the events."""
        body = self._get(f"{address}/engine/cache")
        if isinstance(body, Failure):
            return body
        blocks = tuple((int(key), int(parent)) for key, parent in body["blocks"])
        return CacheSnapshot(_report(body), blocks)

    def order(self, address: str, order: EngineOrder) -> ReplicaIdentity | Failure:
        """Send a fenced order; return the engine's identity afterwards."""
        body = json.dumps(
            {
                "kind": order.kind.value,
                "fence": order.fence,
                "version": order.version,
                "role": order.role,
            }
        ).encode()
        request = HttpRequest(
            "POST", f"{address}/engine/orders", body, _JSON_HEADERS, timeout_s=_ORDER_TIMEOUT_S
        )
        answer = self._client.exchange(request)
        parsed = _parse(answer, address)
        return parsed if isinstance(parsed, Failure) else _identity(parsed)

    def _get(self, url: str) -> dict[str, Any] | Failure:
        answer = self._client.exchange(HttpRequest("GET", url, timeout_s=_REPORT_TIMEOUT_S))
        return _parse(answer, url)


def _generate_request(address: str, dispatch: Dispatch) -> HttpRequest:
    body = {
        "id": dispatch.attempt_id,
        "prompt": dispatch.prompt,
        "max_tokens": dispatch.max_tokens,
        "stream": True,
        "priority": dispatch.priority,
        "cache_salt": dispatch.scope.salt(),
        "expect": {
            "incarnation": dispatch.expected.incarnation,
            "weights_version": dispatch.expected.weights_version,
        },
        "continue_from": {"text": dispatch.emitted_text, "tokens": dispatch.emitted_tokens},
        "resume_offset": dispatch.resume_offset,
        "import": {"from": dispatch.import_from, "blocks": dispatch.import_blocks},
    }
    return HttpRequest(
        "POST",
        f"{address}/v1/completions",
        json.dumps(body).encode(),
        _JSON_HEADERS,
        timeout_s=dispatch.timeout_s,
        idle_timeout_s=ENGINE_IDLE_TIMEOUT_S,
    )


def _refusal(status: int, body: bytes, address: str) -> Failure:
    """Convert a non-200 answer; 503 and any status below 500 mean that the request did not run."""
    kind = FailureKind.BACKEND_REFUSED
    proves_not_run = status < 500 or status == HTTP_UNAVAILABLE
    if status == HTTP_CONFLICT:
        kind = FailureKind.FENCE_MISMATCH
    elif status == HTTP_UNAVAILABLE:
        kind = FailureKind.NOT_ACCEPTING_WORK
    text = body[:200].decode("utf-8", "replace")
    ran = RunState.NOT_RUN if proves_not_run else RunState.UNKNOWN
    return kind.because(f"{address} answered {status}: {text}", ran=ran)


def _parse(answer: HttpAnswer | Failure, address: str) -> dict[str, Any] | Failure:
    if isinstance(answer, Failure):
        return answer
    if answer.status != 200:
        return _refusal(answer.status, answer.body, address)
    try:
        body = json.loads(answer.body)
    except ValueError:
        body = None
    if not isinstance(body, dict):
        return FailureKind.BACKEND_FAILED.because(f"{address} did not send a JSON object")
    return body


def _identity(body: Mapping[str, Any]) -> ReplicaIdentity:
    return ReplicaIdentity(int(body["incarnation"]), int(body["weights_version"]))


def _report(body: Mapping[str, Any]) -> EngineReport:
    load = body["load"]
    events = tuple(
        CacheEvent(sequence, EventKind(kind), tuple(keys), parent)
        for sequence, kind, keys, parent in body.get("events", ())
    )
    return EngineReport(
        _identity(body),
        ReplicaLoad(
            waiting_prefill_tokens=load["waiting_prefill_tokens"],
            urgent_prefill_tokens=load.get("urgent_prefill_tokens", load["waiting_prefill_tokens"]),
            running_requests=load["running_requests"],
            waiting_requests=load["waiting_requests"],
            prefill_tokens_per_s=load["prefill_tokens_per_s"],
            free_cache_blocks=load["free_cache_blocks"],
            import_tokens_per_s=load.get("import_tokens_per_s", 0.0),
        ),
        int(body["next_sequence"]),
        events,
        bool(body.get("accepting", True)),
    )

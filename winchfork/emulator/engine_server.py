"""An emulated engine in real time behind HTTP, with faults that can be injected.

Paths: ``POST /v1/completions`` (server-sent events), ``POST /v1/cancel``, ``GET /engine/events``,
``GET /engine/cache``, ``POST /engine/export``, ``POST /engine/orders``, ``POST /engine/faults``,
``GET /engine/executions``.
"""

from __future__ import annotations

import json
import queue
import random
import threading
import time
from collections import OrderedDict
from collections.abc import Iterator
from typing import Any

import xxhash
from werkzeug.wrappers import Request, Response

from winchfork.backends.http_client import HttpClient, HttpRequest
from winchfork.constants import BLOCK_BYTES, BLOCK_TOKENS
from winchfork.core.cache_index import CacheEvent
from winchfork.core.fleet import ReplicaIdentity
from winchfork.core.prefix import chain_key, count_tokens
from winchfork.emulator.answers import answer_digest, answer_token
from winchfork.emulator.engine_model import EngineModel, EngineSettings, Sequence, TokensOut
from winchfork.emulator.json_http import json_response, route_requests
from winchfork.errors import Failure
from winchfork.gateway.server import PooledServer

_WORKERS = 256
_IDLE_WAIT_S = 0.5
_EXPORT_TIMEOUT_S = 1.0
_DETACHED_GRACE_S = 5.0
_EXECUTIONS_KEPT = 100_000


class _Ending:
    """Marks the end of a stream that cannot be completed."""


class _Stream:
    """What the batch loop hands to the handler that serves one generation."""

    def __init__(self, prompt: str, first_offset: int) -> None:
        self.digest = answer_digest(prompt)
        self.first_offset = first_offset
        self.produced = first_offset
        self.queue: queue.SimpleQueue[int | _Ending] = queue.SimpleQueue()
        self.detached_at_s: float | None = None


class EngineServer:
    """One engine replica on an address of its own."""

    def __init__(
        self, address: str, settings: EngineSettings, *, weights_version: int = 1, seed: int = 0
    ) -> None:
        self._model = EngineModel(settings, ReplicaIdentity(1, weights_version))
        self._condition = threading.Condition()
        self._streams: dict[str, _Stream] = {}
        self._executions: OrderedDict[str, int] = OrderedDict()
        self._random = random.Random(seed)
        self._event_loss = 0.0
        self._event_delay_s = 0.05
        self._lost_events: set[int] = set()
        self._accepting = True
        self._role = "serving"
        self._frozen_until_s = 0.0
        self._highest_fence = 0
        self._weights_load_s = 0.4
        self._client = HttpClient()
        self._import_link = threading.Lock()
        self._stopping = False
        self._server = PooledServer(address, route_requests(self._routes()), _WORKERS)

    @property
    def address(self) -> str:
        """The base URL."""
        return f"http://{self._server.address}"

    @property
    def settings(self) -> EngineSettings:
        """The speeds and sizes of this engine."""
        return self._model.settings

    def start(self) -> None:
        """Serve and run batches on threads of its own."""
        self._server.start()
        threading.Thread(target=self._run_batches, daemon=True).start()

    def stop(self) -> None:
        """Stop at once."""
        self._stopping = True
        with self._condition:
            self._condition.notify_all()
        self._server.stop(wait=False)

    def _routes(self) -> dict[tuple[str, str], Any]:
        return {
            ("POST", "/v1/completions"): self._complete,
            ("POST", "/v1/cancel"): self._cancel,
            ("GET", "/engine/events"): self._events,
            ("GET", "/engine/cache"): self._cache,
            ("POST", "/engine/orders"): self._order,
            ("POST", "/engine/export"): self._export,
            ("POST", "/engine/faults"): self._inject,
            ("GET", "/engine/executions"): self._list_executions,
        }

    def _run_batches(self) -> None:
        while not self._stopping:
            with self._condition:
                now_s = time.monotonic()
                plan = None if now_s < self._frozen_until_s else self._model.plan_step(now_s)
                if plan is None:
                    self._drop_detached(now_s)
                    self._condition.wait(min(_IDLE_WAIT_S, 0.02 if self._streams else _IDLE_WAIT_S))
                    continue
            time.sleep(plan.duration_s)
            with self._condition:
                for output in self._model.finish_step(plan, time.monotonic()):
                    self._deliver(output)
                self._drop_detached(time.monotonic())

    def _deliver(self, output: TokensOut) -> None:
        stream = self._streams.get(output.sequence.sequence_id)
        if stream is not None:
            stream.produced += output.count
            stream.queue.put(output.count)

    def _drop_detached(self, now_s: float) -> None:
        for sequence_id, stream in list(self._streams.items()):
            detached = stream.detached_at_s
            if detached is not None and now_s - detached > _DETACHED_GRACE_S:
                self._model.cancel(sequence_id)
                del self._streams[sequence_id]

    def _complete(self, request: Request) -> Response:
        body = request.get_json()
        with self._condition:
            refusal = self._refusal(body.get("expect"))
            if refusal is not None:
                return refusal
            if body.get("resume_offset") is not None:
                stream = self._resume(body)
                if stream is None:
                    return json_response({"code": "unknown_sequence"}, 409)
                first = int(body["resume_offset"])
                sequence = None
            else:
                sequence = self._sequence(body)
                first = sequence.generated
                stream = _Stream(body["prompt"], first)
                self._streams[sequence.sequence_id] = stream
                self._note_execution(body["prompt"])
        if sequence is not None:
            self._import_blocks(body.get("import") or {}, sequence)
            with self._condition:
                if sequence.sequence_id in self._streams:
                    self._model.submit(sequence)
                    self._condition.notify_all()
        events = self._stream_events(body, stream, sequence, first)
        return Response(events, content_type="text/event-stream")

    def _import_blocks(self, wanted: dict[str, Any], sequence: Sequence) -> None:
        """Copy leading blocks from another engine; what it does not hold is computed instead.

        The keys chain over tenant and weights version, so an engine with older weights, or another
        tenant's blocks, cannot match.
        """
        keys = sequence.block_keys[: int(wanted.get("blocks", 0))]
        if not wanted.get("from") or not keys:
            return
        request = HttpRequest(
            "POST",
            f"{wanted['from']}/engine/export",
            json.dumps({"block_keys": keys}).encode(),
            {"Content-Type": "application/json"},
            timeout_s=_EXPORT_TIMEOUT_S,
        )
        answer = self._client.exchange(request)
        if isinstance(answer, Failure) or answer.status != 200:
            return
        held = int(json.loads(answer.body)["held"])
        with self._condition:
            missing = held - self._model.cache.match(keys)
        if missing <= 0:
            return
        settings = self._model.settings
        seconds = missing * BLOCK_TOKENS / settings.import_tokens_per_s
        with self._import_link:
            time.sleep(settings.import_setup_s + seconds)
        with self._condition:
            self._model.import_blocks(keys[:held], time.monotonic())

    def _export(self, request: Request) -> Response:
        keys = tuple(int(key) for key in request.get_json()["block_keys"])
        with self._condition:
            held = self._model.cache.match(keys)
        return json_response({"held": held})

    def _refusal(self, expected: dict[str, int] | None) -> Response | None:
        if not self._accepting or self._role == "draining":
            return json_response({"code": "not_accepting"}, 503)
        identity = self._model.identity
        if expected is not None and (
            expected["incarnation"] != identity.incarnation
            or expected["weights_version"] != identity.weights_version
        ):
            return json_response({"code": "fence_mismatch", **_identity_body(identity)}, 409)
        return None

    def _sequence(self, body: dict[str, Any]) -> Sequence:
        prompt = body["prompt"].encode()
        emitted = body.get("continue_from") or {"tokens": 0}
        salt = body.get("cache_salt", "")
        parent = _salt_key(salt)
        keys = []
        for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
            parent = chain_key(parent, prompt[start : start + BLOCK_BYTES])
            keys.append(parent)
        return Sequence(
            body["id"],
            tuple(keys),
            max(1, count_tokens(prompt)) + int(emitted["tokens"]),
            max(1, int(body["max_tokens"])),
            int(body.get("priority", 5)),
            time.monotonic(),
            generated=int(emitted["tokens"]),
        )

    def _resume(self, body: dict[str, Any]) -> _Stream | None:
        stream = self._streams.get(body["id"])
        if stream is None or int(body["resume_offset"]) > stream.produced:
            return None
        abandoned = stream.queue
        stream.queue = queue.SimpleQueue()
        abandoned.put(_Ending())
        stream.detached_at_s = None
        backlog = stream.produced - int(body["resume_offset"])
        if backlog:
            stream.queue.put(backlog)
        return stream

    def _stream_events(
        self, body: dict[str, Any], stream: _Stream, sequence: Sequence | None, first: int
    ) -> Iterator[bytes]:
        attempt_id, total = body["id"], max(1, int(body["max_tokens"]))
        source = stream.queue
        offset = first
        announced = False
        try:
            while offset < total:
                item = source.get()
                if isinstance(item, _Ending):
                    return
                if not announced:
                    cached = 0 if sequence is None else sequence.cached_blocks
                    yield self._start_event(attempt_id, cached)
                    announced = True
                text = "".join(
                    answer_token(stream.digest, index) for index in range(offset, offset + item)
                )
                yield _piece_event(attempt_id, offset, item, text, offset + item >= total)
                offset += item
            yield b"data: [DONE]\n\n"
        finally:
            with self._condition:
                if stream.queue is source:
                    if offset >= total:
                        self._streams.pop(attempt_id, None)
                    else:
                        stream.detached_at_s = time.monotonic()

    def _start_event(self, attempt_id: str, cached_blocks: int) -> bytes:
        engine = {
            **_identity_body(self._model.identity),
            "cached_tokens": max(0, cached_blocks) * BLOCK_TOKENS,
        }
        body = {"id": attempt_id, "engine": engine}
        return f"data: {json.dumps(body)}\n\n".encode()

    def _note_execution(self, prompt: str) -> None:
        digest = answer_digest(prompt)
        self._executions[digest] = self._executions.get(digest, 0) + 1
        while len(self._executions) > _EXECUTIONS_KEPT:
            self._executions.popitem(last=False)

    def _cancel(self, request: Request) -> Response:
        sequence_id = request.get_json()["id"]
        with self._condition:
            found = self._model.cancel(sequence_id)
            stream = self._streams.pop(sequence_id, None)
            if stream is not None:
                stream.queue.put(_Ending())
        return json_response({"cancelled": found})

    def _events(self, request: Request) -> Response:
        after = int(request.args.get("after", 0))
        with self._condition:
            visible = self._model.events_after(after, time.monotonic() - self._event_delay_s)
            kept = [event for event in visible if not self._is_lost(event)]
            next_sequence = visible[-1].sequence + 1 if visible else after + 1
            body = self._report_body(min(next_sequence, self._model.next_sequence), kept)
        return json_response(body)

    def _is_lost(self, event: CacheEvent) -> bool:
        """Lose an event for good: every reader misses the same ones."""
        if event.sequence in self._lost_events:
            return True
        if self._event_loss and self._random.random() < self._event_loss:
            self._lost_events.add(event.sequence)
            return True
        return False

    def _cache(self, request: Request) -> Response:
        with self._condition:
            body = self._report_body(self._model.next_sequence, [])
            body["blocks"] = self._model.cache.keys_with_parents()
        return json_response(body)

    def _report_body(self, next_sequence: int, events: list[CacheEvent]) -> dict[str, Any]:
        load = self._model.load()
        return {
            **_identity_body(self._model.identity),
            "next_sequence": next_sequence,
            "accepting": self._accepting and self._role != "draining",
            "events": [
                [event.sequence, event.kind.value, event.block_keys, event.parent_key]
                for event in events
            ],
            "load": {
                "waiting_prefill_tokens": load.waiting_prefill_tokens,
                "urgent_prefill_tokens": load.urgent_prefill_tokens,
                "running_requests": load.running_requests,
                "waiting_requests": load.waiting_requests,
                "prefill_tokens_per_s": load.prefill_tokens_per_s,
                "free_cache_blocks": load.free_cache_blocks,
                "import_tokens_per_s": load.import_tokens_per_s,
            },
        }

    def _order(self, request: Request) -> Response:
        body = request.get_json()
        with self._condition:
            if int(body["fence"]) < self._highest_fence:
                return json_response({"code": "stale_fence", "highest": self._highest_fence}, 409)
            self._highest_fence = int(body["fence"])
        if body["kind"] == "set_role":
            self._role = body["role"]
        if body["kind"] == "load_weights":
            time.sleep(self._weights_load_s)
            with self._condition:
                for sequence in self._model.load_weights(int(body["version"]), time.monotonic()):
                    stream = self._streams.pop(sequence.sequence_id, None)
                    if stream is not None:
                        stream.queue.put(_Ending())
        return json_response(_identity_body(self._model.identity))

    def _inject(self, request: Request) -> Response:
        body = request.get_json()
        with self._condition:
            self._event_loss = float(body.get("event_loss", self._event_loss))
            self._event_delay_s = float(body.get("event_delay_s", self._event_delay_s))
            self._accepting = bool(body.get("accepting", self._accepting))
            self._weights_load_s = float(body.get("weights_load_s", self._weights_load_s))
            if "freeze_s" in body:
                self._frozen_until_s = time.monotonic() + float(body["freeze_s"])
            if body.get("crash"):
                self._crash()
            if body.get("break_streams"):
                self._break_streams()
        return json_response({"ok": True})

    def _crash(self) -> None:
        self._model.crash()
        self._lost_events.clear()
        for stream in self._streams.values():
            stream.queue.put(_Ending())
        self._streams.clear()

    def _break_streams(self) -> None:
        """Cut the connections but keep generating, so that streams can be resumed."""
        for stream in self._streams.values():
            abandoned = stream.queue
            stream.queue = queue.SimpleQueue()
            stream.detached_at_s = time.monotonic()
            abandoned.put(_Ending())

    def _list_executions(self, request: Request) -> Response:
        with self._condition:
            return json_response(dict(self._executions))


def _identity_body(identity: ReplicaIdentity) -> dict[str, int]:
    return {"incarnation": identity.incarnation, "weights_version": identity.weights_version}


def _salt_key(salt: str) -> int:
    return xxhash.xxh3_64_intdigest(salt.encode())


def _piece_event(attempt_id: str, offset: int, count: int, text: str, last: bool) -> bytes:
    body: dict[str, Any] = {
        "id": attempt_id,
        "offset": offset,
        "token_count": count,
        "choices": [{"index": 0, "text": text, "finish_reason": "length" if last else None}],
    }
    if last:
        body["usage"] = {"completion_tokens": offset + count}
    return f"data: {json.dumps(body)}\n\n".encode()

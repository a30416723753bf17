"""An emulated engine in real time behind HTTP, with faults that can be injected.

Paths: ``POST /v1/completions`` (server-sent events), ``POST /v1/cancel``, ``GET /engine/events``,
``GET /engine/cache``, ``POST /engine/export``, ``POST /engine/orders``, ``POST /engine/faults``,
``GET /engine/executions``.
"""

from __future__ import annotations

import json
import random
import threading
import time
from collections import OrderedDict
from typing import Any

from werkzeug.wrappers import Request, Response

from winchfork.backends.http_client import HttpClient, HttpRequest
from winchfork.constants import BLOCK_TOKENS
from winchfork.core.cache_index import CacheEvent
from winchfork.core.fleet import ReplicaIdentity
from winchfork.core.prefix import chain_prompt, count_tokens, root_key_of
from winchfork.emulator.answers import answer_digest, answer_token
from winchfork.emulator.engine_model import EngineModel, EngineSettings, Sequence, TokensOut
from winchfork.emulator.json_http import json_response, route_requests
from winchfork.errors import Failure
from winchfork.gateway.direct_stream import DirectStream
from winchfork.gateway.server import PooledServer, WsgiApplication

_WORKERS = 256
_IDLE_WAIT_S = 0.5
_EXPORT_TIMEOUT_S = 1.0
_DETACHED_GRACE_S = 5.0
_MAX_EXECUTIONS = 100_000


class _Stream:
    """One generation's stream: the batch thread writes, the handler's thread waits for its end."""

    def __init__(self, attempt_id: str, prompt: str, first_offset: int, total: int) -> None:
        self.attempt_id = attempt_id
        self.digest = answer_digest(prompt)
        self.produced = first_offset
        self.total = total
        self.detached_at_s: float | None = None
        self._sink: DirectStream | None = None
        self._ended: threading.Event | None = None

    def attach(self, sink: DirectStream, from_offset: int) -> threading.Event:
        """Write to ``sink`` from now on, beginning with the tokens produced since ``from_offset``.

        Return the event that is set when the stream ends or is detached.
        """
        self.detach(None)
        self._sink, self._ended = sink, threading.Event()
        self.detached_at_s = None
        ended = self._ended
        if self.produced > from_offset:
            self.write_tokens(from_offset, self.produced - from_offset)
        return ended

    def detach(self, now_s: float | None) -> None:
        """Stop writing; the handler returns and the connection closes.

        If ``now_s`` is given, the generation continues and is dropped ``_DETACHED_GRACE_S`` later
        unless the stream is resumed.
        """
        self._sink = None
        self.detached_at_s = now_s
        if self._ended is not None:
            self._ended.set()

    def write(self, event: bytes) -> None:
        """Write one event; detach the stream if the connection is closed."""
        if self._sink is not None and self._sink.send(event) is not None:
            self.detach(time.monotonic())

    def write_tokens(self, offset: int, count: int) -> None:
        """Write ``count`` tokens from ``offset``; end the stream after the last token."""
        text = "".join(answer_token(self.digest, index) for index in range(offset, offset + count))
        last = offset + count >= self.total
        self.write(_piece_event(self.attempt_id, offset, count, text, last))
        if last:
            self.write(b"data: [DONE]\n\n")
            self.detach(None)


class EngineServer:
    """One engine replica, listening on its own address."""

    def __init__(
        self, address: str, settings: EngineSettings, *, weights_version: int = 1, seed: int = 0
    ) -> None:
        self._model = EngineModel(settings, ReplicaIdentity(1, weights_version))
        self._condition = threading.Condition()
        self._streams: dict[str, _Stream] = {}
        self._announced: dict[str, bool] = {}
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
        """Start serving and running batches on background threads."""
        self._server.start()
        threading.Thread(target=self._run_batches, daemon=True).start()

    def stop(self) -> None:
        """Stop without waiting for running requests."""
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
        sequence = output.sequence
        stream = self._streams.get(sequence.sequence_id)
        if stream is None:
            return
        if not self._announced.get(sequence.sequence_id):
            self._announced[sequence.sequence_id] = True
            stream.write(self._start_event(sequence.sequence_id, sequence.cached_blocks))
        stream.produced += output.count
        stream.write_tokens(output.first_offset, output.count)
        if sequence.finished and stream.detached_at_s is None:
            self._forget(sequence.sequence_id)

    def _forget(self, sequence_id: str) -> None:
        self._streams.pop(sequence_id, None)
        self._announced.pop(sequence_id, None)

    def _drop_detached(self, now_s: float) -> None:
        for sequence_id, stream in list(self._streams.items()):
            detached = stream.detached_at_s
            if detached is not None and now_s - detached > _DETACHED_GRACE_S:
                self._model.cancel(sequence_id)
                self._forget(sequence_id)

    def _complete(self, request: Request) -> WsgiApplication:
        body = request.get_json()
        resume = body.get("resume_offset")
        with self._condition:
            refusal = self._refusal(body.get("expect"))
            if refusal is not None:
                return refusal
            if resume is not None:
                stream = self._streams.get(body["id"])
                if stream is None or int(resume) > stream.produced:
                    return json_response({"code": "unknown_sequence"}, 409)
                return self._stream_answer(stream, int(resume), None)
            sequence = self._sequence(body)
            stream = _Stream(
                sequence.sequence_id, body["prompt"], sequence.generated, sequence.output_tokens
            )
            self._streams[sequence.sequence_id] = stream
            self._record_execution(body["prompt"])
        self._import_blocks(body.get("import") or {}, sequence)
        return self._stream_answer(stream, sequence.generated, sequence)

    def _stream_answer(
        self, stream: _Stream, from_offset: int, sequence: Sequence | None
    ) -> WsgiApplication:
        """Return the streaming answer; it submits ``sequence``, which is None for a resumed one."""

        def answer(environ: dict[str, Any], start_response: Any) -> list[bytes]:
            headers = [("Content-Type", "text/event-stream")]
            start_response("200 OK", headers)(b"")
            sink = DirectStream(environ["winchfork.socket"])
            with self._condition:
                ended = stream.attach(sink, from_offset)
                if sequence is not None and stream.attempt_id in self._streams:
                    self._model.submit(sequence)
                    self._condition.notify_all()
            ended.wait()
            sink.wait_drained()
            with self._condition:
                if stream.produced >= stream.total:
                    self._forget(stream.attempt_id)
            return []

        return answer

    def _import_blocks(self, wanted: dict[str, Any], sequence: Sequence) -> None:
        """Copy leading blocks from another engine; blocks that it has not cached are computed.

        The keys chain over tenant and weights version, so blocks of other weights or of another
        tenant cannot match.
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
        available = int(json.loads(answer.body)["held"])
        with self._condition:
            missing = available - self._model.cache.match(keys)
        if missing <= 0:
            return
        settings = self._model.settings
        seconds = missing * BLOCK_TOKENS / settings.import_tokens_per_s
        with self._import_link:
            time.sleep(settings.import_setup_s + seconds)
        with self._condition:
            self._model.import_blocks(keys[:available], time.monotonic())

    def _export(self, request: Request) -> Response:
        keys = tuple(int(key) for key in request.get_json()["block_keys"])
        with self._condition:
            cached = self._model.cache.match(keys)
        return json_response({"held": cached})

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
        keys = chain_prompt(root_key_of(body.get("cache_salt", "")), prompt)
        return Sequence(
            body["id"],
            keys,
            max(1, count_tokens(prompt)) + int(emitted["tokens"]),
            max(1, int(body["max_tokens"])),
            int(body.get("priority", 5)),
            time.monotonic(),
            generated=int(emitted["tokens"]),
        )

    def _start_event(self, attempt_id: str, cached_blocks: int) -> bytes:
        engine = {
            **_identity_body(self._model.identity),
            "cached_tokens": max(0, cached_blocks) * BLOCK_TOKENS,
        }
        body = {"id": attempt_id, "engine": engine}
        return f"data: {json.dumps(body)}\n\n".encode()

    def _record_execution(self, prompt: str) -> None:
        digest = answer_digest(prompt)
        self._executions[digest] = self._executions.get(digest, 0) + 1
        while len(self._executions) > _MAX_EXECUTIONS:
            self._executions.popitem(last=False)

    def _cancel(self, request: Request) -> Response:
        sequence_id = request.get_json()["id"]
        with self._condition:
            found = self._model.cancel(sequence_id)
            stream = self._streams.get(sequence_id)
            if stream is not None:
                stream.detach(None)
            self._forget(sequence_id)
        return json_response({"cancelled": found})

    def _events(self, request: Request) -> Response:
        after = int(request.args.get("after", 0))
        with self._condition:
            visible = self._model.events_after(after, time.monotonic() - self._event_delay_s)
            delivered = [event for event in visible if not self._is_lost(event)]
            next_sequence = visible[-1].sequence + 1 if visible else after + 1
            body = self._report_body(min(next_sequence, self._model.next_sequence), delivered)
        return json_response(body)

    def _is_lost(self, event: CacheEvent) -> bool:
        """Return whether an injected fault loses the event; if so, it is lost for all readers."""
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
                    stream = self._streams.get(sequence.sequence_id)
                    if stream is not None:
                        stream.detach(None)
                    self._forget(sequence.sequence_id)
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
            stream.detach(None)
        self._streams.clear()
        self._announced.clear()

    def _break_streams(self) -> None:
        """Close the connections but continue generating, so that streams can be resumed."""
        for stream in self._streams.values():
            stream.detach(time.monotonic())

    def _list_executions(self, request: Request) -> Response:
        with self._condition:
            return json_response(dict(self._executions))


def _identity_body(identity: ReplicaIdentity) -> dict[str, int]:
    return {"incarnation": identity.incarnation, "weights_version": identity.weights_version}


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

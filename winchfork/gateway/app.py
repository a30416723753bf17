"""The callers' WSGI application: routes paths, authenticates, and answers each request."""

from __future__ import annotations

import json
import time
import uuid
from collections.abc import Callable, Iterable
from typing import Any

from werkzeug.wrappers import Request, Response

from winchfork.boot_clock import boot_seconds
from winchfork.cluster.state import DaemonState
from winchfork.cluster.waiting_work import WaitingWork
from winchfork.core.configuration import InstalledConfiguration, Pool, PoolKind, Tenant
from winchfork.core.prefix import count_tokens
from winchfork.core.waiting import WaitingRequest
from winchfork.errors import Failure, FailureKind
from winchfork.gateway.caller import Caller, EventStream
from winchfork.gateway.generation import GenerationResult, GenerationRouter
from winchfork.gateway.metrics import GatewayMetrics
from winchfork.gateway.relay import Relay, RelayRequest
from winchfork.gateway.requests import (
    CallerContext,
    GenerationRequest,
    authenticate,
    parse_generation,
    read_body,
    read_context,
)
from winchfork.gateway.responses import AnswerFormat, error_response, usage_body
from winchfork.logs import log_event

_COMPLETIONS = "/v1/completions"
_CHAT = "/v1/chat/completions"
_POOLS = "/v1/pools/"
_REQUESTS = "/v1/requests/"
StartResponse = Callable[..., Any]


class GatewayApplication:
    """The callers' WSGI application. Thread-safe."""

    def __init__(
        self,
        state: DaemonState,
        generations: GenerationRouter,
        relay: Relay,
        metrics: GatewayMetrics,
        waiting: WaitingWork,
    ) -> None:
        self._state = state
        self._waiting = waiting
        self._generations = generations
        self._relay = relay
        self._metrics = metrics

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request; an exception becomes a typed error response."""
        request = Request(environ)
        request_id = f"{self._state.own_id}-{uuid.uuid4().hex}"
        try:
            response = self._route(request, request_id, start_response)
        except Exception as error:  # noqa: BLE001 - logged, and answered with a typed failure
            log_event("request_crashed", "ERROR", request=request_id, error=repr(error))
            # The request may have run: the exception does not show how far it came.
            failure = FailureKind.INTERNAL.because(
                "an internal error", remedy="look up this request id in the daemon's log"
            )
            response = error_response(failure, request_id)
        if response is None:
            return []
        return response(environ, start_response)

    def _route(
        self, request: Request, request_id: str, start_response: StartResponse
    ) -> Response | None:
        path = request.path
        if path == "/healthz":
            return Response("ok\n")
        if path == "/readyz":
            return self._ready()
        if path == "/metrics":
            return self._render_metrics()
        configuration = self._state.configuration.current
        if configuration.revision == 0:
            return self._refuse(_not_configured(), request_id)
        tenant = authenticate(request, configuration)
        if isinstance(tenant, Failure):
            return self._refuse(tenant, request_id)
        if path == "/v1/models":
            return self._models(configuration)
        if path in (_COMPLETIONS, _CHAT):
            if request.method != "POST":
                return self._refuse(_wrong_method("POST"), request_id)
            return self._complete(request, request_id, tenant, configuration, start_response)
        if path.startswith(_REQUESTS):
            return self._fetch(path[len(_REQUESTS) :], request_id, tenant)
        if path.startswith(_POOLS):
            return self._relay_request(request, request_id, tenant, configuration)
        return self._refuse(
            FailureKind.NOT_FOUND.because(f"there is no path {path}", remedy="see the README"),
            request_id,
        )

    # --- generations ---

    def _complete(
        self,
        request: Request,
        request_id: str,
        tenant: Tenant,
        configuration: InstalledConfiguration,
        start_response: StartResponse,
    ) -> Response | None:
        body = read_body(request)
        if isinstance(body, Failure):
            return self._refuse(body, request_id)
        parsed = parse_generation(body, is_chat=request.path == _CHAT)
        if isinstance(parsed, Failure):
            return self._refuse(parsed, request_id)
        pool = configuration.pools_by_model.get(parsed.model)
        if pool is None:
            known = ", ".join(sorted(configuration.pools_by_model))
            return self._refuse(
                FailureKind.NOT_FOUND.because(
                    f"there is no model {parsed.model!r}", remedy=f"use one of: {known}"
                ),
                request_id,
            )
        context = self._context(request, tenant, pool, configuration)
        if isinstance(context, Failure):
            return self._refuse(context, request_id)
        caller = _caller(request, context)
        self._record_arrival(request_id, context, pool)
        if "respond-async" in request.headers.get("Prefer", ""):
            return self._accept(request_id, pool, parsed, context)
        if parsed.stream:
            return self._stream(request_id, pool, parsed, context, caller, start_response)
        return self._answer_whole(request_id, pool, parsed, context, caller)

    def _stream(
        self,
        request_id: str,
        pool: Pool,
        parsed: GenerationRequest,
        context: CallerContext,
        caller: Caller,
        start_response: StartResponse,
    ) -> Response | None:
        answer_format = _format(request_id, parsed)
        events = EventStream(start_response, request_id, caller.connection)
        result = self._generations.run(
            request_id,
            pool,
            parsed,
            context,
            caller,
            lambda text: events.send(answer_format.piece(text)),
        )
        if isinstance(result, GenerationResult):
            self._metrics.count_request("completed")
            events.send(answer_format.end(result.end.finish_reason, _usage(parsed, result)))
            events.finish()
            return None
        if not events.started:
            return self._refuse(result, request_id)
        self._metrics.count_request(result.kind.value)
        events.send(answer_format.error_event(result, request_id))
        events.finish()
        return None

    def _answer_whole(
        self,
        request_id: str,
        pool: Pool,
        parsed: GenerationRequest,
        context: CallerContext,
        caller: Caller,
    ) -> Response:
        parts: list[str] = []
        result = self._generations.run(request_id, pool, parsed, context, caller, parts.append)
        if isinstance(result, Failure):
            return self._refuse(result, request_id)
        self._metrics.count_request("completed")
        body = _format(request_id, parsed).whole(
            "".join(parts), result.end.finish_reason, _usage(parsed, result)
        )
        return _json(body, request_id)

    # --- requests that may wait ---

    def _accept(
        self, request_id: str, pool: Pool, parsed: GenerationRequest, context: CallerContext
    ) -> Response:
        if not context.may_wait:
            return self._refuse(
                FailureKind.INVALID_REQUEST.because(
                    f"requests of class {context.traffic_class.name} may not wait",
                    remedy="use a class or rule with may_wait, or drop Prefer: respond-async",
                ),
                request_id,
            )
        waiting = WaitingRequest(
            context.tenant.name,
            context.traffic_class.name,
            pool.name,
            parsed.model,
            "",
            "",
            parsed.max_tokens,
            parsed.is_chat,
        )
        accepted = self._waiting.accept(waiting, parsed.prompt)
        if isinstance(accepted, Failure):
            return self._refuse(accepted, request_id)
        self._state.record_decision(request_id, "accepted", "stored", waiting_id=accepted)
        body = {"id": accepted, "object": "winchfork.waiting_request", "status": "waiting"}
        response = _json(body, request_id)
        response.status_code = 202
        response.headers["Location"] = f"{_REQUESTS}{accepted}"
        return response

    def _fetch(self, waiting_id: str, request_id: str, tenant: Tenant) -> Response:
        found = self._waiting.find(waiting_id, tenant.name)
        if isinstance(found, Failure):
            return self._refuse(found, request_id)
        body: dict[str, Any] = {"id": waiting_id, "object": "winchfork.waiting_request"}
        if found is None:
            return _json({**body, "status": "waiting"}, request_id)
        body |= {
            "status": "done",
            "text": found.text,
            "finish_reason": found.finish_reason,
            "completion_tokens": found.completion_tokens,
            "cached_tokens": found.cached_tokens,
        }
        return _json(body, request_id)

    # --- application relay ---

    def _relay_request(
        self,
        request: Request,
        request_id: str,
        tenant: Tenant,
        configuration: InstalledConfiguration,
    ) -> Response:
        name, slash, rest = request.path[len(_POOLS) :].partition("/")
        pool = configuration.pools.get(name)
        if pool is None or pool.kind is not PoolKind.APPLICATION:
            return self._refuse(
                FailureKind.NOT_FOUND.because(
                    f"there is no application pool {name!r}",
                    remedy="list the pools with winchfork config get",
                ),
                request_id,
            )
        context = self._context(request, tenant, pool, configuration)
        if isinstance(context, Failure):
            return self._refuse(context, request_id)
        body = read_body(request)
        if isinstance(body, Failure):
            return self._refuse(body, request_id)
        query = request.query_string.decode("latin-1")
        relayed = RelayRequest(
            request.method,
            f"/{rest}" + (f"?{query}" if query else ""),
            body,
            dict(request.headers.items()),
        )
        self._record_arrival(request_id, context, pool)
        answer = self._relay.run(request_id, pool, relayed, context, _caller(request, context))
        if isinstance(answer, Failure):
            return self._refuse(answer, request_id)
        self._metrics.count_request("completed")
        response = Response(answer.body, status=answer.status, content_type=answer.content_type)
        response.headers["X-Request-Id"] = request_id
        if answer.replayed:
            response.headers["X-Winchfork-Replayed"] = "true"
        return response

    # --- shared ---

    def _context(
        self,
        request: Request,
        tenant: Tenant,
        pool: Pool,
        configuration: InstalledConfiguration,
    ) -> CallerContext | Failure:
        if self._state.stopping:
            return FailureKind.STOPPING.because(
                "this daemon is stopping", remedy="use another daemon", retry_after_s=1.0
            )
        return read_context(request, tenant, pool, configuration)

    def _record_arrival(self, request_id: str, context: CallerContext, pool: Pool) -> None:
        self._state.record_decision(
            request_id,
            "arrived",
            "accepted_for_routing",
            tenant=context.tenant.name,
            pool=pool.name,
            traffic_class=context.traffic_class.name,
            repeatable=context.repeatable,
            caller_request_id=context.caller_request_id,
        )

    def _refuse(self, failure: Failure, request_id: str) -> Response:
        self._metrics.count_request(failure.kind.value)
        log_event("request_refused", "DEBUG", request=request_id, failure=failure)
        return error_response(failure, request_id)

    def _ready(self) -> Response:
        configuration = self._state.configuration.current
        if self._state.stopping or configuration.revision == 0:
            return Response("not ready\n", status=503)
        return Response("ready\n")

    def _render_metrics(self) -> Response:
        with self._state.lock:
            self._metrics.open_requests.set(self._state.admission.open_count)
            self._metrics.waiting_requests.set(self._state.admission.waiting_count)
            self._metrics.index_blocks.set(len(self._state.index))
        return Response(self._metrics.render(), content_type="text/plain; version=0.0.4")

    def _models(self, configuration: InstalledConfiguration) -> Response:
        data = [
            {"id": model, "object": "model", "owned_by": pool.name}
            for model, pool in sorted(configuration.pools_by_model.items())
        ]
        return _json({"object": "list", "data": data}, "")


def _caller(request: Request, context: CallerContext) -> Caller:
    return Caller(request.environ["winchfork.socket"], boot_seconds() + context.deadline_s)


def _format(request_id: str, parsed: GenerationRequest) -> AnswerFormat:
    return AnswerFormat(
        request_id, parsed.model, is_chat=parsed.is_chat, created_s=int(time.time())
    )


def _usage(parsed: GenerationRequest, result: GenerationResult) -> dict[str, Any]:
    prompt_tokens = count_tokens(parsed.prompt.encode())
    return usage_body(prompt_tokens, result.end.completion_tokens, result.cached_tokens)


def _json(body: dict[str, Any], request_id: str) -> Response:
    response = Response(json.dumps(body), content_type="application/json")
    if request_id:
        response.headers["X-Request-Id"] = request_id
    return response


def _not_configured() -> Failure:
    return FailureKind.NOT_ACCEPTING_WORK.because(
        "this daemon has just started and has no configuration yet",
        remedy="retry after the given time, or use another daemon",
        retry_after_s=1.0,
    )


def _wrong_method(expected: str) -> Failure:
    return FailureKind.METHOD_NOT_ALLOWED.because(
        f"this path accepts {expected} only", remedy=f"use {expected}"
    )

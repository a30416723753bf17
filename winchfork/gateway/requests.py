"""Parses and checks callers' requests: headers, bodies, limits. Errors are typed failures."""

from __future__ import annotations

import dataclasses
import json
from typing import Annotated, Any, Literal

import pydantic
from werkzeug.exceptions import ClientDisconnected, RequestEntityTooLarge, RequestTimeout
from werkzeug.wrappers import Request

from winchfork.constants import (
    DEFAULT_DEADLINE_S,
    MAX_BODY_BYTES,
    MAX_DEADLINE_S,
    MAX_HEADER_VALUE_BYTES,
    MAX_OUTPUT_TOKENS,
)
from winchfork.core.configuration import (
    InstalledConfiguration,
    Pool,
    Tenant,
    TrafficClass,
    describe_validation_error,
    hash_api_key,
)
from winchfork.errors import Failure, FailureKind

_DEFAULT_OUTPUT_TOKENS = 256
_CHECKED_HEADERS = (
    "X-Request-Id",
    "Idempotency-Key",
    "X-Winchfork-Class",
    "X-Winchfork-Deadline-Ms",
    "X-Winchfork-Not-Repeatable",
    "X-Winchfork-First-Send",
)


class _Body(pydantic.BaseModel):
    """Fields of both request kinds. Unknown fields, such as sampling options, are ignored."""

    model: Annotated[str, pydantic.Field(min_length=1, max_length=128)]
    max_tokens: Annotated[int, pydantic.Field(ge=1, le=MAX_OUTPUT_TOKENS)] = _DEFAULT_OUTPUT_TOKENS
    stream: bool = False


class _CompletionBody(_Body):
    prompt: Annotated[str, pydantic.Field(min_length=1)]


class _ChatMessage(pydantic.BaseModel):
    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str


class _ChatBody(_Body):
    messages: Annotated[list[_ChatMessage], pydantic.Field(min_length=1)]


@dataclasses.dataclass(frozen=True)
class CallerContext:
    """The tenant and the terms of one request; ``deadline_s`` counts from its arrival."""

    tenant: Tenant
    traffic_class: TrafficClass
    caller_request_id: str
    deadline_s: float
    may_wait: bool
    repeatable: bool
    idempotency_key: str | None
    first_send: bool


@dataclasses.dataclass(frozen=True)
class GenerationRequest:
    """A completion or chat request, reduced to one prompt text."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    is_chat: bool


def render_chat(messages: list[tuple[str, str]]) -> str:
    """Return the prompt text of (role, content) messages; more messages only append to it."""
    return "".join(f"<|{role}|>\n{content}\n" for role, content in messages)


def read_body(request: Request) -> bytes | Failure:
    """Read the whole body within the size and time limits."""
    request.max_content_length = MAX_BODY_BYTES
    try:
        return request.get_data(cache=False)
    except RequestEntityTooLarge:
        return FailureKind.BODY_TOO_LARGE.because(
            f"the body exceeds {MAX_BODY_BYTES} bytes", remedy="send a smaller body"
        )
    except (TimeoutError, RequestTimeout):
        return FailureKind.SENDER_STALLED.because(
            "the body did not arrive in time", remedy="send the whole body without pauses"
        )
    except (ClientDisconnected, OSError):
        return FailureKind.CALLER_DISCONNECTED.because(
            "the connection ended before the body was complete"
        )


def parse_generation(body: bytes, *, is_chat: bool) -> GenerationRequest | Failure:
    """Parse a completion or chat body."""
    try:
        document: Any = json.loads(body)
    except (ValueError, RecursionError):
        return FailureKind.INVALID_REQUEST.because(
            "the body is not JSON", remedy="send one JSON object"
        )
    try:
        if is_chat:
            chat = _ChatBody.model_validate(document)
            prompt = render_chat([(item.role, item.content) for item in chat.messages])
            return GenerationRequest(chat.model, prompt, chat.max_tokens, chat.stream, True)
        completion = _CompletionBody.model_validate(document)
    except pydantic.ValidationError as error:
        return FailureKind.INVALID_REQUEST.because(
            describe_validation_error(error), remedy="correct this field"
        )
    return GenerationRequest(
        completion.model, completion.prompt, completion.max_tokens, completion.stream, False
    )


def authenticate(request: Request, configuration: InstalledConfiguration) -> Tenant | Failure:
    """Find the tenant of the request's API key."""
    scheme, _, api_key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not api_key:
        return FailureKind.UNAUTHENTICATED.because(
            "the request has no API key", remedy="send the header Authorization: Bearer KEY"
        )
    tenant = configuration.tenants_by_key.get(hash_api_key(api_key.strip()))
    if tenant is None:
        return FailureKind.UNAUTHENTICATED.because(
            "no tenant has this API key", remedy="check the key with your operator"
        )
    return tenant


def read_context(
    request: Request, tenant: Tenant, pool: Pool, configuration: InstalledConfiguration
) -> CallerContext | Failure:
    """Derive the request's terms from its headers, the rule, the pool and the traffic class."""
    headers = request.headers
    for name in _CHECKED_HEADERS:
        value = headers.get(name, "")
        if len(value) > MAX_HEADER_VALUE_BYTES or not value.isprintable():
            return FailureKind.INVALID_REQUEST.because(
                f"header {name} exceeds {MAX_HEADER_VALUE_BYTES} characters or is not printable",
                remedy="send a short printable value",
            )
    rule = configuration.rule_for(tenant.name, pool.name, request.path)
    class_name = (
        headers.get("X-Winchfork-Class")
        or (rule.traffic_class if rule else None)
        or pool.traffic_class
    )
    traffic_class = configuration.traffic_class(class_name)
    if isinstance(traffic_class, Failure):
        return traffic_class
    deadline_s = _read_deadline(headers.get("X-Winchfork-Deadline-Ms"), traffic_class)
    if isinstance(deadline_s, Failure):
        return deadline_s
    flags: dict[str, bool] = {}
    for name in ("X-Winchfork-Not-Repeatable", "X-Winchfork-First-Send"):
        text = headers.get(name, "false").lower()
        if text not in ("true", "false"):
            return FailureKind.INVALID_REQUEST.because(
                f"header {name} must be true or false", remedy="send true or false"
            )
        flags[name] = text == "true"
    repeatable = pool.repeatable and not flags["X-Winchfork-Not-Repeatable"]
    if rule is not None and rule.repeatable is not None:
        repeatable = repeatable and rule.repeatable
    may_wait = traffic_class.may_wait
    if rule is not None and rule.may_wait is not None:
        may_wait = rule.may_wait
    return CallerContext(
        tenant,
        traffic_class,
        headers.get("X-Request-Id", ""),
        deadline_s,
        may_wait,
        repeatable,
        headers.get("Idempotency-Key"),
        flags["X-Winchfork-First-Send"],
    )


def _read_deadline(text: str | None, traffic_class: TrafficClass) -> float | Failure:
    if text is None:
        return traffic_class.deadline_s or DEFAULT_DEADLINE_S
    if not text.isdigit() or not 0 < int(text) <= MAX_DEADLINE_S * 1000:
        return FailureKind.INVALID_REQUEST.because(
            f"header X-Winchfork-Deadline-Ms must be 1 to {int(MAX_DEADLINE_S * 1000)}",
            remedy="send milliseconds as a whole number",
        )
    return int(text) / 1000.0

"""Responses in the OpenAI format: errors, whole answers and server-sent events."""

from __future__ import annotations

import json
import math
from typing import Any

from werkzeug.wrappers import Response

from winchfork.backends.engine_port import FinishReason
from winchfork.errors import Failure, FailureKind

_STATUS_OF_KIND: dict[FailureKind, int] = {
    FailureKind.INVALID_REQUEST: 400,
    FailureKind.UNAUTHENTICATED: 401,
    FailureKind.NOT_FOUND: 404,
    FailureKind.METHOD_NOT_ALLOWED: 405,
    FailureKind.BODY_TOO_LARGE: 413,
    FailureKind.SENDER_STALLED: 408,
    FailureKind.CLAIM_HELD: 409,
    FailureKind.OVERLOADED: 429,
    FailureKind.CALLER_DISCONNECTED: 499,
    FailureKind.DEADLINE_EXCEEDED: 504,
    FailureKind.OUTCOME_UNKNOWN: 502,
    FailureKind.INTERNAL: 500,
    FailureKind.BACKEND_FAILED: 502,
    FailureKind.STREAM_BROKEN: 502,
    FailureKind.BACKEND_REFUSED: 502,
}
_DEFAULT_STATUS = 503


def status_of(failure: Failure) -> int:
    """Return the HTTP status of a failure."""
    return _STATUS_OF_KIND.get(failure.kind, _DEFAULT_STATUS)


def error_body(failure: Failure, request_id: str) -> dict[str, Any]:
    """Return the OpenAI error object with the stable code and whether the request ran."""
    return {
        "error": {
            "message": failure.reason,
            "type": failure.kind.value,
            "code": failure.kind.value,
            "param": None,
            "ran": failure.ran.value,
            "remedy": failure.remedy,
            "request_id": request_id,
        }
    }


def error_response(failure: Failure, request_id: str) -> Response:
    """Return the HTTP response of a failure."""
    response = Response(
        json.dumps(error_body(failure, request_id)),
        status=status_of(failure),
        content_type="application/json",
    )
    response.headers["X-Request-Id"] = request_id
    if failure.retry_after_s is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(failure.retry_after_s)))
    return response


class AnswerFormat:
    """Builds the body, or the stream events, of one completion or chat answer."""

    def __init__(self, request_id: str, model: str, *, is_chat: bool, created_s: int) -> None:
        self._is_chat = is_chat
        object_name = "chat.completion" if is_chat else "text_completion"
        self._whole = {
            "id": request_id,
            "object": object_name,
            "created": created_s,
            "model": model,
        }
        stream_object_name = "chat.completion.chunk" if is_chat else object_name
        head = {**self._whole, "object": stream_object_name}
        self._chunk_head = json.dumps(head)[:-1]

    def piece(self, text: str) -> bytes:
        """Return the event of one piece of text."""
        quoted = json.dumps(text)
        if self._is_chat:
            choice = f'{{"index": 0, "delta": {{"content": {quoted}}}, "finish_reason": null}}'
        else:
            choice = f'{{"index": 0, "text": {quoted}, "finish_reason": null}}'
        return f'data: {self._chunk_head}, "choices": [{choice}]}}\n\n'.encode()

    def end(self, reason: FinishReason, usage: dict[str, Any]) -> bytes:
        """Return the events that end a complete stream."""
        empty: dict[str, Any] = {"delta": {}} if self._is_chat else {"text": ""}
        choice = {"index": 0, **empty, "finish_reason": reason.value}
        tail = json.dumps({"choices": [choice], "usage": usage})[1:]
        return f"data: {self._chunk_head}, {tail}\n\ndata: [DONE]\n\n".encode()

    def error_event(self, failure: Failure, request_id: str) -> bytes:
        """Return the event that ends an incomplete stream; no DONE follows."""
        body = json.dumps(error_body(failure, request_id))
        return f"event: error\ndata: {body}\n\n".encode()

    def whole(self, text: str, reason: FinishReason, usage: dict[str, Any]) -> dict[str, Any]:
        """Return the body of a whole answer."""
        if self._is_chat:
            content: dict[str, Any] = {"message": {"role": "assistant", "content": text}}
        else:
            content = {"text": text}
        choice = {"index": 0, **content, "finish_reason": reason.value}
        return {**self._whole, "choices": [choice], "usage": usage}


def usage_body(prompt_tokens: int, completion_tokens: int, cached_tokens: int) -> dict[str, Any]:
    """Return the usage object."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }

"""Translates the platform's HTTP headers to the router's header fields, and back."""

from __future__ import annotations

from winchfork.core.prompt_parts import Prompt, PromptPart
from winchfork.decoding import MAX_ID_DIGITS, read_count
from winchfork.errors import Failure, FailureKind
from winchfork.platform import names
from winchfork.platform.forwarded_headers import forwarded_headers
from winchfork.platform.notices import read_notice
from winchfork.router.header_codec import AnswerFields, DispatchFields, RequestFields
from winchfork.router.http_types import AnswerHead, Headers


class PlatformHeaderCodec:
    """Implements :class:`winchfork.router.header_codec.HeaderCodec` with the platform's headers."""

    def read_request(self, headers: Headers) -> RequestFields | Failure:
        """Read the headers of a caller's request."""
        found = _by_name(headers)
        request_id = found.get(names.REQUEST_ID.lower(), "")
        if not request_id:
            return _invalid_header(
                names.REQUEST_ID, "is missing", "send a unique id with each attempt"
            )
        deadline = found.get(names.DEADLINE_MS.lower())
        deadline_s = _milliseconds(deadline) if deadline is not None else None
        if deadline is not None and deadline_s is None:
            return _invalid_header(names.DEADLINE_MS, "is not a number", "send whole milliseconds")
        prompt = _prompt(found)
        if isinstance(prompt, Failure):
            return prompt
        return RequestFields(
            request_id=request_id,
            deadline_s=deadline_s,
            api_key=found.get(names.API_KEY.lower()),
            prompt=prompt,
            resume_after=read_count(found.get(names.LAST_EVENT_ID.lower(), ""), MAX_ID_DIGITS),
            origin_id=found.get(names.RESUMES.lower()) or None,
            declared_tokens=_declared_tokens(found.get(names.TOKEN_USAGE.lower(), "")),
        )

    def dispatch_headers(self, headers: Headers, fields: DispatchFields) -> Headers:
        """Return the headers for a replica: forwarded ones and those that the router sets."""
        result = forwarded_headers(headers)
        added: list[tuple[bytes, object]] = [
            (names.DEADLINE_MS, max(1, int(fields.deadline_s * 1000))),
            (names.EXPECTED_INSTANCE, fields.replica_id),
            (names.TENANT, fields.tenant),
            (names.REQUEST_PRIORITY, fields.priority),
            (names.CACHE_SALT, fields.namespace),
            (names.EXPECTED_VERSION, fields.weights_version),
            (names.LAST_EVENT_ID, fields.resume_after),
            (names.KV_FETCH, fields.copy_from),
            (names.KV_SAVE, fields.save_to),
        ]
        result += [
            (name, str(value).encode("latin-1")) for name, value in added if value is not None
        ]
        return result

    def read_answer(self, head: AnswerHead) -> AnswerFields:
        """Read the headers of a replica's answer."""
        found = _by_name(head.headers)
        return AnswerFields(
            request_id=found.get(names.REQUEST_ID.lower()),
            authentic=names.SIGNATURE.lower() in found,
            not_run=names.NOT_EXECUTED.lower() in found,
            misdirected=head.status == names.STATUS_MISDIRECTED,
            weights_version=read_count(found.get(names.WEIGHT_VERSIONS.lower(), "")),
            replica_id=found.get(names.INSTANCE_ID.lower()),
            notice=read_notice(head),
            status_means_not_run=head.status in names.STATUSES_NOT_RUN,
        )


def _by_name(headers: Headers) -> dict[bytes, str]:
    return {name.lower(): value.decode("latin-1").strip() for name, value in headers}


def _declared_tokens(usage: str) -> int | None:
    """Return the sum of the prompt and output tokens; None if the prompt tokens are not given."""
    prompt_text, _, output_text = usage.partition(",")
    prompt_tokens = read_count(prompt_text.strip())
    if prompt_tokens is None:
        return None
    return prompt_tokens + (read_count(output_text.strip()) or 0)


def _milliseconds(text: str) -> float | None:
    try:
        return max(0.0, float(text) / 1000.0)
    except ValueError:
        return None


def _prompt(found: dict[bytes, str]) -> Prompt | Failure | None:
    model = found.get(names.MODEL.lower())
    if not model:
        return None
    parts: list[PromptPart] = []
    for entry in filter(None, found.get(names.PREFIX_HASH.lower(), "").split(",")):
        part_id, _, text = entry.strip().partition(":")
        tokens = read_count(text)
        if tokens is None:
            return _invalid_header(
                names.PREFIX_HASH,
                f"holds {entry[:40]!r}",
                "send ID:TOKENS pairs separated by commas",
            )
        parts.append(PromptPart(part_id, tokens))
    usage = found.get(names.TOKEN_USAGE.lower(), "")
    prompt_text, _, output_text = usage.partition(",")
    prompt_tokens = read_count(prompt_text.strip())
    if usage and prompt_tokens is None:
        return _invalid_header(
            names.TOKEN_USAGE,
            f"holds {usage[:40]!r}",
            "send PROMPT_TOKENS,OUTPUT_TOKENS as whole numbers",
        )
    if prompt_tokens is None:
        prompt_tokens = sum(part.tokens for part in parts)
    return Prompt(model, tuple(parts), prompt_tokens, read_count(output_text.strip()) or 0)


def _invalid_header(name: bytes, problem: str, remedy: str) -> Failure:
    return FailureKind.INVALID_REQUEST.because(f"{name.decode()} {problem}", remedy=remedy)

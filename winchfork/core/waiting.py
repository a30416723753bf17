"""Stored documents of durable requests that may wait. No I/O.

Accepted requests are written to the key-value store in batches, one write for many requests. A
shared prompt head is stored once under its hash, and each request holds the hash and its own tail.
A batch is immutable; answers go to a second document, in which the first recorded answer of a
request is final, even if the request runs more than once.
"""

from __future__ import annotations

import dataclasses
import hashlib
import json

from winchfork.constants import BLOCK_BYTES

#: Maximum requests in one batch; bounds the size of one stored value.
MAX_BATCH_REQUESTS = 200
#: Maximum bytes of prompt tails in one batch.
MAX_BATCH_BYTES = 1_000_000
_HASH_BYTES = 16


@dataclasses.dataclass(frozen=True)
class WaitingRequest:
    """One accepted request. ``head_hash`` is the hash of its stored head; empty for none."""

    tenant: str
    traffic_class: str
    pool: str
    model: str
    head_hash: str
    tail: str
    max_tokens: int
    is_chat: bool


@dataclasses.dataclass(frozen=True)
class WaitingAnswer:
    """Result of a request: its text, or the code and reason of a final failure."""

    text: str = ""
    finish_reason: str = ""
    completion_tokens: int = 0
    cached_tokens: int = 0
    failure_code: str = ""
    failure_reason: str = ""


@dataclasses.dataclass(frozen=True)
class WaitingBatch:
    """Requests that were accepted with one write."""

    batch_id: str
    requests: tuple[WaitingRequest, ...]

    def to_text(self) -> bytes:
        """Encode the batch as it is stored."""
        return json.dumps(
            {
                "batch_id": self.batch_id,
                "requests": [dataclasses.asdict(request) for request in self.requests],
            }
        ).encode()

    @classmethod
    def from_text(cls, text: bytes) -> WaitingBatch:
        """Decode a stored batch."""
        document = json.loads(text)
        requests = tuple(WaitingRequest(**item) for item in document["requests"])
        return cls(document["batch_id"], requests)

    def request_id(self, number: int) -> str:
        """Return the id under which a caller fetches the answer of a request."""
        return f"{self.batch_id}.{number}"


def parse_request_id(request_id: str) -> tuple[str, int] | None:
    """Return the batch id and the request's number, or None for a malformed id."""
    batch_id, _, number = request_id.rpartition(".")
    if not batch_id or not number.isdigit():
        return None
    return batch_id, int(number)


def split_prompt(prompt: str) -> tuple[str, str, str]:
    """Return (hash, head, tail): the head holds all whole blocks of the prompt except the last one.

    Prompts that share all whole blocks but the last share one stored head. Lengths are counted in
    characters, so that no character is split.
    """
    head_length = max(0, len(prompt) // BLOCK_BYTES - 1) * BLOCK_BYTES
    head, tail = prompt[:head_length], prompt[head_length:]
    if not head:
        return "", "", tail
    digest = hashlib.blake2b(head.encode(), digest_size=_HASH_BYTES).hexdigest()
    return digest, head, tail


class BatchAnswers:
    """The recorded answers of one batch; the first answer to a request is final."""

    def __init__(self, answers: dict[int, WaitingAnswer] | None = None) -> None:
        self.answers = dict(answers or {})

    def record(self, number: int, answer: WaitingAnswer) -> bool:
        """Record an answer; False when the request has one already."""
        if number in self.answers:
            return False
        self.answers[number] = answer
        return True

    def to_text(self) -> bytes:
        """Encode the answers as they are stored."""
        document = {str(n): dataclasses.asdict(a) for n, a in sorted(self.answers.items())}
        return json.dumps(document).encode()

    @classmethod
    def from_text(cls, text: bytes) -> BatchAnswers:
        """Decode stored answers."""
        document = json.loads(text)
        return cls({int(number): WaitingAnswer(**item) for number, item in document.items()})

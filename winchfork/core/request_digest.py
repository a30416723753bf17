"""Identifies equal requests across attempts, and equal prompt parts across requests.

Requests are equal if their caller, method, host, target and body are, whatever their request ids.
"""

from __future__ import annotations

import hashlib

from winchfork.core.prompt_parts import Prompt

#: Long enough to be collision-resistant, so that no caller can forge another request's digest.
DIGEST_BYTES = 16


def request_digest(caller: str, method: bytes, host: str, target: bytes, body: bytes) -> bytes:
    """Return the digest of a request.

    ``caller`` is the tenant's name, the API key of an unknown tenant, or empty without a key.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (caller.encode(), method, host.encode(), target):
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field)
    digest.update(body)
    return digest.digest()


def shared_part_digests(prompt: Prompt | None) -> tuple[bytes, ...]:
    """Return the digests of a prompt's shared parts, in order and without repetitions.

    A part is identified with its model, since other models compute other states from it. Callers,
    places in the prompt and weights versions make no difference.
    """
    if prompt is None:
        return ()
    return tuple(
        dict.fromkeys(_part_digest(prompt.model, part.part_id) for part in prompt.shared_parts)
    )


def _part_digest(model: str, part_id: str) -> bytes:
    return hashlib.blake2b(
        f"{len(model)}:{model}{part_id}".encode(), digest_size=DIGEST_BYTES, person=b"part"
    ).digest()

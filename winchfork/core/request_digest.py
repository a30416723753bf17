"""Identifies equal requests across attempts, whatever their request ids.

Requests are equal if their caller, method, host, target and body are.
"""

from __future__ import annotations

import hashlib

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

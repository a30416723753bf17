"""Names a request beyond one try: the same caller, method, host, target and body, under any id."""

from __future__ import annotations

import hashlib

#: Bytes of a digest. It is cryptographic: nobody can make a request that has another's digest.
DIGEST_BYTES = 16


def request_digest(caller: str, method: bytes, host: str, target: bytes, body: bytes) -> bytes:
    """Return the digest of a request; ``caller`` is its tenant, or its key where it has none."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (caller.encode(), method, host.encode(), target):
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field)
    digest.update(body)
    return digest.digest()

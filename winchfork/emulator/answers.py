"""The text that an emulated engine generates: a pure function of prompt and token offset.

A load generator computes the same text to check that each caller received the complete answer to
its own request.
"""

from __future__ import annotations

import xxhash


def answer_digest(prompt: str) -> str:
    """Return the digest that every token of the answer to ``prompt`` starts with."""
    return xxhash.xxh3_64_hexdigest(prompt.encode())[:8]


def answer_token(digest: str, offset: int) -> str:
    """Return the text of the token at ``offset``."""
    return f"{digest}-{offset} "


def answer_text(prompt: str, tokens: int) -> str:
    """Return the complete answer of ``tokens`` tokens to ``prompt``."""
    digest = answer_digest(prompt)
    return "".join(answer_token(digest, offset) for offset in range(tokens))

"""The text that an emulated engine generates: a pure function of the prompt and the position.

Because anyone can compute it, a load generator can check that each caller received the whole answer
to its own request.
"""

from __future__ import annotations

import xxhash


def answer_digest(prompt: str) -> str:
    """Return the tag that marks every token of the answer to ``prompt``."""
    return xxhash.xxh3_64_hexdigest(prompt.encode())[:8]


def answer_token(digest: str, offset: int) -> str:
    """Return the text of one token."""
    return f"{digest}-{offset} "


def answer_text(prompt: str, tokens: int) -> str:
    """Return a whole answer."""
    digest = answer_digest(prompt)
    return "".join(answer_token(digest, offset) for offset in range(tokens))

"""Reads the state of the platform's store from the headers of its answers."""

from __future__ import annotations

from winchfork.decoding import read_count
from winchfork.router.http_types import AnswerHead
from winchfork.stores.async_key_value import StoreAnswer

_ERA = b"store-era"
_STORE_PREFIX = b"store-"
#: Unknown header names are cut to this length.
_MAX_SHOWN_CHARS = 40


def read_store_answer(head: AnswerHead) -> StoreAnswer:
    """Read an answer's head.

    The era is 0 if it is missing, is not a number or has conflicting values.
    """
    eras: set[bytes] = set()
    unknown: list[str] = []
    for name, value in head.headers:
        lowered = name.lower()
        if lowered == _ERA:
            eras.update(text.strip() for text in value.split(b","))
        elif lowered.startswith(_STORE_PREFIX):
            unknown.append(lowered[:_MAX_SHOWN_CHARS].decode("latin-1"))
    era = read_count(eras.pop()) if len(eras) == 1 else None
    return StoreAnswer(head.status, era or 0, tuple(unknown))

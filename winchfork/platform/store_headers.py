"""What the headers of the platform's store say of the store itself."""

from __future__ import annotations

from winchfork.router.http_types import AnswerHead
from winchfork.stores.async_key_value import StoreAnswer

_ERA = b"store-era"
_OWN_PREFIX = b"store-"
#: The wire's numbers fit into 53 bits; longer texts are no eras.
_MAX_DIGITS = 15
#: Length up to which an unknown name is shown.
_MAX_SHOWN_CHARS = 40


def read_store_answer(head: AnswerHead) -> StoreAnswer:
    """Read an answer's head; an era that is no number, or named in two ways, counts as none."""
    eras: set[bytes] = set()
    unknown: list[str] = []
    for name, value in head.headers:
        lowered = name.lower()
        if lowered == _ERA:
            eras.update(text.strip() for text in value.split(b","))
        elif lowered.startswith(_OWN_PREFIX):
            unknown.append(lowered[:_MAX_SHOWN_CHARS].decode("latin-1"))
    era = _number(eras.pop()) if len(eras) == 1 else 0
    return StoreAnswer(head.status, era, tuple(unknown))


def _number(text: bytes) -> int:
    return int(text) if text.isdigit() and len(text) <= _MAX_DIGITS else 0

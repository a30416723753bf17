"""Decodes what other processes have written into typed values. Nothing that they write raises."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec

from winchfork.errors import Failure, FailureKind

#: What msgspec raises for bytes that it cannot decode; the second is for deep nesting.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)

#: Numbers that a double holds exactly, so that no arithmetic with them overflows.
_MAX_NUMBER = 2**53
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
Number = Annotated[int, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
Quantity = Annotated[float, msgspec.Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]
#: Digits of the longest whole numbers in texts: within the numbers above, and within 64 bits.
MAX_COUNT_DIGITS = 15
MAX_ID_DIGITS = 19

_Shape = TypeVar("_Shape")


def decode_json(
    data: bytes, shape: type[_Shape], label: str, kind: FailureKind = FailureKind.BAD_DOCUMENT
) -> _Shape | Failure:
    """Decode JSON as ``shape``; the failure is of ``kind`` and names ``label``."""
    try:
        return msgspec.json.decode(data, type=shape)
    except DECODE_ERRORS as error:
        return kind.because(
            f"{label}: {error}", remedy="correct the document to match the expected schema"
        )


def read_count(text: str | bytes, max_digits: int = MAX_COUNT_DIGITS) -> int | None:
    """Return the whole number that ASCII digits give; None for any other text, or a longer one."""
    if len(text) > max_digits or not (text.isascii() and text.isdigit()):
        return None
    return int(text)

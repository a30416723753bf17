"""Which of a caller's headers a replica is given.

What the wire defines has an owner in :data:`winchfork.platform.names.HEADER_OWNERS`. A header that
the table does not list passes only if its name shares no namespace with those that the router or a
replica sets, so that one which a replica understands and nobody listed cannot be forged.
"""

from __future__ import annotations

from typing import Final

from winchfork.platform import names
from winchfork.platform.names import HeaderOwner
from winchfork.router.http_types import Headers, end_to_end

_LENGTH: Final = b"content-length"
_EXTENSION_PREFIX: Final = b"x-"
_OWNERS: Final = {name.lower(): owner for name, owner in names.HEADER_OWNERS.items()}
_CALLER_HEADERS: Final = frozenset(
    name for name, owner in _OWNERS.items() if owner is HeaderOwner.CALLER
)
#: Headers of HTTP itself whose names begin like one of the wire's.
_STANDARD: Final = frozenset({b"cache-control"})


def _namespace(name: bytes) -> bytes:
    """Return the first word of a header's name, however it is spelled: ``kv`` of ``X_Kv-Fetch``."""
    return _normalize(name).removeprefix(_EXTENSION_PREFIX).partition(b"-")[0]


def _normalize(name: bytes) -> bytes:
    """Return a name in the spelling of the table, in which some servers read underscores too."""
    return name.lower().replace(b"_", b"-")


_RESERVED_NAMESPACES: Final = frozenset(
    _namespace(name)
    for name, owner in _OWNERS.items()
    if name.startswith(_EXTENSION_PREFIX) and owner is not HeaderOwner.CALLER
) | {_namespace(names.KV_FROM)}


def is_forwardable(name: bytes) -> bool:
    """Whether a replica is given what a caller sent under this name."""
    lower = name.lower()
    if lower in _CALLER_HEADERS or lower in _STANDARD:
        return True
    return _normalize(name) not in _OWNERS and _namespace(name) not in _RESERVED_NAMESPACES


def forwarded_headers(headers: Headers) -> Headers:
    """Return the caller's headers that travel on, without the length of the body.

    A caller cannot take a header of the wire out by naming it in ``Connection``.
    """
    return [
        (name, value)
        for name, value in end_to_end(headers, keep=_CALLER_HEADERS)
        if name.lower() != _LENGTH and is_forwardable(name)
    ]

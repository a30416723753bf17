"""Selects the headers of a caller that are forwarded to a replica.

:data:`winchfork.platform.names.HEADER_OWNERS` names the owner of each header of the platform. A
header that is not in the table is forwarded only if it shares no namespace with an ``X-`` header
whose owner is not the caller. Otherwise a caller could forge an internal header that is not listed.
"""

from __future__ import annotations

from typing import Final

from winchfork.platform import names
from winchfork.platform.names import HeaderOwner
from winchfork.router.http_types import Headers, end_to_end

_CONTENT_LENGTH: Final = b"content-length"
_EXTENSION_PREFIX: Final = b"x-"
_OWNERS: Final = {name.lower(): owner for name, owner in names.HEADER_OWNERS.items()}
_CALLER_HEADERS: Final = frozenset(
    name for name, owner in _OWNERS.items() if owner is HeaderOwner.CALLER
)
#: Standard HTTP headers that are forwarded although they share a reserved namespace.
_STANDARD_HEADERS: Final = frozenset({b"cache-control"})


def _namespace(name: bytes) -> bytes:
    """Return the first word of a name without ``X-``: ``kv`` for ``X_Kv-Fetch`` and ``Kv-From``."""
    return _normalize(name).removeprefix(_EXTENSION_PREFIX).partition(b"-")[0]


def _normalize(name: bytes) -> bytes:
    """Return a name in lower case with hyphens; some servers treat underscores as hyphens."""
    return name.lower().replace(b"_", b"-")


_RESERVED_NAMESPACES: Final = frozenset(
    _namespace(name)
    for name, owner in _OWNERS.items()
    if name.startswith(_EXTENSION_PREFIX) and owner is not HeaderOwner.CALLER
) | {_namespace(names.KV_FROM)}


def is_forwardable(name: bytes) -> bool:
    """Whether a caller's header of this name is forwarded to a replica."""
    lower = name.lower()
    if lower in _CALLER_HEADERS or lower in _STANDARD_HEADERS:
        return True
    return _normalize(name) not in _OWNERS and _namespace(name) not in _RESERVED_NAMESPACES


def forwarded_headers(headers: Headers) -> Headers:
    """Return the caller's headers to forward, without ``Content-Length``.

    Headers that the platform assigns to the caller are forwarded even if ``Connection`` names them.
    """
    return [
        (name, value)
        for name, value in end_to_end(headers, keep=_CALLER_HEADERS)
        if name.lower() != _CONTENT_LENGTH and is_forwardable(name)
    ]

"""Guards against callers' headers that impersonate the router towards replicas."""

from __future__ import annotations

import unittest
from collections.abc import Iterator

from winchfork.platform import names
from winchfork.platform.forwarded_headers import forwarded_headers, is_forwardable
from winchfork.platform.headers import PlatformHeaderCodec
from winchfork.platform.names import HEADER_OWNERS, HeaderOwner
from winchfork.router.header_codec import DispatchFields
from winchfork.router.http_types import Headers

FORGED = b"forged"
PLAIN: Headers = [(b"Host", b"jepu9.example"), (b"X-Request-Id", b"9c41d07be2a35f68")]
PROMPT: Headers = [
    *PLAIN,
    (b"X-Model", b"daka510000"),
    (b"X-Token-Usage", b"1460,80"),
    (b"X-Prefix-Hash", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
]
#: Undocumented names that a replica might understand.
UNLISTED = (b"Kv-Source", b"X-Kv-Move", b"X-Hold-Ms", b"X-Expected-Sequence", b"X-Tenant", b"x-pin")


def spellings(name: bytes) -> Iterator[bytes]:
    """Yield the spellings of a name that a caller may use."""
    yield name
    yield name.lower()
    yield name.upper()
    yield name.replace(b"-", b"_")


def names_of(owner: HeaderOwner) -> list[bytes]:
    """Return the headers of one owner."""
    return [name for name, its_owner in HEADER_OWNERS.items() if its_owner is owner]


class ForwardedHeadersTest(unittest.TestCase):
    def _dispatched(self, request: Headers, forged: Headers) -> Headers:
        fields = DispatchFields(deadline_s=1.5, replica_id="i-7f3a91c2", tenant="jeye930")
        return PlatformHeaderCodec().dispatch_headers(request + forged, fields)

    def test_every_header_name_of_the_module_has_an_owner(self) -> None:
        listed = set(HEADER_OWNERS)
        for label, value in vars(names).items():
            if label.isupper() and isinstance(value, bytes):
                self.assertIn(value, listed, label)

    def test_headers_that_callers_may_not_set_are_removed(self) -> None:
        forbidden = [
            name for name, owner in HEADER_OWNERS.items() if owner is not HeaderOwner.CALLER
        ]
        for request in (PLAIN, PROMPT):
            for name in (*forbidden, *UNLISTED):
                for spelled in spellings(name):
                    with self.subTest(name=spelled, prompt=request is PROMPT):
                        for forged in ([(spelled, FORGED)], [(spelled, FORGED)] * 2):
                            values = [value for _, value in self._dispatched(request, forged)]
                            self.assertNotIn(FORGED, values)

    def test_a_resumed_run_cannot_be_forged(self) -> None:
        """A forged copy source would make the replica refuse the request."""
        self.assertFalse(is_forwardable(b"Kv-From"))
        self.assertFalse(is_forwardable(b"kv-from"))

    def test_callers_own_headers_are_forwarded_unchanged(self) -> None:
        for name in names_of(HeaderOwner.CALLER):
            for spelled in (name, name.lower(), name.upper()):
                self.assertEqual(forwarded_headers([(spelled, b"own")]), [(spelled, b"own")])

    def test_other_headers_are_forwarded(self) -> None:
        for name in (b"Accept", b"Content-Type", b"Cache-Control", b"X-Trace", b"Traceparent"):
            self.assertTrue(is_forwardable(name), name)

    def test_connection_header_cannot_remove_a_protocol_header(self) -> None:
        headers: Headers = [*PROMPT, (b"Connection", b"X-Model, X-Private"), (b"X-Private", b"1")]
        forwarded = [name for name, _ in forwarded_headers(headers)]
        self.assertIn(b"X-Model", forwarded)
        self.assertNotIn(b"X-Private", forwarded)

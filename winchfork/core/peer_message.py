"""The base of everything that daemons send each other: frozen records, arrays on the wire.

Field order is the wire format, so new fields go at the end of a message. ``gc=False``: messages are
trees without cycles, and the collector need not walk them.
"""

from __future__ import annotations

import msgspec


class PeerMessage(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, gc=False
):
    """A message between daemons, or a part of one."""

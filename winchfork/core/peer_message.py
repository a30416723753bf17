"""Base class of all messages between daemons: frozen records, encoded as arrays.

Field order is the wire format. Different builds run side by side during an upgrade, so a new field
is appended and has a default: an older writer omits it, and an older reader ignores it. Messages
contain no reference cycles, so ``gc=False`` is safe.
"""

from __future__ import annotations

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A message between daemons, or a part of one."""

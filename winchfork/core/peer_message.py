"""The base of everything that daemons send each other: frozen records, arrays on the wire.

Field order is the wire format. Builds run beside each other while machines are replaced, so what
one writes the other reads: a new field goes to the end and has a default, which an older writer
leaves out and an older reader passes over. ``gc=False``: messages are trees without cycles, and the
collector need not walk them.
"""

from __future__ import annotations

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A message between daemons, or a part of one."""

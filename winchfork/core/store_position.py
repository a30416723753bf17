"""A moment in the life of the platform's store, as its answers name it."""

from __future__ import annotations

import msgspec


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """A revision within an era; a later era is later, whatever the revisions.

    A store that comes back from a copy begins the next era and gives revisions out again: two of
    different eras say nothing about each other. Era 0: the store names none.
    """

    era: int = 0
    revision: int = 0

"""A position in the history of the platform's store, as given in its answers."""

from __future__ import annotations

import msgspec

#: Era of a store that has never been restored from a backup.
FIRST_ERA = 1


class StorePosition(msgspec.Struct, frozen=True, order=True):
    """A revision within an era; a later era is later, whatever the revisions.

    A store restored from a backup begins the next era and reuses revisions, so revisions of
    different eras are not comparable. Era 0 stands for a store that reports no era.
    """

    era: int = 0
    revision: int = 0

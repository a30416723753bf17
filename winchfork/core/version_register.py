"""The versions of each service's software that may have begun a stream, as recorded for the fleet.

A daemon that has just started has missed every entry of before. The record stands for these: it
names each version that was listed within the span in which a stream may still be continued. A
daemon that sees a listed version missing from the record adds it; a version is removed only by one
that has missed nothing for longer than the span.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from winchfork.core.software_history import MAX_AGE_S, SoftwareHistory

#: Seconds beyond the span for which a version stays in the record. Daemons see a version's last
#: listing at different times, and one that saw it later would add it again.
REMOVAL_MARGIN_S = 10.0

#: Versions by service.
Versions = Mapping[str, Iterable[str]]


class VersionRecord(msgspec.Struct, frozen=True):
    """The versions by service, valid in one era of the store: a restored copy may lack some."""

    era: int
    services: dict[str, tuple[str, ...]]


class VersionRegister:
    """The fleet's record as one daemon knows it, and what it has seen listed itself."""

    def __init__(self) -> None:
        self.record: VersionRecord | None = None
        #: Store revision of the record; 0 if there is none.
        self.revision = 0
        #: What this daemon has seen listed, without what it knows from the record alone.
        self.sightings = SoftwareHistory()
        #: Versions of the record that was valid last, in an era before.
        self._carried: Versions = {}
        #: Whether this daemon knew all versions when the era began, and has missed none since.
        self._is_informed = False

    def install(self, record: VersionRecord | None, revision: int) -> Versions:
        """Replace the record; None: it is absent or garbled. Return the versions that are new."""
        known = self.record.services if self.record is not None else {}
        self.record, self.revision = record, revision
        return difference(record.services, known) if record is not None else {}

    def is_valid(self, era: int) -> bool:
        """Whether there is a record, and it was written in this era of the store."""
        return self.record is not None and self.record.era == era

    def count(self, era: int) -> int:
        """Return the number of versions in the record; 0 if it is not valid."""
        if self.record is None or not self.is_valid(era):
            return 0
        return sum(len(versions) for versions in self.record.services.values())

    def begin_era(self, ended: int, *, is_informed: bool) -> None:
        """Record that a new era follows the ``ended`` one, whose record is void now.

        ``is_informed``: this daemon's own history was complete.
        """
        if self.record is not None and self.is_valid(ended):
            self._carried = self.record.services
            is_informed = True
        self._is_informed = self._is_informed or is_informed

    def record_unseen(self) -> None:
        """Record that versions may have been listed unseen by this daemon."""
        self._is_informed = False

    def revised(
        self, era: int, history: SoftwareHistory, span_s: float, now_s: float
    ) -> VersionRecord | None:
        """Return the record that a leader writes; None if it has nothing to change.

        ``history`` holds what this daemon knows from its list and from the record.
        """
        kept_s = span_s + REMOVAL_MARGIN_S
        known = history.versions_by_service(kept_s, now_s)
        if self.record is None or not self.is_valid(era):
            if not self._is_informed and not history.is_complete(span_s, now_s):
                return None
            return _record(era, union(known, self._carried))
        services: Versions = union(self.record.services, self.missing(span_s, now_s))
        if kept_s <= MAX_AGE_S and history.is_complete(kept_s, now_s):
            services = difference(services, difference(services, known))
        revised = _record(era, services)
        return revised if revised != _record(era, self.record.services) else None

    def extended(self, era: int, span_s: float, now_s: float) -> VersionRecord | None:
        """Return the record that any daemon writes; None if it has nothing to add."""
        if self.record is None or not self.is_valid(era):
            return None
        missing = self.missing(span_s, now_s)
        return _record(era, union(self.record.services, missing)) if missing else None

    def missing(self, span_s: float, now_s: float) -> Versions:
        """Return the versions seen listed within the span that the record lacks."""
        recorded = self.record.services if self.record is not None else {}
        return difference(self.sightings.versions_by_service(span_s, now_s), recorded)


def union(left: Versions, right: Versions) -> dict[str, frozenset[str]]:
    """Return the versions that are in either."""
    services = left.keys() | right.keys()
    return {
        service: frozenset(left.get(service, ())) | frozenset(right.get(service, ()))
        for service in services
    }


def difference(left: Versions, right: Versions) -> dict[str, frozenset[str]]:
    """Return the versions of the first that the second lacks, without services that have none."""
    remaining = {
        service: frozenset(versions).difference(right.get(service, ()))
        for service, versions in left.items()
    }
    return {service: versions for service, versions in remaining.items() if versions}


def _record(era: int, versions: Versions) -> VersionRecord:
    services = {service: tuple(sorted(versions[service])) for service in sorted(versions)}
    return VersionRecord(era, {service: items for service, items in services.items() if items})

"""When each version of a service's software was last listed, and how far back nothing was missed.

A stream is of one of the versions that were listed when it may have begun, or shortly before: a
replica that is no longer listed may still begin streams at daemons whose list is old. If there was
only one, it began every stream; but not if entries may have been missed in that time.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

#: Seconds after the removal of a replica's entry in which it may still begin streams.
DEPARTED_S = 10.0
#: Seconds after which a version that is not listed is forgotten.
MAX_AGE_S = 300.0


class SoftwareHistory:
    """The versions of each service by the time of their last listing, in monotonic seconds."""

    def __init__(self) -> None:
        #: Since when each entry was seen; infinite before the first list.
        self._complete_since_s = math.inf
        self._last_listed_s: dict[str, dict[str, float]] = {}

    def restart(self, now_s: float) -> None:
        """Record that entries of before may have been missed."""
        self._complete_since_s = now_s

    def seed(self, versions: Mapping[str, Iterable[str]], now_s: float) -> None:
        """Record all versions that may have begun a stream before now; the history is complete."""
        for service, listed in versions.items():
            for software in listed:
                self.record_listed(service, software, now_s)
        self._complete_since_s = -math.inf

    def record_listed(self, service: str, software: str, now_s: float) -> None:
        """Record that a replica of a service is listed with a version."""
        self._last_listed_s.setdefault(service, {})[software] = now_s

    def is_complete(self, for_s: float, now_s: float) -> bool:
        """Whether no entry of the last ``for_s`` seconds can have been missed."""
        return now_s - self._complete_since_s >= for_s

    def versions(self, service: str, for_s: float, now_s: float) -> frozenset[str]:
        """Return the versions that were seen listed within the last ``for_s`` seconds."""
        last_listed_s = self._last_listed_s.get(service, {})
        return frozenset(
            software for software, at_s in last_listed_s.items() if now_s - at_s <= for_s
        )

    def versions_by_service(self, for_s: float, now_s: float) -> dict[str, frozenset[str]]:
        """Return the versions of each service, without services that have none."""
        found = {service: self.versions(service, for_s, now_s) for service in self._last_listed_s}
        return {service: versions for service, versions in found.items() if versions}

    def services(self) -> list[str]:
        """Return the services of which a version is remembered."""
        return list(self._last_listed_s)

    def only_version(self, service: str, for_s: float, now_s: float) -> str | None:
        """Return the version that has begun each stream of the last ``for_s`` seconds, or None.

        The list has to be current as of a time after the last of these streams began.
        """
        reach_s = for_s + DEPARTED_S
        if reach_s > MAX_AGE_S or not self.is_complete(reach_s, now_s):
            return None
        versions = self.versions(service, reach_s, now_s)
        return next(iter(versions)) if len(versions) == 1 else None

    def rename(self, resolve: Callable[[str], str]) -> None:
        """Replace names of versions by those that ``resolve`` returns for them."""
        for last_listed_s in self._last_listed_s.values():
            for software in [name for name in last_listed_s if resolve(name) != name]:
                at_s, known = last_listed_s.pop(software), resolve(software)
                last_listed_s[known] = max(at_s, last_listed_s.get(known, -math.inf))

    def forget_old(self, now_s: float) -> None:
        """Forget versions that were last listed long ago."""
        for service, last_listed_s in list(self._last_listed_s.items()):
            kept = {item: at_s for item, at_s in last_listed_s.items() if now_s - at_s <= MAX_AGE_S}
            if kept:
                self._last_listed_s[service] = kept
            else:
                del self._last_listed_s[service]

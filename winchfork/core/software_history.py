"""Since when each service has had replicas of one version of its software only.

While that is longer than any stream may last, every begun stream is of that version. Nothing is
concluded from a time in which the list of replicas was not known to be current.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class _Period(msgspec.Struct, frozen=True):
    software: str
    since_s: float


class SoftwareHistory:
    """The current period of each service. Times are monotonic seconds."""

    def __init__(self, max_gap_s: float) -> None:
        self._max_gap_s = max_gap_s
        self._observed_at_s: float | None = None
        self._periods: dict[str, _Period] = {}

    def observe(self, versions: Mapping[str, set[str]], now_s: float, *, list_age_s: float) -> None:
        """Record the versions of each service's listed replicas; call this often.

        ``list_age_s`` is the age of the last proof that the list is current.
        """
        gap_s = now_s - self._observed_at_s if self._observed_at_s is not None else 0.0
        self._observed_at_s = now_s
        if max(gap_s, list_age_s) > self._max_gap_s:
            self._periods.clear()
            return
        for service, listed in versions.items():
            period = self._periods.get(service)
            if len(listed) > 1:
                self._periods.pop(service, None)
            elif listed and (period is None or period.software not in listed):
                self._periods[service] = _Period(next(iter(listed)), now_s)

    def only_version(self, service: str, for_s: float, now_s: float) -> str | None:
        """Return the version that a service has had alone for ``for_s`` seconds, or None."""
        period = self._periods.get(service)
        is_current = (
            self._observed_at_s is not None and now_s - self._observed_at_s < self._max_gap_s
        )
        if period is None or not is_current or now_s - period.since_s < for_s:
            return None
        return period.software

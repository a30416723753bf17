"""The operators' side of weights: names versions and keeps when each was acknowledged."""

from __future__ import annotations

import asyncio
import dataclasses

from standins.store_server import StoreServer


@dataclasses.dataclass(frozen=True)
class PublishedWeights:
    """A version and when the store acknowledged it, by the loop's clock."""

    version: int
    acknowledged_s: float


class WeightsOperator:
    """Names versions of one model."""

    def __init__(self, store: StoreServer, model: str) -> None:
        self._store = store
        self._model = model
        self.published: list[PublishedWeights] = []

    @property
    def newest_version(self) -> int:
        """The newest version, or 0."""
        return self.published[-1].version if self.published else 0

    def publish(self, version: int) -> None:
        """Name a version; the store takes it at once."""
        value = {"Model": self._model, "Version": version}
        self._store.put(f"op/version/{self._model}", value)
        self.published.append(PublishedWeights(version, asyncio.get_running_loop().time()))

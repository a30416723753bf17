"""The operator of model weights: publishes versions and records their acknowledgement times."""

from __future__ import annotations

import asyncio
import dataclasses

from standins.store_server import StoreServer


@dataclasses.dataclass(frozen=True)
class PublishedWeights:
    """A version and the time of the store's acknowledgement, on the event loop's clock."""

    version: int
    acknowledged_s: float


class WeightsOperator:
    """Publishes weight versions of one model."""

    def __init__(self, store: StoreServer, model: str) -> None:
        self._store = store
        self._model = model
        self.published: list[PublishedWeights] = []

    @property
    def newest_version(self) -> int:
        """The newest published version, or 0."""
        return self.published[-1].version if self.published else 0

    def publish(self, version: int) -> None:
        """Write a version to the store, which acknowledges it at once."""
        value = {"Model": self._model, "Version": version}
        self._store.put(f"op/version/{self._model}", value)
        self.published.append(PublishedWeights(version, asyncio.get_running_loop().time()))

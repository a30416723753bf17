"""Bundles the platform's adapters for a router process."""

from __future__ import annotations

from winchfork.platform.documents import PlatformDocumentCodec
from winchfork.platform.headers import PlatformHeaderCodec
from winchfork.platform.replicas import PlatformReplicaControl
from winchfork.platform.store import PlatformStore
from winchfork.router.process import RouterAdapters


def platform_adapters() -> RouterAdapters:
    """Return the adapters with which a router runs on the platform."""
    return RouterAdapters(
        header_codec=PlatformHeaderCodec(),
        documents=PlatformDocumentCodec(),
        status=PlatformDocumentCodec(),
        make_store=PlatformStore,
        make_control=PlatformReplicaControl,
    )

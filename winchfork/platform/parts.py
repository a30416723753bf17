"""The platform's translations, bundled for a router process."""

from __future__ import annotations

from winchfork.platform.documents import PlatformDocuments
from winchfork.platform.headers import PlatformDialect
from winchfork.platform.replicas import PlatformReplicaControl
from winchfork.platform.store import PlatformStore
from winchfork.router.process import RouterAdapters


def platform_parts() -> RouterAdapters:
    """Return what a router needs to run on the platform."""
    return RouterAdapters(
        header_codec=PlatformDialect(),
        documents=PlatformDocuments(),
        status=PlatformDocuments(),
        make_store=PlatformStore,
        make_control=PlatformReplicaControl,
    )

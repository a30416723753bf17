"""Documents that every daemon of a region holds: configuration, machine list, voter panels.

A few relay daemons in each zone read them from the platform; the other daemons pull them from peers
when a peer message carries a higher revision. A document's revision never decreases.
"""

from __future__ import annotations

import dataclasses
import enum

#: Maximum bytes of a document in one datagram.
PART_BYTES = 16_384
#: Daemons in each zone that read the platform on behalf of the others.
RELAYS_PER_ZONE = 2


class DocumentName(enum.Enum):
    """The documents, in the order of their revisions on the wire."""

    CONFIGURATION = "configuration"
    MACHINES = "machines"
    PANELS = "panels"


@dataclasses.dataclass(frozen=True)
class Document:
    """One document's text at one revision."""

    revision: int = 0
    text: bytes = b""


class DocumentSet:
    """The newest known revision of each document. Not thread-safe."""

    def __init__(self) -> None:
        self._documents = dict.fromkeys(DocumentName, Document())
        self._partial: dict[DocumentName, tuple[int, bytearray]] = {}

    def get(self, name: DocumentName) -> Document:
        """Return a document; revision 0 when none is known."""
        return self._documents[name]

    def revisions(self) -> tuple[int, ...]:
        """Return the revisions in wire order."""
        return tuple(self._documents[name].revision for name in DocumentName)

    def install(self, name: DocumentName, document: Document) -> bool:
        """Install a newer document; False when it is not newer."""
        if document.revision <= self._documents[name].revision:
            return False
        self._documents[name] = document
        return True

    def outdated(self, revisions: tuple[int, ...]) -> list[tuple[DocumentName, int]]:
        """Return the documents of which the peer has a newer revision, with that revision."""
        return [
            (name, theirs)
            for name, theirs in zip(DocumentName, revisions, strict=False)
            if theirs > self._documents[name].revision
        ]

    def part(self, name: DocumentName, offset: int) -> tuple[Document, bytes]:
        """Return a document and up to ``PART_BYTES`` of its text from ``offset``."""
        document = self._documents[name]
        return document, document.text[offset : offset + PART_BYTES]

    def add_part(
        self, name: DocumentName, revision: int, offset: int, total: int, data: bytes
    ) -> Document | int | None:
        """Add the next part of a document.

        Returns the complete document, the next offset to request, or None when the part is ignored
        (not a newer revision, or out of order).
        """
        if revision <= self._documents[name].revision:
            return None
        collecting, text = self._partial.get(name, (0, bytearray()))
        if offset == 0 and revision >= collecting:
            text = bytearray()
        elif revision != collecting or offset != len(text):
            return None
        text += data
        self._partial[name] = (revision, text)
        if len(text) < total:
            return len(text)
        del self._partial[name]
        return Document(revision, bytes(text))

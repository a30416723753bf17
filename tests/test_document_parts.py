"""Limits on updates of store entries that arrive in parts."""

from __future__ import annotations

import unittest

from winchfork.errors import Failure, FailureKind
from winchfork.router.document_parts import (
    MAX_PACKED_BYTES,
    MAX_PARTIAL_UPDATES,
    UpdateAssembler,
)
from winchfork.router.peer_messages import DocumentPart


def _part(sender_id: str, offset: int, total: int, size: int) -> DocumentPart:
    return DocumentPart(sender_id, 1, 2, False, False, offset, total, b"x" * size)


class UpdateAssemblerLimitsTest(unittest.TestCase):
    def test_an_update_larger_than_the_limit_is_refused(self) -> None:
        """Guards against a peer whose update is collected however large it is."""
        assembler = UpdateAssembler()
        result = assembler.add(_part("n1", 0, MAX_PACKED_BYTES + 1, 8_192))
        assert isinstance(result, Failure)
        self.assertEqual(result.kind, FailureKind.BAD_DATAGRAM)

    def test_updates_of_many_senders_are_not_all_kept(self) -> None:
        """Guards against parts of senders that never send the rest."""
        assembler = UpdateAssembler()
        for number in range(10 * MAX_PARTIAL_UPDATES):
            self.assertIsNone(assembler.add(_part(f"n{number}", 0, 100_000, 8_192)))
        self.assertEqual(len(assembler._partial_updates), MAX_PARTIAL_UPDATES)


if __name__ == "__main__":
    unittest.main()

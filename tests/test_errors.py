"""The default run state of a failure: "not run" only where the request cannot have run."""

from __future__ import annotations

import unittest

from winchfork.errors import FailureKind, RunState


class RunStateTest(unittest.TestCase):
    def test_kinds_that_arise_during_execution_never_default_to_not_run(self) -> None:
        for kind in (
            FailureKind.INTERNAL,
            FailureKind.BACKEND_FAILED,
            FailureKind.STREAM_BROKEN,
            FailureKind.DEADLINE_EXCEEDED,
            FailureKind.CALLER_DISCONNECTED,
            FailureKind.OUTCOME_UNKNOWN,
            FailureKind.CLAIM_HELD,
            FailureKind.CLAIM_NO_MAJORITY,
            FailureKind.ANSWER_TOO_LARGE,
        ):
            self.assertIs(kind.because("x").ran, RunState.UNKNOWN, kind)


if __name__ == "__main__":
    unittest.main()

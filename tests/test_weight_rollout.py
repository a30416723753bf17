"""Tests weight rollouts: when to load, on which replicas, and when old versions expire."""

from __future__ import annotations

import math
import unittest

from winchfork.core.weight_rollout import (
    MAX_VERSIONS,
    LoadingReplica,
    LoadPace,
    VersionHistory,
    next_step,
)

PACE = LoadPace(8.0)


def replica(name: str, version: int, **changes: object) -> LoadingReplica:
    fields: dict[str, object] = {
        "accepting": True,
        "busy_s": 0.0,
        "under_order": False,
    }
    fields.update(changes)
    return LoadingReplica(name, version, **fields)  # type: ignore[arg-type]


class VersionHistoryTest(unittest.TestCase):
    def test_a_version_expires_a_bound_after_its_successor_was_published(self) -> None:
        history = VersionHistory()
        history.add(2, 100.0)
        history.add(4, 103.0)
        self.assertEqual(history.expires_at_s(1, 8.0), 108.0)
        self.assertEqual(history.expires_at_s(2, 8.0), 111.0)
        self.assertEqual(history.expires_at_s(4, 8.0), math.inf)

    def test_versions_that_are_not_newer_are_rejected(self) -> None:
        history = VersionHistory()
        self.assertTrue(history.add(3, 1.0))
        self.assertFalse(history.add(3, 2.0))
        self.assertFalse(history.add(2, 2.0))
        self.assertEqual(history.newest, 3)

    def test_a_peer_report_can_only_move_a_time_earlier(self) -> None:
        history = VersionHistory()
        history.add(2, 100.0)
        history.update_published_at(2, 104.0)
        self.assertEqual(history.expires_at_s(1, 8.0), 108.0)
        history.update_published_at(2, 95.0)
        self.assertEqual(history.expires_at_s(1, 8.0), 103.0)

    def test_a_peer_report_replaces_an_assumed_time(self) -> None:
        history = VersionHistory()
        history.add(2, 95.0, assumed=True)
        history.update_published_at(2, 99.0)
        self.assertEqual(history.expires_at_s(1, 8.0), 107.0)
        history.update_published_at(2, 99.5)
        self.assertEqual(history.expires_at_s(1, 8.0), 107.0)

    def test_versions_that_the_store_no_longer_holds_are_learned_from_peers(self) -> None:
        """Guards against a late expiry at a restarted daemon that knows the newest version only."""
        history = VersionHistory()
        history.add(4, 95.0, assumed=True)
        history.update_published_at(4, 98.0)
        history.update_published_at(3, 93.0)
        self.assertEqual(history.expires_at_s(2, 8.0), 101.0)
        self.assertEqual(history.expires_at_s(3, 8.0), 106.0)
        self.assertEqual(history.newest, 4)

    def test_a_bound_that_was_running_when_the_store_was_lost_restarts(self) -> None:
        history = VersionHistory()
        history.add(2, 100.0)
        history.add(3, 106.0)
        history.restart_bounds(lost_s=110.0, regained_s=115.0, bound_s=8.0)
        self.assertEqual(history.expires_at_s(1, 8.0), 108.0)
        self.assertEqual(history.expires_at_s(2, 8.0), 123.0)

    def test_versions_that_are_no_longer_recorded_are_expired(self) -> None:
        history = VersionHistory()
        for version in range(2, 200):
            history.add(version, 100.0 + version)
        self.assertEqual(len(history.versions), MAX_VERSIONS)
        self.assertEqual(history.expires_at_s(197, 8.0), 306.0)
        self.assertLess(history.expires_at_s(1, 8.0), 300.0)


class NextStepTest(unittest.TestCase):
    def test_the_share_of_loading_replicas_is_bounded(self) -> None:
        bounds = {1: 1, 2: 1, 4: 1, 6: 2, 9: 3, 45: 17, 600: 228}
        slow = LoadPace(8.0, load_s=60.0)
        self.assertEqual({count: slow.max_concurrent_loads(count) for count in bounds}, bounds)

    def test_no_more_replicas_load_at_once_than_the_time_bound_requires(self) -> None:
        """Guards against a needless loss of capacity while versions are published frequently."""
        pace = LoadPace(10.0)
        self.assertEqual(pace.max_concurrent_loads(59), 13)
        for _ in range(100):
            pace.record_load(2.6)
        self.assertEqual(pace.max_concurrent_loads(59), 22)
        for _ in range(100):
            pace.record_load(0.7)
        self.assertEqual(pace.max_concurrent_loads(59), 7)
        self.assertEqual(pace.max_concurrent_loads(2), 1)

    def test_a_rollout_begins_as_soon_as_a_version_is_published(self) -> None:
        views = [replica(f"r{number}", 1) for number in range(6)]
        step = next_step(views, 2, PACE)
        self.assertEqual((len(step.order), len(step.prepare)), (2, 2))
        self.assertEqual(next_step(views, 1, PACE), next_step([], 2, PACE))

    def test_the_oldest_and_least_busy_replicas_load_first(self) -> None:
        views = [
            replica("new", 3),
            replica("busy", 2, busy_s=4.0),
            replica("idle", 2, busy_s=0.1),
            replica("oldest", 1, busy_s=9.0),
            replica("leaving", 1, accepting=False),
            replica("done", 4),
            replica("done too", 4),
        ]
        step = next_step(views, 4, PACE)
        self.assertEqual(step.order, ("oldest", "idle"))
        self.assertEqual(step.prepare, ("busy", "new"))

    def test_replicas_under_order_count_as_loading(self) -> None:
        views = [replica(f"r{number}", 1, under_order=number < 2) for number in range(6)]
        self.assertEqual(next_step(views, 2, PACE).order, ())

    def test_the_number_of_overdue_replicas_that_load_at_once_is_bounded(self) -> None:
        views = [replica(f"r{number:03}", 1, overdue=True) for number in range(600)]
        self.assertEqual(len(next_step(views, 2, PACE).order), 2 * PACE.max_concurrent_loads(600))
        self.assertLess(2 * PACE.max_concurrent_loads(600), 400)

    def test_overdue_replicas_load_beyond_the_usual_bound(self) -> None:
        """Guards against overdue replicas that stand idle until others have finished loading."""
        views = [
            replica("loading", 1, under_order=True),
            replica("loading too", 1, under_order=True),
            *[replica(f"late{number}", 1, overdue=True) for number in range(2)],
            *[replica(f"in time{number}", 2) for number in range(2)],
        ]
        self.assertEqual(next_step(views, 3, PACE).order, ("late0", "late1"))

    def test_replicas_that_are_not_accepting_neither_load_nor_count(self) -> None:
        views = [replica(f"r{number}", 1, accepting=number < 6) for number in range(12)]
        step = next_step(views, 2, PACE)
        self.assertEqual(len(step.order), PACE.max_concurrent_loads(6))
        self.assertLessEqual({*step.order, *step.prepare}, {f"r{number}" for number in range(6)})

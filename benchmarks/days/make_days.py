"""Writes one TOML day file per kind of fault; in each day only that fault occurs, twice.

python benchmarks/days/make_days.py FOLDER
"""

from __future__ import annotations

import sys
from pathlib import Path

#: Name of the day -> whether the fault is planned work, and the fault's fields in TOML.
FAULTS: dict[str, tuple[bool, str]] = {
    "burst": (False, 'kind = "burst", x = 2.2, for_s = 4.0'),
    "hot_key": (False, 'kind = "hot_key", share = 0.5, for_s = 6.0'),
    "retry_abuse": (False, 'kind = "retry_abuse", x = 4.0, share = 0.5, for_s = 6.0'),
    "give_up": (False, 'kind = "give_up", share = 0.5, for_s = 6.0'),
    "srv_crash": (False, 'kind = "srv_crash", share = 0.34, for_s = 4.0'),
    "srv_crash_dark": (False, 'kind = "srv_crash", how = "dark", share = 0.34, for_s = 5.0'),
    "srv_crash_gone": (False, 'kind = "srv_crash", how = "gone", share = 0.2'),
    "srv_grey_errors": (False, 'kind = "srv_grey", how = "errors", share = 0.34, for_s = 6.0'),
    "srv_grey_shed": (False, 'kind = "srv_grey", how = "shed", share = 0.34, for_s = 6.0'),
    "srv_grey_busy": (False, 'kind = "srv_grey", how = "busy", share = 0.34, for_s = 6.0'),
    "srv_grey_hang": (False, 'kind = "srv_grey", how = "hang", share = 0.34, for_s = 6.0'),
    "srv_grey_reset": (False, 'kind = "srv_grey", how = "reset", share = 0.34, for_s = 6.0'),
    "srv_grey_mute": (False, 'kind = "srv_grey", how = "mute", share = 0.34, for_s = 6.0'),
    "srv_grey_slow": (False, 'kind = "srv_grey", how = "slow", share = 0.34, for_s = 6.0'),
    "srv_slow": (False, 'kind = "srv_slow", share = 0.34, for_s = 6.0'),
    "srv_cut": (False, 'kind = "srv_cut", share = 0.34, for_s = 5.0'),
    "srv_cut_some": (False, 'kind = "srv_cut", how = "some", share = 0.34, for_s = 5.0'),
    "srv_cut_one_way": (False, 'kind = "srv_cut", how = "one_way", share = 0.34, for_s = 5.0'),
    "replace_with_reuse": (False, 'kind = "replace_with_reuse", share = 0.2'),
    "replace_drain": (False, 'kind = "replace_with_reuse", how = "drain", share = 0.2'),
    "replace_dark": (False, 'kind = "replace_with_reuse", how = "dark", share = 0.2'),
    "release": (True, 'kind = "release", share = 0.5, x = 1.0, gap_s = 1.0'),
    "scale_in": (True, 'kind = "scale_in", share = 0.2'),
    "scale_in_spot": (True, 'kind = "scale_in", how = "spot", share = 0.2'),
    "scale_out": (True, 'kind = "scale_out", share = 0.3, gap_s = 1.0'),
    "answer_lost": (False, 'kind = "answer_lost", share = 0.7, x = 0.1, for_s = 6.0'),
    "answer_lost_reset": (
        False,
        'kind = "answer_lost", how = "reset", share = 0.7, x = 0.1, for_s = 6.0',
    ),
    "garble": (False, 'kind = "garble", share = 0.7, x = 0.1, for_s = 6.0'),
    "garble_extra": (False, 'kind = "garble", how = "extra", share = 0.7, x = 0.1, for_s = 6.0'),
    "garble_extra_late": (
        False,
        'kind = "garble", how = "extra late", share = 0.7, x = 0.1, for_s = 6.0',
    ),
    "garble_unframed": (
        False,
        'kind = "garble", how = "unframed", share = 0.7, x = 0.1, for_s = 6.0',
    ),
    "garble_early": (False, 'kind = "garble", how = "early", share = 0.7, x = 0.1, for_s = 6.0'),
    "garble_rot": (False, 'kind = "garble", how = "rot", share = 0.7, x = 0.1, for_s = 6.0'),
    "node_kill": (False, 'kind = "node_kill", share = 0.3'),
    "node_kill_power": (False, 'kind = "node_kill", share = 0.3, how = "power", for_s = 3.0'),
    "node_kill_leader": (False, 'kind = "node_kill", on = "core", count = 1, how = "leader race"'),
    "node_kill_meet": (
        False,
        'kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "meet drain"',
    ),
    "node_freeze": (False, 'kind = "node_freeze", share = 0.3, for_s = 4.0'),
    "node_freeze_leader": (
        False,
        'kind = "node_freeze", on = "core", count = 1, how = "leader", for_s = 4.0',
    ),
    "node_slow": (False, 'kind = "node_slow", share = 0.3, for_s = 5.0'),
    "roll_term": (True, 'kind = "roll_term", share = 1.0, gap_s = 1.5'),
    "roll_term_busy": (True, 'kind = "roll_term", how = "busy", share = 1.0, gap_s = 1.0'),
    "roll_term_two": (True, 'kind = "roll_term", share = 0.6, x = 2.0, gap_s = 2.0'),
    "herd_kill": (False, 'kind = "herd_kill", share = 0.6'),
    "herd_kill_power": (
        False,
        'kind = "herd_kill", how = "power", on = "core", share = 1.0, for_s = 2.0',
    ),
    "clock_step": (False, 'kind = "clock_step", share = 0.5, x = 5000.0, for_s = 6.0'),
    "clock_step_back": (
        False,
        'kind = "clock_step", how = "back", share = 0.5, x = 5000.0, for_s = 6.0',
    ),
    "core_cut": (False, 'kind = "core_cut", count = 2, for_s = 5.0'),
    "core_cut_leader": (False, 'kind = "core_cut", how = "leader race", for_s = 5.0'),
    "core_cut_one_way": (False, 'kind = "core_cut", how = "leader one_way", for_s = 5.0'),
    "core_cut_all": (False, 'kind = "core_cut", how = "leader all", for_s = 5.0'),
    "core_cut_meet": (False, 'kind = "core_cut", how = "meet drain", for_s = 5.0'),
    "node_cut": (False, 'kind = "node_cut", share = 0.3, for_s = 5.0'),
    "lossy": (False, 'kind = "lossy", x = 0.05, for_s = 6.0'),
    "platform_down": (False, 'kind = "platform_down", for_s = 5.0, how = "silent"'),
    "platform_down_busy": (False, 'kind = "platform_down", for_s = 5.0, how = "busy lapse"'),
    "platform_down_reset": (False, 'kind = "platform_down", for_s = 5.0, how = "reset lapse"'),
    "platform_slow": (False, 'kind = "platform_slow", x = 100.0, for_s = 5.0'),
    "platform_lost": (False, 'kind = "platform_lost", x = 0.5, for_s = 5.0'),
    "platform_lost_late": (False, 'kind = "platform_lost", x = 0.5, for_s = 5.0, how = "late"'),
    "platform_compact": (False, 'kind = "platform_compact", x = 5.0, for_s = 8.0, how = "drain"'),
    "config_route": (True, 'kind = "config_change", how = "route"'),
    "config_weights": (True, 'kind = "config_change", how = "weights"'),
    "config_tenant": (True, 'kind = "config_change", how = "tenant"'),
    "config_idle": (True, 'kind = "config_change", how = "idle"'),
    "config_storm": (True, 'kind = "config_storm", for_s = 4.0, gap_s = 0.1'),
    "big_config": (True, 'kind = "big_config", count = 600'),
    "revoke": (True, 'kind = "revoke", count = 3, gap_s = 0.5'),
    "applied_late": (False, 'kind = "applied_late", how = "orders", x = 0.6, for_s = 6.0'),
    "kv_slow": (False, 'kind = "kv_slow", share = 0.5, for_s = 6.0'),
    "events_gap": (False, 'kind = "events_gap", share = 0.5, for_s = 6.0'),
    "after_ack_kill": (False, 'kind = "after_ack_kill", for_s = 3.0'),
    "after_ack_kill_timed": (False, 'kind = "after_ack_kill", how = "timed", for_s = 3.0'),
    "hup": (True, 'kind = "hup", share = 0.6, gap_s = 1.0'),
    "reset_conns": (False, 'kind = "reset_conns", share = 0.4, x = 0.7'),
}
FIRST_S = 5.0
SECOND_S = 18.0


def day(name: str, planned: bool, fault: str) -> str:
    """Return a day with the fault at two times, and a new version of the weights before each."""
    entries = [f"  {{ at = {at_s}, {fault} }}," for at_s in (FIRST_S, SECOND_S)]
    new_weights = [
        f'  {{ at = {at_s}, kind = "version_bump", count = 0 }},' for at_s in (4.0, 17.0)
    ]
    plan = new_weights + (entries if planned else [])
    lines = [f'name = "{name}"', 'slot = "trouble"', "seed = 4711", "plan = [", *plan, "]"]
    lines += ["faults = [", *([] if planned else entries), "]", ""]
    return "\n".join(lines)


def main() -> int:
    """Write every day into the folder named by the first argument."""
    folder = Path(sys.argv[1])
    folder.mkdir(parents=True, exist_ok=True)
    for name, (planned, fault) in FAULTS.items():
        (folder / f"{name}.toml").write_text(day(name, planned, fault))
    return 0


if __name__ == "__main__":
    sys.exit(main())

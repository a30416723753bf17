"""Run one soak; exit with 0 if no check failed, else with 1. The logs stay in a new folder."""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import tempfile
from pathlib import Path

from standins.soak.earlier_build import unpack_build
from standins.soak.run import Soak


def main() -> int:
    """Run one soak, print its results and return the exit code."""
    parser = argparse.ArgumentParser(prog="standins.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1_000_000))
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument(
        "--earlier", metavar="COMMIT", help="build that the routers run until their first restart"
    )
    parser.add_argument(
        "--mixed-software",
        action="store_true",
        help="run replicas of several versions side by side, and order no rollouts of software",
    )
    parser.add_argument(
        "--fatal-parts",
        action="store_true",
        help="send requests with prompt parts that crash replicas",
    )
    parser.add_argument(
        "--endless-answers",
        action="store_true",
        help="let replicas write answers in which one part never ends",
    )
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="winchfork-soak-"))
    first_tree = unpack_build(arguments.earlier, folder) if arguments.earlier else None
    soak = Soak(
        arguments.seed,
        arguments.seconds,
        folder,
        first_tree,
        mixed_software=arguments.mixed_software,
        fatal_parts=arguments.fatal_parts,
        endless_answers=arguments.endless_answers,
    )
    asyncio.run(soak.run())
    print(f"seed {arguments.seed}, {arguments.seconds:.0f} s of faults, logs in {folder}")
    print("faults: " + ", ".join(f"{name} {count}" for name, count in sorted(soak.faults.items())))
    print("answers: " + ", ".join(f"{name}: {n}" for name, n in sorted(soak.outcomes.items())))
    print(f"peak memory of a router: {soak.peak_memory_mb:.0f} MB")
    for line in soak.violations:
        print(f"BROKEN {line}")
    print(f"{len(soak.violations)} promises broken")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())

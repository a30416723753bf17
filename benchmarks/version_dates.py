"""Measures by how much routers extend the bound on replaced weights, on loopback.

    python -m benchmarks.version_dates [--routers N] [--versions N]

Versions of the weights are published while the routers, which share one process, get no processor
time for a while. Printed for each length of that pause: the longest and shortest time beyond the
bound, over all routers and versions, for which a router allows the version before. A negative time
means that it stops using the version early.
"""

from __future__ import annotations

import argparse
import asyncio
import time

from standins.deployment import MODEL, LoopbackDeployment
from winchfork.logs import configure_logs

#: Lengths of the pauses in seconds.
PAUSES_S = (0.0, 0.2, 0.5, 0.9)
#: Time between the publication of a version and the beginning of the pause, in seconds.
PAUSE_DELAY_S = 0.002
#: Time within which every router learns of a version, in seconds.
SETTLED_S = 2.0
#: Time after which the routers know each other, in seconds.
START_S = 15.0


async def deviations_s(
    deployment: LoopbackDeployment, first_version: int, versions: int, pause_s: float
) -> list[float]:
    """Publish versions; return each router's seconds beyond the bound for each of them."""
    loop = asyncio.get_running_loop()
    bound_s = deployment.weights_timing.version_bound_s
    result: list[float] = []
    for version in range(first_version, first_version + versions):
        deployment.publish_weights(version)
        published_s = loop.time()
        await asyncio.sleep(PAUSE_DELAY_S)
        time.sleep(pause_s)  # noqa: ASYNC251 - the pause has to stop every task
        await asyncio.sleep(SETTLED_S)
        for router in deployment.routers:
            history = router.state.weights_versions[MODEL]
            expires_at_s = history.expires_at_s(version - 1, bound_s)
            result.append(expires_at_s - published_s - bound_s)
    return result


async def measure(routers: int, versions: int) -> None:
    """Print a line for each length of the pause."""
    deployment = LoopbackDeployment(routers)
    await deployment.start()
    await deployment.wait_until_ready()
    await asyncio.sleep(START_S)
    for number, pause_s in enumerate(PAUSES_S):
        first_version = 2 + number * versions
        found_s = await deviations_s(deployment, first_version, versions, pause_s)
        print(
            f"pause {pause_s:.1f} s: {min(found_s):+.2f} to {max(found_s):+.2f} s beyond the bound",
            flush=True,
        )
    await deployment.stop()


def main() -> None:
    """Parse the arguments and measure."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--routers", type=int, default=36)
    parser.add_argument("--versions", type=int, default=5)
    arguments = parser.parse_args()
    configure_logs("error")
    asyncio.run(measure(arguments.routers, arguments.versions))


if __name__ == "__main__":
    main()

"""Tasks that last wait for a lease when their runner has left as planned."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from checks import find_not_restarted, runs_of  # noqa: E402
from system import BOUNDS, desired_state, job_body, main, route, step  # noqa: E402

SERVICE = "huvo11a"
LASTING = "00000000000000a1"
RUNNERS = 16
# Bounds of the site raadsdienst-uv.
HOLD_MAXIMUM_MS = 10_000
DRAIN_S = 2.0
LONGER_S = 0.5


async def play(case, trouble):
    """Let one runner of sixteen drain and leave."""
    BOUNDS["hold_maximum_ms"] = HOLD_MAXIMUM_MS
    case.fleet.hold_maximum_ms = HOLD_MAXIMUM_MS
    await case.build(nodes=3, runners=RUNNERS)
    case.configure(desired_state(7, [route("q", SERVICE)], [SERVICE]))
    await case.start()
    await asyncio.sleep(4)
    lasting = step(count=4, cpu=30_000, memory_mb=1024, long_running=True)
    await case.submit(case.nodes[0], "q", LASTING, job_body([lasting]))
    await asyncio.sleep(8)
    if trouble:
        leaving = runs_of(case, LASTING)[0].runner
        await leaving.leave(DRAIN_S, LONGER_S)
    lost = await find_not_restarted(case, LASTING, time.monotonic() + 16)
    if not lost:
        return ""
    return f"LOST: {len(lost)} tasks that last: {lost}"


main(play)

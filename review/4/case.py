"""The limit of attempts is forgotten with a removed route."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from checks import find_over_budget  # noqa: E402
from system import desired_state, job_body, main, route, step  # noqa: E402

SERVICE = "huvo11a"
ATTEMPTS = 2
# Its task fails by its own fault each time that it runs.
HOPELESS = "00000000000000aa"


async def play(case, trouble):
    """Remove the route of a job that fails, and restart the machines."""
    await case.build(nodes=3, runners=6)
    kept = route("q", SERVICE)
    removed = route("p", SERVICE, attempts=ATTEMPTS)
    case.configure(desired_state(7, [kept, removed], [SERVICE]))
    case.fleet.outcome = lambda run: (
        "failed" if run.task.startswith(HOPELESS) else "done"
    )
    await case.start()
    await asyncio.sleep(4)
    body = job_body([step(count=1, cpu=4000, estimate_ms=8000)])
    await case.submit(case.nodes[0], "p", HOPELESS, body)
    await asyncio.sleep(1)
    case.configure(desired_state(9, [kept], [SERVICE]))
    await asyncio.sleep(2.5)
    if trouble:
        for node in case.nodes:
            node.signal(signal.SIGTERM)
            await node.stopped()
            await asyncio.sleep(0.3)
            node.start()
            await node.wait_ready()
            await asyncio.sleep(1.3)
    end_s = time.monotonic() + 30
    while time.monotonic() < end_s:
        await asyncio.sleep(0.1)
    over = find_over_budget(case, ATTEMPTS)
    if not over:
        return ""
    return f"BUDGET: started after {ATTEMPTS} failed runs: {over}"


main(play)

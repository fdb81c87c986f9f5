"""A task fails whose start had no answer at the first try; see it wait."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from case import (  # noqa: E402
    BROKEN,
    HELD,
    CannotRunError,
    run_case,
    trouble,
)

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.1.0"
LATE_S = 8.0
FINISH_S = 14.0
IDLE_S = 3.0


def idle_s(fleet, since_s, until_s):
    """Return the longest time in a span in which no task of the job ran.

    Nothing but this job runs, so the room is there all the while.
    """
    edges = [(since_s, 0), (until_s, 0)]
    for at_s, name, _, _, event in fleet.events:
        if name.startswith(JOB) and not event.startswith("taken"):
            edges.append((at_s, 1 if event == "started" else -1))
    running, longest_s, last_s = 0, 0.0, since_s
    for at_s, change in sorted(edges):
        begin_s, end_s = max(last_s, since_s), min(at_s, until_s)
        if not running and end_s > begin_s:
            longest_s = max(longest_s, end_s - begin_s)
        running += change
        last_s = at_s
    return longest_s


async def scenario(deployment):
    fleet, record = deployment.fleet, deployment.record
    fleet.fails_after = lambda run: (
        0.5 if run.task == TASK and run.number == 1 else float("inf")
    )
    due = asyncio.Event()

    def late_order(runner, value):
        if value["task"] != TASK or fleet.late_orders:
            return None
        asyncio.get_running_loop().call_later(LATE_S, due.set)
        return due

    if trouble():
        fleet.late_order = late_order
    step = {"count": 1, "cpu": 5600, "task_memory_mb": 15000, "gpus": 1}
    await deployment.submit(JOB, [
        {**step, "estimate_ms": 6000},
        {**step, "estimate_ms": 3000, "after": [0]},
    ])
    handed_in_s = time.monotonic()
    since_s = handed_in_s + FINISH_S
    state = await deployment.wait_final(JOB, 40.0)
    until_s = time.monotonic()
    if trouble() and not fleet.late_orders:
        raise CannotRunError("no start was left without an answer")
    waited_s = idle_s(fleet, since_s, until_s) if until_s > since_s else 0.0
    record.add(f"the job is {state}; {fleet.late_orders} of {fleet.orders} "
               "starts was not answered")
    record.add(f"from {FINISH_S:.0f} s after the job was handed in, nothing "
               f"of it ran for up to {waited_s:.1f} s")
    if not trouble() and state != "completed":
        return BROKEN
    return BROKEN if waited_s >= IDLE_S else HELD


run_case(scenario, FOLDER)

"""A task crashes its runners, once late; count how often it is started."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

from case import BROKEN, HELD, budget_excess, run_case, trouble  # noqa: E402

JOB = "5c0e7a21d94b36f8"
# How long each run of the task lasts before its runner crashes.
CRASH_S = [1.0, 1.5, 11.0, 1.0, 1.5, 1.0]
ENOUGH = 4


async def scenario(deployment):
    fleet = deployment.fleet
    fleet.down_s = 3.0

    def crash_after(run):
        return CRASH_S[(run.number - 1) % len(CRASH_S)]

    if trouble():
        fleet.crash_after = crash_after
    step = {"count": 1, "cpu": 26000, "task_memory_mb": 53000, "gpus": 8,
            "estimate_ms": 14000}
    await deployment.submit(JOB, [step])
    state = await deployment.wait_final(
        JOB, 90.0, lambda: bool(budget_excess(fleet, fleet.crashes, ENOUGH))
    )
    record = deployment.record
    record.add(f"the job is {state}; its task was started "
               f"{len(fleet.starts(f'{JOB}.0.0.0'))} times; "
               f"{len(fleet.crashes)} runners crashed")
    found = budget_excess(fleet, fleet.crashes)
    for task, crashes, later in found:
        record.add(f"BUDGET: {task}: {crashes} runners crashed under it; "
                   f"started {later} times after the third")
    if not trouble() and state != "completed":
        return BROKEN
    return BROKEN if found else HELD


run_case(scenario, FOLDER)

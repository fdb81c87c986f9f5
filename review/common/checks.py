"""Check the rules on what the runners and the consumers have seen."""

import asyncio
import time

FINISH_S = 14.0
NOTHING_RUNS_S = 3.0
FINAL = ("completed", "failed", "cancelled")


def runs_of(case, job):
    """Return the runs of a job's tasks in the order of their starts."""
    return [run for run in case.fleet.runs if run.task.startswith(job)]


async def find_lost(case, node, queue, jobs):
    """Return what LOST says of accepted jobs after the traffic.

    ``finish_s`` after the end of the traffic a job is asked for. It is lost
    if it is not known, or if for 3 s nothing of it runs although it is not
    over. The runners must have room for it: under half of it is in use.
    """
    await asyncio.sleep(FINISH_S)
    idle_since = dict.fromkeys(jobs, time.monotonic())
    end_s = time.monotonic() + NOTHING_RUNS_S + 0.5
    while time.monotonic() < end_s:
        now_s = time.monotonic()
        for job in jobs:
            if any(run.ended_s is None for run in runs_of(case, job)):
                idle_since[job] = now_s
        await asyncio.sleep(0.05)
    used = sum(
        run.step["cpu"] for run in case.fleet.runs if run.ended_s is None
    )
    room = sum(each.capacity["cpu"] for each in case.fleet.runners.values())
    case.log(f"{used} of {room} thousandths of a core are in use")
    lost = []
    for job in jobs:
        state = await case.state(node, queue, job)
        idle_s = time.monotonic() - idle_since[job]
        if state in FINAL:
            continue
        if state not in ("queued", "running"):
            lost.append(f"{job} is answered with {state}")
        elif idle_s >= NOTHING_RUNS_S and 2 * used < room:
            lost.append(f"nothing of {job} runs, which is {state}")
    return lost


def find_over_budget(case, attempts):
    """Return the starts after ``attempts`` failed runs of a task.

    Only failed ends that are taken note of count.
    """
    found = []
    for run in case.fleet.runs:
        failed = [
            each
            for each in case.fleet.runs
            if each.task == run.task
            and each.how == "failed"
            and each.taken_note_s is not None
            and each.ended_s <= run.started_s
        ]
        if len(failed) >= attempts:
            found.append(f"{run.task} run {run.number}")
    return found

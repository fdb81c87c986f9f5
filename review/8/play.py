"""Crash one worker of a gang five times, each time that of another task.

The gang has eight tasks on workers of their own. The worker of task 0 crashes,
then, in the next run, that of task 1, and so on. Each is back a second later.
No task ever has more than one crashed worker under it, and none ends failed.
"""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))
from harness import CannotRun, main  # noqa: E402

JOB = "5c0e7a21d94b36f8"
SIZE = 8
CRASHES = 5
# The crashes are at least this far apart.
APART_S = 4.0
DOWN_S = 1.0
WORK_S = 20.0
STEP = {
    "count": SIZE,
    "cpu": 8000,
    "task_memory_mb": 1024,
    "gpus": 8,
    "estimate_ms": int(WORK_S * 1000),
    "gang": True,
}


async def play(world, trouble):
    await world.open(workers=24, nodes=3)
    node = world.nodes[0]
    if not await world.submit(node, "normal", JOB, [STEP], work_s=WORK_S):
        raise CannotRun("the job was not accepted")

    def at_work():
        found = [run for run in world.runs if run.ended_s is None]
        is_old = all(time.monotonic() - run.started_s > 1.0 for run in found)
        return found if len(found) == SIZE and is_old else None

    crashed = Counter()
    crashed_s = float("-inf")
    for index in range(CRASHES if trouble else 0):
        await asyncio.sleep(max(0.0, crashed_s + APART_S - time.monotonic()))
        answer = await world.request("GET", node, f"/normal/{JOB}")
        if answer is not None and answer[1] == {"state": "failed"}:
            break
        runs = await world.wait_for(at_work, 15.0, "the gang does not run")
        run = next(each for each in runs if each.index == index)
        worker = run.worker
        world.log(
            "crash of", worker.name, "under", run.task, "run", run.number
        )
        crashed[run.task] += 1
        crashed_s = time.monotonic()
        worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.boot()
    state = ""
    for _ in range(30):
        await asyncio.sleep(1.0)
        answer = await world.request("GET", node, f"/normal/{JOB}")
        if answer is not None and answer[0] == 200:
            state = answer[1]["state"]
        if state in ("failed", "completed"):
            break
    failed = [run for run in world.runs if run.how == "failed"]
    world.log("crashes by task:", dict(crashed), "ends failed:", len(failed))
    if state != "failed":
        return [] if state == "completed" or trouble else ["not completed"]
    if failed or max(crashed.values()) > 1:
        return []
    return [
        f"LOST: the job is shown as failed; no task ended failed, and none "
        f"had two crashed workers: {dict(crashed)}"
    ]


main(play, FOLDER)

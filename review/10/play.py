"""Ask for the number of waiting jobs after the holder was stopped.

One of seven workers refuses all starts with 503 for 6.4 s, which is sound for
an unhealthy runner. The others are full. Four jobs that fit on it alone wait,
and none of their tasks begins. A second later the holder gets SIGTERM. The
other nodes, which nothing disturbs, are then asked for the count.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))
from harness import CannotRun, main  # noqa: E402

WAITING_JOBS = 4
ILL_S = 6.4
# visible_ms and the 2 s of the rule.
OLD_S = 3.0 + 2.0


def step(gpus):
    return {
        "count": 1,
        "cpu": 4000,
        "task_memory_mb": 1024,
        "gpus": gpus,
        "estimate_ms": 60000,
    }


async def play(world, trouble):
    await world.open(workers=7, nodes=3)
    holder = await world.holder()
    others = [node for node in world.nodes if node is not holder]
    for number in range(6):
        if not await world.submit(
            others[0], "normal", f"{number:016x}", [step(8)]
        ):
            raise CannotRun("a job was not accepted")
    await world.wait_for(
        lambda: len(world.runs) == 6, 5.0, "the fleet is not full"
    )
    idle = next(each for each in world.workers.values() if not each.running)
    idle.unhealthy = trouble
    ill_until_s = time.monotonic() + ILL_S
    accepted_s = {}
    for number in range(WAITING_JOBS):
        job_id = f"{0xA0 + number:016x}"
        if not await world.submit(others[0], "normal", job_id, [step(2)]):
            raise CannotRun("a job was not accepted")
        accepted_s[job_id] = time.monotonic()
    await asyncio.sleep(1.0)
    if trouble:
        world.log("SIGTERM to", holder.name)
        holder.signal(signal.SIGTERM)
    breaks = []
    while time.monotonic() < ill_until_s - 0.1:
        await asyncio.sleep(0.2)
        for node in others:
            asked_s = time.monotonic()
            begun = {run.job for run in world.runs}
            waiting = [
                job_id
                for job_id, each_s in accepted_s.items()
                if each_s + OLD_S < asked_s and job_id not in begun
            ]
            answer = await world.request("GET", node, "/normal/")
            if answer is None or answer[0] != 200:
                continue
            if 2 * answer[1]["waiting"] < len(waiting):
                breaks.append(
                    f"MIXED: {node.name} gives {answer[1]['waiting']} waiting "
                    f"jobs, and {len(waiting)} have not begun"
                )
    idle.unhealthy = False
    for job_id in accepted_s:
        await world.request("GET", others[0], f"/normal/{job_id}")
    return breaks


main(play, FOLDER)

"""An entry of another writer ends all scheduling."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from checks import find_lost  # noqa: E402
from system import desired_state, job_body, main, route, step  # noqa: E402

SERVICE = "huvo11a"
# The entry of a registrant of a service that is not named in the desired
# state. Its address begins with the long id of a host, not with an IP address.
FOREIGN = {
    "service": "cache",
    "address": "4f1cb07e92d3a865" * 4 + ":6379",
    "zone": "hame-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 1000, "task_memory_mb": 1024, "gpus": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 1000,
    "sequence": 4,
}


async def play(case, trouble):
    """Hand in jobs before and after the entry is written."""
    await case.build(nodes=3, runners=6)
    case.configure(desired_state(7, [route("q", SERVICE)], [SERVICE]))
    await case.start()
    await asyncio.sleep(4)
    body = job_body([step(count=2, cpu=4000, estimate_ms=1500)])
    accepted = []

    async def hand_in(first, count):
        for number in range(first, first + count):
            node, job = case.nodes[number % 3], f"{number:016x}"
            if await case.submit(node, "q", job, body) == 200:
                accepted.append(job)
            await asyncio.sleep(0.3)

    await hand_in(1, 6)
    await asyncio.sleep(3)
    if trouble:
        case.store.put("servers", "cache-0", FOREIGN)
        case.log(f"another writer writes servers/cache-0: {FOREIGN}")
    await asyncio.sleep(1)
    await hand_in(11, 6)
    lost = await find_lost(case, case.nodes[0], "q", accepted)
    if not lost:
        return ""
    return f"LOST: {len(lost)} of {len(accepted)} accepted jobs: {lost}"


main(play)

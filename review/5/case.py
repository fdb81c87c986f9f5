"""A job runs whose cancelling was acknowledged with 410."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from checks import runs_of  # noqa: E402
from system import BOUNDS, desired_state, job_body, main, route, step  # noqa: E402

SERVICE = "huvo11a"
JOB = "00000000000000aa"
# The store answers all writes of the window but those that hand in the job,
# which it performs LATE_S later: at most a share SHARE of all writes.
WINDOW_S = 4.0
LATE_S = 6.0
SHARE = 0.35


class LateWrites:
    """Performs the writes that hand in one job late, without an answer."""

    def __init__(self, case):
        """Do nothing yet."""
        self.case = case
        self.until_s = 0.0
        self.writes = 0
        self.lost = 0

    async def before(self, caller, method, target, body):
        """Lose the answer to a write if it is one of those."""
        if method != "POST" or time.monotonic() >= self.until_s:
            return None
        self.writes += 1
        request = json.loads(body)
        tables = [
            each["table"] for each in request["writes"] if each["key"] == JOB
        ]
        if "job" not in tables:
            return None
        self.lost += 1
        self.case.log(f"the store performs a write of {caller} {LATE_S} s late")
        asyncio.get_running_loop().call_later(LATE_S, self.perform, request)
        await asyncio.sleep(3600)

    def perform(self, request):
        """Perform a write if its condition still holds."""
        status, _ = self.case.store.transact(request)
        self.case.log(f"the late write is performed: {status}")


async def play(case, trouble):
    """Hand in a job, get no answer, and cancel it."""
    await case.build(nodes=3, runners=6)
    case.configure(desired_state(7, [route("q", SERVICE)], [SERVICE]))
    await case.start()
    await asyncio.sleep(4)
    late = LateWrites(case)
    if trouble:
        case.store.before = late.before
        late.until_s = time.monotonic() + WINDOW_S
        case.log(f"answers of the store are lost for {WINDOW_S} s")
    calm_s = time.monotonic() + WINDOW_S + LATE_S + 3.0
    await asyncio.sleep(1.2)
    body = job_body([step(count=1, cpu=4000, estimate_ms=20_000)])
    await case.submit(case.nodes[0], "q", JOB, body)
    for number in range(8):
        status, _ = await case.request(
            case.nodes[1 + number % 2], "DELETE", "q", JOB
        )
        if 200 <= status < 300 or status == 410:
            break
        await asyncio.sleep(0.2)
    else:
        raise RuntimeError("the cancelling was never acknowledged")
    acknowledged_s = time.monotonic()
    case.log(f"the cancelling is acknowledged with {status}")
    if late.lost > SHARE * late.writes:
        raise RuntimeError("the store has lost too many answers")
    allowed_s = acknowledged_s + BOUNDS["cancel_ms"] / 1000
    allowed_s += BOUNDS["stop_ms"] / 1000
    await asyncio.sleep(max(calm_s, allowed_s) - time.monotonic())
    case.log(f"{late.lost} of {late.writes} writes had no answer")
    left = [run for run in runs_of(case, JOB) if run.ended_s is None]
    await case.state(case.nodes[2], "q", JOB)
    await asyncio.sleep(16)
    await case.state(case.nodes[2], "q", JOB)
    if not left:
        return ""
    run = left[0]
    return (
        f"UNASKED: {run.task} run {run.number} runs on "
        f"{max(calm_s, allowed_s) - acknowledged_s:.1f} s after the job's "
        f"cancelling was acknowledged; it ends {run.how or 'later'}"
    )


main(play)

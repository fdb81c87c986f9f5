"""Restart background tasks that meet an unexpected error."""

from collections.abc import Awaitable, Callable

from trio import current_time, sleep

from damaskstall.containment import record_failure
from damaskstall.events import log
from damaskstall.tasks.events import TASK_FAILED

# An error that persists is met again at once, so the restarts are spaced, the
# first ones closely.
RESTART_DELAY_S = 1.0
RESTART_DELAY_LIMIT_S = 8.0
# A task that has run for this long counts as working again.
RECOVERED_S = 30.0


async def restart_on_error(
    name: str, task: Callable[[], Awaitable[None]]
) -> None:
    """Run a task; start it again after an unexpected error.

    One such error must not end the process, whose other tasks go on.
    """
    delay_s = RESTART_DELAY_S
    while True:
        began_s = current_time()
        try:
            await task()
            return
        except Exception as error:
            log(TASK_FAILED, task=name, error=repr(error))
            record_failure("task", name, error)
        if current_time() - began_s >= RECOVERED_S:
            delay_s = RESTART_DELAY_S
        await sleep(delay_s)
        delay_s = min(2 * delay_s, RESTART_DELAY_LIMIT_S)

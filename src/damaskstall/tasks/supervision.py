"""Restart background tasks that meet an unexpected error."""

from collections.abc import Awaitable, Callable

from trio import sleep

from damaskstall.events import log
from damaskstall.tasks.events import TASK_FAILED

# An error that persists is met again at once, so the restarts are spaced.
RESTART_DELAY_S = 1.0


async def restart_on_error(
    name: str, task: Callable[[], Awaitable[None]]
) -> None:
    """Run a task; start it again after an unexpected error.

    One such error must not end the process, whose other tasks go on.
    """
    while True:
        try:
            await task()
            return
        except Exception as error:
            log(TASK_FAILED, task=name, error=repr(error))
        await sleep(RESTART_DELAY_S)

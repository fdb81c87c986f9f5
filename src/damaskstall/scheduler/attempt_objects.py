"""Store and load checkpoints and outputs of attempts as objects."""

from json import dumps, loads
from random import Random

from trio import sleep

from damaskstall.errors import ObjectMissingError, PlatformError
from damaskstall.events import log
from damaskstall.platform.types import ObjectStore
from damaskstall.scheduler.backoff import retry_delay_s
from damaskstall.scheduler.events import TABLE_RETRY


def output_key(job: str, attempt: int) -> str:
    """Return the key of an attempt's output."""
    return f"output/{job}/{attempt}"


def checkpoint_key(job: str, attempt: int) -> str:
    """Return the key of an attempt's checkpoint."""
    return f"checkpoint/{job}/{attempt}"


async def store_texts(
    objects: ObjectStore, key: str, values: list[str], random: Random
) -> None:
    """Store the texts of all tasks; retry until the store accepts them."""
    tries = 0
    while True:
        try:
            await objects.put(key, dumps(values).encode())
            return
        except PlatformError as error:
            log(TABLE_RETRY, key=key, error=str(error))
            await sleep(retry_delay_s(tries, random))
            tries += 1


async def load_texts(
    objects: ObjectStore, key: str, count: int
) -> tuple[str, ...]:
    """Return one text for each of ``count`` tasks.

    All are empty if the key is empty or there is no valid object. Raise
    PlatformError if the store is unavailable.
    """
    empty = ("",) * count
    if not key:
        return empty
    try:
        values = loads(await objects.get(key))
    except (ObjectMissingError, ValueError):
        return empty
    if not isinstance(values, list) or len(values) != count:
        return empty
    return tuple(str(value) for value in values)

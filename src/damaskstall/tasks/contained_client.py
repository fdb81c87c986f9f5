"""Contain unexpected errors of the calls to one worker."""

from collections.abc import Awaitable
from typing import TypeVar

from damaskstall.containment import contained, record_failure
from damaskstall.errors import CommandError, CommandFaultError
from damaskstall.tasks.model import RunKey, WorkerInfo
from damaskstall.tasks.ports import (
    LeaseRenewal,
    StartRequest,
    WorkerClient,
    WorkerReport,
)

Result = TypeVar("Result")


class ContainedClient:
    """Client of one worker that raises only what ``WorkerClient`` names.

    A call that meets an unexpected error counts as one without an answer,
    which its caller repeats after a pause, or awaits the lists of the worker.
    """

    def __init__(self, client: WorkerClient, worker: str) -> None:
        """Call a worker by a client."""
        self.client = client
        self.worker = worker

    async def renew_lease(self, request: LeaseRenewal) -> WorkerReport:
        """Renew the lease of all runs; return the running and ended runs."""
        return await self._contain(self.client.renew_lease(request))

    def is_connected(self) -> bool:
        """Return whether the next renewal uses an open connection."""
        return self.client.is_connected()

    async def start(self, request: StartRequest) -> float:
        """Start a run; return the worker's clock in seconds."""
        return await self._contain(self.client.start(request))

    async def stop(self, token: int, key: RunKey) -> None:
        """Stop a run; the worker lists its end once it has stopped."""
        await self._contain(self.client.stop(token, key))

    def follow(self, worker: WorkerInfo) -> None:
        """Send all further calls to the address in the worker's entry."""
        self.client.follow(worker)

    def reconnect(self) -> None:
        """Send all further calls over new connections."""
        self.client.reconnect()

    async def close(self) -> None:
        """Close the connections to the worker."""
        with contained("worker", self.worker):
            await self.client.close()

    async def _contain(self, call: Awaitable[Result]) -> Result:
        try:
            return await call
        except CommandError:
            raise
        except Exception as error:
            record_failure("worker", self.worker, error)
            raise CommandFaultError(
                f"The call to {self.worker} met an unexpected error: "
                f"{error!r}."
            ) from error

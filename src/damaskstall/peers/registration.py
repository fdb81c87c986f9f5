"""Register a process in the platform's instance list and read its peers."""

from trio import current_time, move_on_after, sleep

from damaskstall.addresses import Address
from damaskstall.errors import PlatformError
from damaskstall.events import log
from damaskstall.peers.events import REGISTRATION_FAILED
from damaskstall.peers.follower import ConfigFollower
from damaskstall.platform.types import InstanceList, InstanceRecord

REPORT_INTERVAL_S = 10.0
# The list contains every process, so reading it costs far more than a report.
REPORTS_PER_READ = 6
LEAVE_TIMEOUT_S = 2.0


class Registration:
    """Keeps a process registered in the instance list while it runs."""

    def __init__(
        self,
        instances: InstanceList,
        follower: ConfigFollower,
        peer_address: Address,
    ) -> None:
        """Register the follower's process with the address for its peers."""
        self.instances = instances
        self.follower = follower
        self.peer_address = peer_address
        self.reported_s: float | None = None
        self._failing = False

    async def run(self) -> None:
        """Report the process and read the list until cancelled."""
        while True:
            await self._read()
            for _ in range(REPORTS_PER_READ):
                await self.report(leaving=self.follower.node.leaving)
                await sleep(REPORT_INTERVAL_S)

    async def leave(self) -> None:
        """Report to peers and the platform that the process is leaving.

        Waits at most ``LEAVE_TIMEOUT_S`` for the platform, since its list is
        updated with a delay anyway.
        """
        self.follower.leave()
        with move_on_after(LEAVE_TIMEOUT_S):
            await self.report(leaving=True)

    async def report(self, leaving: bool) -> None:
        """Write the process's record; log a failure of the platform."""
        identity = self.follower.node.identity
        record = InstanceRecord(
            identity.instance,
            identity.program,
            identity.failure_domain,
            str(self.peer_address),
            leaving,
        )
        try:
            await self.instances.register(record)
        except PlatformError as error:
            self._log_failure(error)
            return
        self._failing = False
        self.reported_s = current_time()

    async def _read(self) -> None:
        try:
            records = await self.instances.instances()
        except PlatformError as error:
            self._log_failure(error)
            return
        self.follower.update_listed(records)

    def _log_failure(self, error: PlatformError) -> None:
        if not self._failing:
            log(REGISTRATION_FAILED, error=str(error))
        self._failing = True

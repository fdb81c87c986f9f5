"""Queue requests that wait for a slot, with fair sharing between teams.

Each team has its own bounded queue. The next slot goes to the team that has
used least of its weighted share (start-time fair queueing), so a burst of one
team delays only that team's requests.
"""

from collections import deque
from typing import Any

from trio import Event

from damaskstall.entry.server_state import ServerState
from damaskstall.errors import DamaskstallError

DEFAULT_WEIGHT = 1.0
LOWEST_WEIGHT = 1e-6


class Waiter:
    """A queued request that waits for a slot or a refusal."""

    def __init__(
        self, team: str, deadline_s: float, avoid: frozenset[str]
    ) -> None:
        """Set the team, the request's deadline and the servers to avoid."""
        self.team = team
        self.deadline_s = deadline_s
        self.avoid = avoid
        self.decided = Event()
        self.server: ServerState | None = None
        self.refusal: DamaskstallError | None = None

    def grant(self, server: ServerState) -> None:
        """End the wait with a slot of a server."""
        self.server = server
        self.decided.set()

    def refuse(self, refusal: DamaskstallError) -> None:
        """End the wait with an error."""
        self.refusal = refusal
        self.decided.set()


class FairQueue:
    """The waiting requests of all teams for one service."""

    def __init__(self) -> None:
        """Start empty."""
        self.waiting: dict[str, deque[Waiter]] = {}
        self.weights: dict[str, float] = {}
        self.finish_times: dict[str, float] = {}
        self.virtual_time = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self.waiting.values())

    def weight(self, team: str) -> float:
        """Return a team's weight, at least LOWEST_WEIGHT."""
        return max(LOWEST_WEIGHT, self.weights.get(team, DEFAULT_WEIGHT))

    def length(self, team: str) -> int:
        """Return the number of a team's waiting requests."""
        return len(self.waiting.get(team, ()))

    def share(self, team: str) -> float:
        """Return the fraction of the slots that a waiting team gets."""
        total = sum(self.weight(name) for name in {*self.waiting, team})
        return self.weight(team) / total

    def push(self, waiter: Waiter) -> None:
        """Append a request to its team's queue."""
        self.waiting.setdefault(waiter.team, deque()).append(waiter)

    def peek(self) -> Waiter | None:
        """Return the next request without removing it, or None if empty."""
        if not self.waiting:
            return None
        team = min(
            self.waiting, key=lambda name: (self._start_time(name), name)
        )
        return self.waiting[team][0]

    def remove(self, waiter: Waiter) -> None:
        """Remove a request; do nothing if it is not queued."""
        queue = self.waiting.get(waiter.team)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        if not queue:
            del self.waiting[waiter.team]

    def charge_slot(self, team: str) -> None:
        """Charge one slot to a team's share."""
        start = self._start_time(team)
        self.virtual_time = max(self.virtual_time, start)
        self.finish_times[team] = start + 1 / self.weight(team)
        if len(self.finish_times) > len(self.weights) + len(self.waiting) + 1:
            self._remove_idle_teams()

    def dump(self) -> dict[str, Any]:
        """Return the number of waiting requests by team."""
        return {team: len(queue) for team, queue in self.waiting.items()}

    def _start_time(self, team: str) -> float:
        return max(self.virtual_time, self.finish_times.get(team, 0.0))

    def _remove_idle_teams(self) -> None:
        self.finish_times = {
            team: finish_time
            for team, finish_time in self.finish_times.items()
            if finish_time > self.virtual_time or team in self.waiting
        }

"""The operators' configuration of queues, teams and services."""

from typing import NamedTuple

from damaskstall.tasks.model import Queue, TaskTeam

DEFAULT_BODY_LIMIT_BYTES = 262_144


class QueuePattern(NamedTuple):
    """What is known of a queue that cannot be read; the rest is None."""

    host: str | None
    path_prefix: str | None

    def may_match(self, host: str, path: str, found: Queue | None) -> bool:
        """Return whether a request may be for this queue.

        ``found`` is the readable queue that it matches, if any.
        """
        if self.host not in (None, host):
            return False
        if self.path_prefix is None:
            return found is None
        if not path.startswith(self.path_prefix):
            return False
        matched = "" if found is None else found.path_prefix
        return len(self.path_prefix) >= len(matched)


class DesiredState(NamedTuple):
    """One complete version of the configuration.

    ``capacity_checked_services`` names the services whose workers refuse runs
    that exceed their capacity. ``queues`` are in the order in which path
    prefixes are matched: the longest first. ``problems`` tells which parts
    cannot be read. These are ``unreadable_queues``, services whose workers
    count as not checking, and, unless ``teams_complete``, teams.
    """

    version: int
    queues: tuple[Queue, ...]
    capacity_checked_services: frozenset[str]
    teams: tuple[TaskTeam, ...]
    body_limit_bytes: int = DEFAULT_BODY_LIMIT_BYTES
    unreadable_queues: tuple[QueuePattern, ...] = ()
    teams_complete: bool = True
    problems: tuple[str, ...] = ()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue that matches a request's host and path, if any."""
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.path_prefix):
                return queue
        return None

    def may_be_unreadable(self, host: str, path: str) -> bool:
        """Return whether a request may be for a queue that is not readable."""
        found = self.find_queue(host, path)
        return any(
            pattern.may_match(host, path, found)
            for pattern in self.unreadable_queues
        )

    def queue_by_name(self) -> dict[str, Queue]:
        """Return a mapping of queue names to queues."""
        return {queue.name: queue for queue in self.queues}

    def team_of_key(self, key: str) -> TaskTeam | None:
        """Return the team that an API key belongs to, if any."""
        for team in self.teams:
            if key in team.keys:
                return team
        return None


NO_STATE = DesiredState(0, (), frozenset(), ())

"""Keep waiting jobs in order, by team and by what they need.

Jobs of one class need the same and differ only in age, so a decision looks
at the oldest of each class alone.
"""

from collections.abc import Iterator
from heapq import heappop, heappush
from math import frexp
from typing import NamedTuple

from damaskstall.placement.model import QueuedJob, Shape


class JobClass(NamedTuple):
    """Name what jobs of one class have in common.

    ``estimate_bits`` is the binary order of magnitude of the declared time.
    """

    shape: Shape
    urgent: bool
    restartable: bool
    preferred: bool
    estimate_bits: int


class Entry(NamedTuple):
    """Order a job within its class; ``number`` breaks ties."""

    queued_s: float
    number: int
    job: QueuedJob


def class_of(job: QueuedJob) -> JobClass:
    """Return the class of a job."""
    bits = frexp(max(job.estimate_s, 0.0))[1]
    return JobClass(
        job.shape, job.urgent, job.restartable, job.preferred, bits
    )


class JobQueue:
    """Hold the waiting jobs of all teams."""

    def __init__(self) -> None:
        """Start empty."""
        self.entries: dict[str, Entry] = {}
        self.teams: dict[str, dict[JobClass, list[Entry]]] = {}
        self.numbers = 0

    def __len__(self) -> int:
        """Return how many jobs wait."""
        return len(self.entries)

    def get(self, name: str) -> QueuedJob | None:
        """Return a waiting job, or None."""
        entry = self.entries.get(name)
        return entry.job if entry else None

    def add(self, job: QueuedJob) -> None:
        """Put a job in at its age; one of the same name is replaced."""
        self.numbers += 1
        entry = Entry(job.queued_s, self.numbers, job)
        self.entries[job.name] = entry
        classes = self.teams.setdefault(job.team, {})
        heappush(classes.setdefault(class_of(job), []), entry)

    def remove(self, name: str) -> QueuedJob | None:
        """Take a job out and return it, or None if it does not wait."""
        entry = self.entries.pop(name, None)
        return entry.job if entry else None

    def heads(self, team: str) -> list[QueuedJob]:
        """Return the oldest job of each class, urgent and oldest first."""
        classes = self.teams.get(team)
        if classes is None:
            return []
        found = []
        for job_class in list(classes):
            entry = self._head(classes[job_class])
            if entry is None:
                del classes[job_class]
            else:
                found.append(entry)
        if not classes:
            del self.teams[team]
        found.sort(key=lambda e: (not e.job.urgent, e.queued_s, e.number))
        return [entry.job for entry in found]

    def next_like(self, job: QueuedJob) -> QueuedJob | None:
        """Return the oldest waiting job of a job's class."""
        entries = self.teams.get(job.team, {}).get(class_of(job), [])
        entry = self._head(entries)
        return entry.job if entry else None

    def all_heads(self) -> Iterator[QueuedJob]:
        """Yield the oldest jobs of every team's classes."""
        for team in sorted(self.teams):
            yield from self.heads(team)

    def _head(self, entries: list[Entry]) -> Entry | None:
        while entries:
            entry = entries[0]
            if self.entries.get(entry.job.name) is entry:
                return entry
            heappop(entries)
        return None

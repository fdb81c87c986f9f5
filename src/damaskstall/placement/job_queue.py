"""Queue jobs by team and by class.

Jobs of one class have the same requirements and differ only in age, so a
decision considers only the oldest job of each class.
"""

from collections.abc import Iterable
from heapq import heappop, heappush
from math import frexp
from typing import NamedTuple

from damaskstall.placement.model import QueuedJob, Shape

REMOVED_SPARE = 64


class JobClass(NamedTuple):
    """The properties that jobs of one class have in common.

    ``estimate_bits`` is the binary order of magnitude of the declared run
    time.
    """

    shape: Shape
    urgent: bool
    restartable: bool
    checkpointable: bool
    preferred: bool
    estimate_bits: int


class Entry(NamedTuple):
    """A queued job with its sort key; ``number`` breaks ties."""

    queued_s: float
    number: int
    job: QueuedJob


def class_of(job: QueuedJob) -> JobClass:
    """Return the class of a job."""
    bits = frexp(max(job.estimate_s, 0.0))[1]
    return JobClass(
        job.shape,
        job.urgent,
        job.restartable,
        job.checkpointable,
        job.preferred,
        bits,
    )


class JobQueue:
    """The queued jobs of all teams.

    ``shapes`` counts the queued jobs of each shape by team and ``urgent`` the
    urgent jobs by team, so that a decision visits only the teams affected.
    ``teams`` contains a heap of entries for each class, which may include
    entries of removed jobs. ``removed`` counts the removals since the heaps
    were last rebuilt.
    """

    def __init__(self) -> None:
        """Create an empty queue."""
        self.entries: dict[str, Entry] = {}
        self.teams: dict[str, dict[JobClass, list[Entry]]] = {}
        self.shapes: dict[Shape, dict[str, int]] = {}
        self.urgent: dict[str, int] = {}
        self.last_number = 0
        self.removed = 0

    def __len__(self) -> int:
        """Return the number of queued jobs."""
        return len(self.entries)

    def get(self, name: str) -> QueuedJob | None:
        """Return a queued job by name, or None."""
        entry = self.entries.get(name)
        return entry.job if entry else None

    def add(self, job: QueuedJob) -> None:
        """Insert a job by its age; replace a job of the same name."""
        self.remove(job.name)
        self.last_number += 1
        entry = Entry(job.queued_s, self.last_number, job)
        self.entries[job.name] = entry
        self._push(entry)
        self._count(job, 1)

    def remove(self, name: str) -> QueuedJob | None:
        """Remove a job and return it, or None if it is not queued."""
        entry = self.entries.pop(name, None)
        if entry is None:
            return None
        self._count(entry.job, -1)
        self.removed += 1
        if self.removed > len(self.entries) + REMOVED_SPARE:
            self._rebuild()
        return entry.job

    def heads(self, team: str) -> list[QueuedJob]:
        """Return a team's oldest job of each class, urgent jobs first.

        Among equally urgent jobs the oldest comes first.
        """
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

    def next_of_class(self, job: QueuedJob) -> QueuedJob | None:
        """Return the oldest queued job of a job's team and class, or None."""
        entries = self.teams.get(job.team, {}).get(class_of(job), [])
        entry = self._head(entries)
        return entry.job if entry else None

    def urgent_heads(self) -> list[QueuedJob]:
        """Return each team's oldest job of each urgent class, by age."""
        heads = [job for team in self.urgent for job in self.heads(team)]
        urgent = [job for job in heads if job.urgent]
        urgent.sort(key=lambda job: (job.queued_s, job.name))
        return urgent

    def teams_with(self, shapes: Iterable[Shape]) -> list[str]:
        """Return the teams that have queued jobs of any of the shapes."""
        teams: set[str] = set()
        for shape in shapes:
            teams.update(self.shapes.get(shape, ()))
        return sorted(teams)

    def _head(self, entries: list[Entry]) -> Entry | None:
        while entries:
            entry = entries[0]
            if self.entries.get(entry.job.name) is entry:
                return entry
            heappop(entries)
        return None

    def _push(self, entry: Entry) -> None:
        classes = self.teams.setdefault(entry.job.team, {})
        heappush(classes.setdefault(class_of(entry.job), []), entry)

    def _count(self, job: QueuedJob, change: int) -> None:
        add_count(self.shapes.setdefault(job.shape, {}), job.team, change)
        if not self.shapes[job.shape]:
            del self.shapes[job.shape]
        if job.urgent:
            add_count(self.urgent, job.team, change)

    def _rebuild(self) -> None:
        """Rebuild the heaps without the entries of removed jobs."""
        self.removed = 0
        self.teams = {}
        for entry in self.entries.values():
            self._push(entry)


def add_count(counts: dict[str, int], key: str, change: int) -> None:
    """Add to a count; delete its key when the count becomes zero."""
    count = counts.get(key, 0) + change
    if count:
        counts[key] = count
    else:
        counts.pop(key, None)

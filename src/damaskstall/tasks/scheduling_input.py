"""The input of one round of scheduling decisions."""

from collections.abc import Sequence
from typing import NamedTuple

from damaskstall.tasks.capacity import FreeCapacity
from damaskstall.tasks.claims import Claims
from damaskstall.tasks.job_rows import part_of
from damaskstall.tasks.model import JobTerms, Queue
from damaskstall.tasks.progress import JobProgress
from damaskstall.tasks.run_time_estimator import RunTimeEstimator
from damaskstall.tasks.urgent_load import UrgentLoad

# Those of a job of an earlier version whose queue was removed before this
# version saw it: less urgent than any priority of a queue (0 to 2).
UNKNOWN_TERMS = JobTerms(1000, 3, 1.0, 0.0)


class SchedulingInput(NamedTuple):
    """The jobs, their queues and guarantees, and the free capacity.

    ``claims`` is the result of the round before. ``backoff_capacities`` has
    the workers in backoff that may get one unit as a last resort, and
    ``resting_capacities`` those for overdue units. ``crashed_workers`` names
    those that have crashed a short time ago, and ``reachable_capacities`` has
    all workers that answer, also those that get no new run. The jobs of
    ``failing_parts`` start nothing, since no placement of theirs can be
    stored.
    """

    jobs: list[JobProgress]
    queues: dict[str, Queue]
    guarantees: dict[str, int]
    free_capacities: list[FreeCapacity]
    estimator: RunTimeEstimator
    claims: Claims
    urgent_load: UrgentLoad
    backoff_capacities: Sequence[FreeCapacity] = ()
    crashed_workers: frozenset[str] = frozenset()
    resting_capacities: Sequence[FreeCapacity] = ()
    reachable_capacities: Sequence[FreeCapacity] = ()
    failing_parts: frozenset[str] = frozenset()

    def with_workers(self, names: frozenset[str]) -> "SchedulingInput":
        """Return the same input with some of the workers alone."""
        return self._replace(
            free_capacities=capacities_of(self.free_capacities, names),
            backoff_capacities=capacities_of(self.backoff_capacities, names),
            resting_capacities=capacities_of(self.resting_capacities, names),
            reachable_capacities=capacities_of(
                self.reachable_capacities, names
            ),
        )

    def may_start(self, progress: JobProgress) -> bool:
        """Return whether the placement of a job's runs can be stored."""
        if not self.failing_parts:
            return True
        return part_of(progress.job_id) not in self.failing_parts


def capacities_of(
    capacities: Sequence[FreeCapacity], names: frozenset[str]
) -> list[FreeCapacity]:
    """Return the free capacities of the named workers."""
    return [each for each in capacities if each.worker.name in names]


def queue_of(inputs: SchedulingInput, progress: JobProgress) -> Queue:
    """Return a job's queue; one that was removed has its last terms."""
    job = progress.job
    queue = inputs.queues.get(job.queue)
    if queue is not None:
        return queue
    terms = progress.terms or UNKNOWN_TERMS
    return Queue(job.queue, "", "", job.service, *terms, public=False)

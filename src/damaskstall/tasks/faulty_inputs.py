"""Find the jobs and workers that make a scheduling round fail.

A round is played again with parts of its input taken out. What it fails with
is set aside for a time by all holders, so that a fault of this program that
one job or worker brings out does not end holder after holder.
"""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from damaskstall.tasks.clock import Clock

# Whether a round with some jobs and workers meets no error.
Plays = Callable[[Sequence[str], Sequence[str]], bool]
# The jobs and workers of a round, given some names of one kind.
RoundOf = Callable[[Sequence[str]], tuple[Sequence[str], Sequence[str]]]

# No round is played for longer: the lease is released meanwhile.
SEARCH_LIMIT_S = 1.0
# An input that is set aside is tried again after this time, which doubles each
# time that it fails again.
FIRST_PAUSE_S = 5.0
PAUSE_LIMIT_S = 3600.0
# The row of what is set aside must stay well below 64 KiB.
ENTRIES_LIMIT = 500


class FaultyInputs(NamedTuple):
    """Names of the jobs and workers that make rounds fail."""

    jobs: frozenset[str] = frozenset()
    workers: frozenset[str] = frozenset()


NOTHING_FAULTY = FaultyInputs()


class Pause(NamedTuple):
    """How often an input has failed, and until when it is set aside."""

    failures: int
    until_unix_s: float


class SetAside:
    """The inputs that no holder uses for a time, as in a row of the table."""

    def __init__(self) -> None:
        """Start with nothing set aside."""
        self.jobs: dict[str, Pause] = {}
        self.workers: dict[str, Pause] = {}

    def add(self, found: FaultyInputs, now_unix_s: float) -> None:
        """Set inputs aside, longer than the last time."""
        for names, pauses in (
            (found.jobs, self.jobs),
            (found.workers, self.workers),
        ):
            for name in names:
                earlier = pauses.pop(name, Pause(0, 0.0)).failures
                pause_s = min(PAUSE_LIMIT_S, FIRST_PAUSE_S * 2.0**earlier)
                pauses[name] = Pause(earlier + 1, now_unix_s + pause_s)
            while len(pauses) > ENTRIES_LIMIT:
                pauses.pop(next(iter(pauses)))

    def at(self, now_unix_s: float) -> FaultyInputs:
        """Return the inputs that are not used at a time."""
        if not self.jobs and not self.workers:
            return NOTHING_FAULTY
        return FaultyInputs(
            active_names(self.jobs, now_unix_s),
            active_names(self.workers, now_unix_s),
        )

    def encode(self) -> dict[str, Any]:
        """Return the value of the row."""
        return {
            "jobs": {name: list(pause) for name, pause in self.jobs.items()},
            "workers": {
                name: list(pause) for name, pause in self.workers.items()
            },
        }

    def read(self, value: dict[str, Any]) -> None:
        """Take over the value of the row."""
        self.jobs = decode_pauses(value["jobs"])
        self.workers = decode_pauses(value["workers"])


def decode_pauses(value: dict[str, Any]) -> dict[str, Pause]:
    """Return the pauses in a part of the row."""
    return {
        str(name): Pause(int(failures), float(until_unix_s))
        for name, (failures, until_unix_s) in value.items()
    }


def active_names(
    pauses: dict[str, Pause], now_unix_s: float
) -> frozenset[str]:
    """Return the names that are set aside at a time.

    A pause that lies further ahead than any begun before that time belongs
    to a wall clock that was ahead.
    """
    return frozenset(
        name
        for name, pause in pauses.items()
        if now_unix_s < pause.until_unix_s <= now_unix_s + PAUSE_LIMIT_S
    )


class Search:
    """Search for the inputs without which a round meets no error."""

    def __init__(self, plays: Plays, clock: Clock) -> None:
        """Search by playing rounds, for SEARCH_LIMIT_S at most."""
        self.plays = plays
        self.clock = clock
        self.until_s = clock() + SEARCH_LIMIT_S

    def run(self, jobs: Sequence[str], workers: Sequence[str]) -> FaultyInputs:
        """Return the jobs and workers to set aside, none if not found.

        Jobs are blamed unless all of them fail, and one of them passes with
        some of the workers alone.
        """
        if self.plays(jobs, workers):
            return NOTHING_FAULTY
        faulty_jobs = self._faulty(jobs, lambda part: (part, workers))
        faulty_workers: list[str] = []
        if len(faulty_jobs) == len(jobs):
            faulty_workers = self._faulty_workers(jobs, workers)
            rest = [name for name in workers if name not in faulty_workers]
            faulty_jobs = self._faulty(jobs, lambda part: (part, rest))
        return FaultyInputs(frozenset(faulty_jobs), frozenset(faulty_workers))

    def _faulty_workers(
        self, jobs: Sequence[str], workers: Sequence[str]
    ) -> list[str]:
        """Return the workers with which a round fails, but not without.

        The round has one job, or none at all if it fails then too.
        """
        for job in ("", *jobs):
            faulty = self._faulty_with(job, workers)
            if 0 < len(faulty) < len(workers) or self._is_late():
                return faulty
        return []

    def _faulty_with(self, job: str, workers: Sequence[str]) -> list[str]:
        """Return the workers that make a round with one job fail."""
        jobs = [job] if job else []
        return self._faulty(workers, lambda part: (jobs, part))

    def _faulty(self, names: Sequence[str], round_of: RoundOf) -> list[str]:
        """Return the names that make a round fail by themselves.

        Halves the names as long as a part fails.
        """
        if not names or self._is_late() or self.plays(*round_of(names)):
            return []
        if len(names) == 1:
            return list(names) if self.plays(*round_of([])) else []
        half = len(names) // 2
        first, second = names[:half], names[half:]
        return self._faulty(first, round_of) + self._faulty(second, round_of)

    def _is_late(self) -> bool:
        """Return whether the search has to end."""
        return self.clock() >= self.until_s

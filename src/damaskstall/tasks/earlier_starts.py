"""Keep the starts of a unit's earlier runs that may still be carried out.

A worker refuses such a start while the incarnation lasts to which it was
sent. The next one may carry it out, so the unit must not run elsewhere before
the start is too old and its worker does not list a run of it. On the same
worker, the next run ends with that incarnation.
"""

from typing import NamedTuple

# At most this many runs in a row are bound to the workers of open starts. A
# worker that does not answer starts would keep the unit otherwise.
REPEAT_LIMIT = 2


class OpenStart(NamedTuple):
    """A start of a run; ``position`` is that of its task in the unit."""

    position: int
    worker: str
    run: int


class EarlierStarts:
    """The open starts of a unit's earlier runs."""

    __slots__ = ("_until_s", "_repeats")

    def __init__(self) -> None:
        """Begin without any."""
        self._until_s: dict[OpenStart, float] = {}
        # How many runs in a row were bound to workers.
        self._repeats = 0

    def add(self, start: OpenStart, until_s: float) -> None:
        """Add a start of which a run may exist until a time."""
        self._until_s[start] = until_s

    def settle(self, start: OpenStart) -> None:
        """Forget a start of which no run can exist any more."""
        self._until_s.pop(start, None)

    def merge(self, other: "EarlierStarts") -> None:
        """Add the starts of another account of the same unit."""
        self._until_s = other._until_s | self._until_s

    def forget_worker(self, worker: str) -> None:
        """Forget the starts on a worker that will not start again."""
        self._until_s = {
            start: until_s
            for start, until_s in self._until_s.items()
            if start.worker != worker
        }

    def begin_run(self, now_s: float) -> None:
        """Record that the next run begins; forget what is too old."""
        self._until_s = {
            start: until_s
            for start, until_s in self._until_s.items()
            if until_s > now_s
        }
        self._repeats = self._repeats + 1 if self._until_s else 0

    def listed(self) -> list[OpenStart]:
        """Return the starts that are known, in order."""
        return sorted(self._until_s)

    def until_s(self) -> float:
        """Return until when a run of any of the starts may exist."""
        return max(self._until_s.values(), default=float("-inf"))

    def are_open(self, now_s: float) -> bool:
        """Return whether a run of any of the starts may exist."""
        return bool(self._until_s) and self.until_s() > now_s

    def bound_workers(self, now_s: float) -> dict[int, str]:
        """Return the workers, by position, on which tasks may start now.

        Return none if the unit has to wait until the starts are too old.
        """
        if self._repeats >= REPEAT_LIMIT:
            return {}
        bound: dict[int, str] = {}
        for start, until_s in self._until_s.items():
            if until_s <= now_s:
                continue
            if bound.setdefault(start.position, start.worker) != start.worker:
                return {}
        return bound

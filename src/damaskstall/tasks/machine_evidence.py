"""Decide from readings of the list of machines which workers have ended.

Entries may move between pages while the pages are read, and the list may be
behind, so that a worker that is missing from a reading may still run. A worker
has ended if its machine's entry says so after an earlier reading showed the
worker on that machine. Otherwise only readings over some time count.
"""

from collections import Counter
from collections.abc import Iterable, Mapping, Set
from types import MappingProxyType
from typing import NamedTuple

# A worker that no reading has shown must be absent from all readings for this
# time. Each of them must list all machines of the reading before, and all
# workers that answer.
ABSENCE_S = 1.0


class MachineEntry(NamedTuple):
    """One machine of the list.

    ``worker`` is the name of the worker that runs on it, "" if none does.
    ``failure_domain`` and ``rack`` are "" if they are not known.
    """

    machine: str
    worker: str
    failure_domain: str = ""
    rack: str = ""


class Place(NamedTuple):
    """The failure domain and the rack of a worker, "" if not known."""

    failure_domain: str
    rack: str


NO_PLACES: Mapping[str, Place] = MappingProxyType({})


class EndedWorker(NamedTuple):
    """What the readings prove about a worker that has ended.

    ``replaced`` states that another worker runs on its machine, and
    ``in_outage`` that no worker ran in its failure domain or in its rack.
    """

    replaced: bool
    in_outage: bool


MACHINE_EMPTY = EndedWorker(replaced=False, in_outage=False)


class MachineEvidence:
    """The readings of one holder, and what they prove about workers."""

    def __init__(self) -> None:
        """Start without readings."""
        self._machines: set[str] = set()
        self._machine_of: dict[str, str] = {}
        # For a silent worker that no reading has shown: the start of its
        # silence, and the time of the first reading without it.
        self._absent_since: dict[str, tuple[float, float]] = {}
        # The start of the silence of each worker found in an outage.
        self._outages: dict[str, float] = {}

    def knows(self, workers: Set[str]) -> bool:
        """Return whether the machines of all these workers are known."""
        return workers <= self._machine_of.keys()

    def ended_workers(
        self,
        silent_since: Mapping[str, float],
        answering: Set[str],
        entries: Iterable[MachineEntry],
        now_s: float,
        places: Mapping[str, Place] = NO_PLACES,
    ) -> dict[str, EndedWorker]:
        """Return the silent workers that have ended, by a new reading.

        ``silent_since`` has the start of each silent worker's present silence,
        which began before the reading did. ``places`` has those of the
        workers that are listed.
        """
        found = list(entries)
        complete = self._is_complete(found, answering)
        self._machines = {entry.machine for entry in found}
        on_machine: dict[str, set[str]] = {}
        for entry in found:
            on_machine.setdefault(entry.machine, set()).add(entry.worker)
            if entry.worker:
                self._machine_of[entry.worker] = entry.machine
        shown = {entry.worker for entry in found}
        self._note_outages(silent_since, found, places)
        ended: dict[str, EndedWorker] = {}
        for name, since_s in silent_since.items():
            if name in shown:
                continue
            machine = self._machine_of.get(name)
            if machine is not None:
                if machine not in on_machine:
                    continue
                replaced = on_machine[machine] != {""}
                in_outage = self._outages.get(name) == since_s
                ended[name] = EndedWorker(replaced, in_outage)
            elif complete and self._is_absent_long(name, since_s, now_s):
                in_outage = self._outages.get(name) == since_s
                ended[name] = EndedWorker(False, in_outage)
        self._forget_absences(silent_since, shown, complete)
        return ended

    def _note_outages(
        self,
        silent_since: Mapping[str, float],
        entries: list[MachineEntry],
        places: Mapping[str, Place],
    ) -> None:
        """Note the silent workers whose failure domain or rack is down."""
        groups = groups_in_outages(entries)
        down = {
            entry.machine
            for entry in entries
            if not groups.isdisjoint(groups_of(entry))
        }
        for name, since_s in silent_since.items():
            machine = self._machine_of.get(name)
            place = places.get(name)
            if machine is None and place is not None:
                is_down = not groups.isdisjoint(groups_of(place))
            else:
                is_down = machine in down
            if is_down:
                self._outages[name] = since_s
        for name in list(self._outages):
            if self._outages[name] != silent_since.get(name):
                del self._outages[name]

    def _is_complete(
        self, entries: list[MachineEntry], answering: Set[str]
    ) -> bool:
        """Return whether a reading lacks nothing that is known to exist."""
        if not answering <= {entry.worker for entry in entries}:
            return False
        counts = Counter(entry.machine for entry in entries)
        if any(count > 1 for count in counts.values()):
            return False
        return bool(counts) and self._machines <= counts.keys()

    def _is_absent_long(self, name: str, since_s: float, now_s: float) -> bool:
        """Return whether all readings of a silence have lacked a worker."""
        silence_s, first_s = self._absent_since.get(name, (since_s, now_s))
        if silence_s != since_s:
            first_s = now_s
        self._absent_since[name] = (since_s, first_s)
        return now_s - first_s >= ABSENCE_S

    def _forget_absences(
        self,
        silent_since: Mapping[str, float],
        shown: set[str],
        complete: bool,
    ) -> None:
        """Forget absences that this reading does not confirm."""
        if not complete:
            self._absent_since.clear()
        for name in list(self._absent_since):
            if name in shown or name not in silent_since:
                del self._absent_since[name]


def groups_of(place: Place | MachineEntry) -> set[tuple[str, str]]:
    """Return the known groups of a place: its failure domain and rack."""
    groups = (("domain", place.failure_domain), ("rack", place.rack))
    return {group for group in groups if group[1]}


def groups_in_outages(entries: Iterable[MachineEntry]) -> set[tuple[str, str]]:
    """Return each failure domain and rack without a worker.

    A group of one machine is not distinguishable from a crash.
    """
    members: dict[tuple[str, str], list[MachineEntry]] = {}
    for entry in entries:
        for group in groups_of(entry):
            members.setdefault(group, []).append(entry)
    return {
        group
        for group, found in members.items()
        if len(found) > 1 and not any(entry.worker for entry in found)
    }

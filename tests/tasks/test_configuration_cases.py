"""What each kind of row does to a known configuration, by each path.

A row has a lower, the same or a higher version than the one known, the same,
other or unreadable contents, and a newer or older revision. It comes in the
feed, in the rows, or from a peer. Guards against review/6: a newer row with
nothing to apply left nothing confirmed, for good.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from pytest import MonkeyPatch, mark

from damaskstall.addresses import Address
from damaskstall.events import Event
from damaskstall.network import TcpNetwork
from damaskstall.platform.operator_rows import OperatorsPlatform
from damaskstall.platform.types import Row
from damaskstall.tasks.configuration import Configuration
from damaskstall.tasks.events import (
    STATE_APPLIED,
    STATE_OUTDATED,
    STATE_REFUSED,
)
from damaskstall.tasks.ports import ConfigurationReport
from tests.tasks.cluster import configuration, route

PLATFORM = OperatorsPlatform(TcpNetwork(), Address("10.0.0.9", 1), None)
KEY = "op/config"
KNOWN_VERSION, KNOWN_REVISION = 5, 20
KNOWN_S, LATER_S, LAST_S = 100.0, 101.0, 102.0
LOWER, SAME, HIGHER = 3, KNOWN_VERSION, 9
OLDER, NEWER = 10, 30
QUEUE, OTHER_QUEUE = "queue", "other"


class Case(NamedTuple):
    """A row, and what is to follow from it: queue, confirmation, event.

    ``queue`` None stands for contents that cannot be read.
    """

    version: int
    queue: str | None
    revision: int
    in_force: str
    is_confirmed: bool
    event: Event | None


CASES = [
    Case(LOWER, QUEUE, NEWER, QUEUE, True, STATE_OUTDATED),
    Case(LOWER, OTHER_QUEUE, NEWER, QUEUE, True, STATE_OUTDATED),
    Case(LOWER, None, NEWER, QUEUE, False, STATE_REFUSED),
    Case(SAME, QUEUE, NEWER, QUEUE, True, None),
    Case(SAME, OTHER_QUEUE, NEWER, OTHER_QUEUE, True, STATE_APPLIED),
    Case(SAME, None, NEWER, QUEUE, False, STATE_REFUSED),
    Case(HIGHER, QUEUE, NEWER, QUEUE, True, STATE_APPLIED),
    Case(HIGHER, OTHER_QUEUE, NEWER, OTHER_QUEUE, True, STATE_APPLIED),
    Case(HIGHER, None, NEWER, QUEUE, False, STATE_REFUSED),
    *(
        Case(version, queue, OLDER, QUEUE, True, None)
        for version in (LOWER, SAME, HIGHER)
        for queue in (QUEUE, OTHER_QUEUE, None)
    ),
]


def value_of(version: int, queue: str | None) -> dict[str, Any]:
    """Return the contents of a row."""
    if queue is None:
        return {"version": version, "routes": "unreadable"}
    return configuration(version, routes=[route(queue, 1)])


def row_of(version: int, queue: str | None, revision: int) -> Row:
    """Return a row of the configuration."""
    return Row(KEY, revision, "", value_of(version, queue))


def by_feed(known: Configuration, row: Row, sent_s: float) -> None:
    """Apply a row as the feed shows it."""
    known.update([row], max(row.revision, known.revision), sent_s)


def by_rows(known: Configuration, row: Row, sent_s: float) -> None:
    """Apply a row as it is read.

    Rows are read as of a revision at which an older one may still be there.
    """
    known.replace([row], max(row.revision, known.revision), sent_s)


def by_peer(known: Configuration, row: Row, sent_s: float) -> None:
    """Apply a row as a peer reports it."""
    revision = max(row.revision, known.revision)
    known.merge(ConfigurationReport(0.0, revision, row, ()), sent_s)


PATHS: dict[str, Callable[[Configuration, Row, float], None]] = {
    "feed": by_feed,
    "rows": by_rows,
    "peer": by_peer,
}


def known_configuration() -> Configuration:
    """Return a configuration that was confirmed at KNOWN_S."""
    known = Configuration(PLATFORM)
    row = row_of(KNOWN_VERSION, QUEUE, KNOWN_REVISION)
    known.replace([row], KNOWN_REVISION, KNOWN_S)
    assert known.confirmed_s == KNOWN_S
    return known


@mark.parametrize("path", PATHS)
@mark.parametrize("case", CASES)
def test_row_is_applied_left_out_or_refused(
    case: Case, path: str, monkeypatch: MonkeyPatch
) -> None:
    known = known_configuration()
    events: list[Event] = []

    def record(event: Event, **fields: object) -> None:
        events.append(event)

    monkeypatch.setattr("damaskstall.tasks.configuration.log", record)
    row = row_of(case.version, case.queue, case.revision)
    for _ in range(2):
        PATHS[path](known, row, LATER_S)
        assert list(known.queues) == [case.in_force]
        assert known.queues == known.state.queue_by_name()
        assert known.state.version >= KNOWN_VERSION
        expected_s = LATER_S if case.is_confirmed else KNOWN_S
        assert known.confirmed_s == expected_s
    assert events == ([] if case.event is None else [case.event])


@mark.parametrize("last_path", PATHS)
@mark.parametrize("path", PATHS)
@mark.parametrize("case", CASES)
@mark.parametrize("version", [LOWER, SAME, HIGHER])
def test_no_row_holds_back_the_next_readable_one(
    case: Case, version: int, path: str, last_path: str
) -> None:
    known = known_configuration()
    row = row_of(case.version, case.queue, case.revision)
    PATHS[path](known, row, LATER_S)
    last = row_of(version, OTHER_QUEUE, 2 * NEWER)
    highest = known.state.version
    PATHS[last_path](known, last, LAST_S)
    assert known.confirmed_s == LAST_S
    assert known.state.version == max(version, highest)
    if version >= highest:
        assert list(known.queues) == [OTHER_QUEUE]


@mark.parametrize("path", PATHS)
def test_write_that_is_performed_after_a_later_one_changes_nothing(
    path: str,
) -> None:
    known = known_configuration()
    PATHS[path](known, row_of(HIGHER, OTHER_QUEUE, NEWER), LATER_S)
    PATHS[path](known, row_of(SAME, QUEUE, NEWER + 1), LAST_S)
    assert list(known.queues) == [OTHER_QUEUE]
    assert known.confirmed_s == LAST_S

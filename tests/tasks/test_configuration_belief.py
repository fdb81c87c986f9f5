"""What is known of the configuration is never older than it says.

Rows, changes and peers' reports of random moments arrive in any order, as late
answers do. Each was read at some moment after it was asked for.
"""

from typing import Any

from hypothesis import example, given
from hypothesis import strategies as st

from damaskstall.addresses import Address
from damaskstall.network import TcpNetwork
from damaskstall.platform.operator_rows import OperatorsPlatform
from damaskstall.platform.types import Row
from damaskstall.tasks.configuration import Configuration
from tests.tasks.cluster import configuration

PLATFORM = OperatorsPlatform(TcpNetwork(), Address("10.0.0.9", 1), None)
DOMAINS = ("fd0", "fd1")
# A write of the next version, of the last one again, or of the one before it.
NEXT, AGAIN, LATE = "config", "again", "late"


def steps_of(*names: str) -> st.SearchStrategy[list[tuple[str, bool]]]:
    """Return lists of what operators write, and whether a mark is set."""
    step = st.tuples(st.sampled_from(names), st.booleans())
    return st.lists(step, min_size=1, max_size=12)


STEPS = steps_of(NEXT, *DOMAINS)
STEPS_WITH_COPIES = steps_of(NEXT, AGAIN, LATE, *DOMAINS)
# How an answer was got, as of which moment, and as of which the one before it
# was that it starts from.
ANSWERS = st.lists(
    st.tuples(
        st.sampled_from(("rows", "changes", "report")),
        st.integers(0, 12),
        st.integers(0, 12),
    ),
    max_size=12,
)


class Store:
    """The operators' rows as of each of their revisions, one a second."""

    def __init__(self, steps: list[tuple[str, bool]]) -> None:
        """Write a version, or set or remove a mark, in each step."""
        self.versions = [3]
        self.changes = [self._config(1, 3)]
        for number, (name, present) in enumerate(steps, start=2):
            if name in (NEXT, AGAIN, LATE):
                version = self._next_version(name, number)
                self.changes.append(self._config(number, version))
                continue
            value: dict[str, Any] | None = {} if present else None
            self.changes.append(Row(f"op/evacuate/{name}", number, "", value))

    def _next_version(self, name: str, revision: int) -> int:
        if name == NEXT:
            self.versions.append(revision * 3)
        return self.versions[-2:][0] if name == LATE else self.versions[-1]

    def _config(self, revision: int, version: int) -> Row:
        return Row("op/config", revision, "", configuration(version))

    def rows(self, revision: int) -> list[Row]:
        """Return the rows as of a revision."""
        latest = {row.key: row for row in self.changes[:revision]}
        return [row for row in latest.values() if row.value is not None]

    def changed(self, after: int, revision: int) -> list[Row]:
        """Return the newest state of the rows changed after a revision."""
        latest = {row.key: row for row in self.changes[after:revision]}
        return sorted(latest.values(), key=lambda row: row.revision)


def apply(
    known: Configuration, store: Store, answer: tuple[str, int, int]
) -> None:
    """Apply one answer to what is known."""
    how, number, before = answer
    newest = len(store.changes)
    revision = min(max(1, number), newest)
    sent_s = float(revision)
    if how == "rows":
        known.replace(store.rows(revision), revision, sent_s)
    elif how == "changes" and known.known:
        # A watch that was sent when less was known, and answered late.
        after = min(before, known.revision)
        if after >= 1 and revision >= after:
            known.update(store.changed(after, revision), revision, sent_s)
    elif how == "report":
        peer = Configuration(PLATFORM)
        peer.replace(store.rows(revision), revision, sent_s)
        asked_s = float(newest)
        report = peer.report(asked_s, known.row_revision)
        known.merge(report, asked_s)


@given(STEPS, ANSWERS)
@example([("fd0", True), ("fd0", False)], [("rows", 3, 0), ("changes", 2, 1)])
def test_confirmed_knowledge_is_that_of_its_time_or_later(
    steps: list[tuple[str, bool]], answers: list[tuple[str, int, int]]
) -> None:
    store = Store(steps)
    known = Configuration(PLATFORM)
    version, confirmed_s = 0, known.confirmed_s
    for answer in answers:
        apply(known, store, answer)
        assert known.state.version >= version
        assert known.confirmed_s >= confirmed_s
        version, confirmed_s = known.state.version, known.confirmed_s
        if known.confirmed_s < 1:
            continue
        assert known.revision >= known.confirmed_s
        rows = store.rows(known.revision)
        (state,) = [row.value for row in rows if row.key == "op/config"]
        assert state is not None and known.state.version == state["version"]
        marks = {row.key.rpartition("/")[2] for row in rows}
        assert known.evacuated == marks - {"config"}


@given(STEPS_WITH_COPIES, ANSWERS)
@example([(AGAIN, True)], [("rows", 1, 0), ("changes", 2, 1)])
@example([(NEXT, True), (LATE, True)], [("rows", 2, 0), ("report", 3, 0)])
def test_copies_of_writes_are_confirmed_and_bring_no_older_version_back(
    steps: list[tuple[str, bool]], answers: list[tuple[str, int, int]]
) -> None:
    store = Store(steps)
    known = Configuration(PLATFORM)
    newest = len(store.changes)
    for answer in [*answers, ("rows", newest, 0)]:
        version = known.state.version
        apply(known, store, answer)
        assert known.state.version >= version
    assert known.confirmed_s == newest
    (row,) = [row for row in store.rows(newest) if row.key == "op/config"]
    assert row.value is not None
    assert known.state.version >= row.value["version"]
    assert known.state.version in store.versions
    if row.value["version"] == store.versions[-1]:
        assert known.row_revision == row.revision

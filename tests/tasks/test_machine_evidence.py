"""What readings of the list of machines prove about silent workers."""

from damaskstall.tasks.machine_evidence import (
    EndedWorker,
    MachineEntry,
    MachineEvidence,
    Place,
)

ALIVE = MachineEntry("m1", "w1")
DOWN = MachineEntry("m1", "")
OTHER = MachineEntry("m2", "w2")


def ended(
    evidence: MachineEvidence,
    entries: list[MachineEntry],
    now_s: float,
    since_s: float = 0.0,
) -> bool:
    """Return whether a reading proves that the silent worker w1 has ended."""
    silent_since = {"w1": since_s}
    return bool(evidence.ended_workers(silent_since, {"w2"}, entries, now_s))


def test_machine_that_no_longer_runs_its_worker_proves_the_end() -> None:
    for entry in (DOWN, MachineEntry("m1", "w3")):
        evidence = MachineEvidence()
        assert not ended(evidence, [ALIVE, OTHER], 0.0)
        assert ended(evidence, [entry, OTHER], 0.3)


def test_missing_entry_of_a_known_machine_proves_nothing() -> None:
    evidence = MachineEvidence()
    assert not ended(evidence, [ALIVE, OTHER], 0.0)
    for now_s in (0.3, 1.3, 2.3):
        assert not ended(evidence, [OTHER], now_s)


def test_worker_that_was_never_shown_must_be_absent_for_some_time() -> None:
    evidence = MachineEvidence()
    assert not ended(evidence, [DOWN, OTHER], 0.0)
    assert not ended(evidence, [DOWN, OTHER], 0.9)
    assert ended(evidence, [DOWN, OTHER], 1.0)


def test_absence_is_counted_anew_in_each_silence() -> None:
    evidence = MachineEvidence()
    assert not ended(evidence, [DOWN, OTHER], 0.0)
    assert not ended(evidence, [DOWN, OTHER], 1.5, since_s=1.2)
    assert ended(evidence, [DOWN, OTHER], 2.5, since_s=1.2)


def test_reading_that_lacks_something_known_ends_an_absence() -> None:
    torn: tuple[list[MachineEntry], ...] = (
        [],
        [OTHER],
        [DOWN],
        [DOWN, OTHER, OTHER],
        [DOWN, MachineEntry("m2", "")],
    )
    for entries in torn:
        evidence = MachineEvidence()
        assert not ended(evidence, [DOWN, OTHER], 0.0)
        assert not ended(evidence, entries, 0.9)
        assert not ended(evidence, [DOWN, OTHER], 1.2)
        assert ended(evidence, [DOWN, OTHER], 2.2)


def test_machine_that_is_removed_delays_the_proof_only_once() -> None:
    evidence = MachineEvidence()
    removed = MachineEntry("m3", "w3")
    assert not ended(evidence, [DOWN, OTHER, removed], 0.0)
    assert not ended(evidence, [DOWN, OTHER], 0.5)
    assert not ended(evidence, [DOWN, OTHER], 0.8)
    assert ended(evidence, [DOWN, OTHER], 1.8)


def test_outage_of_a_worker_that_was_never_shown_is_no_crash() -> None:
    for group in (Place("fd1", ""), Place("fd2", "r1")):
        evidence = MachineEvidence()
        down = [MachineEntry(f"m{n}", "", *group) for n in (1, 3)]
        place = Place("fd1", "r1")
        for now_s in (0.0, 1.0):
            ended = evidence.ended_workers(
                {"w1": 0.0}, {"w2"}, [*down, OTHER], now_s, {"w1": place}
            )
        assert ended == {"w1": EndedWorker(replaced=False, in_outage=True)}


def test_crash_of_a_worker_that_was_never_shown_is_no_outage() -> None:
    evidence = MachineEvidence()
    place = Place("fd1", "r1")
    entries = [
        MachineEntry("m1", "", *place),
        MachineEntry("m3", "w3", *place),
        MachineEntry("m4", "", "fd4", "r4"),
        MachineEntry("m5", "", "fd4", "r4"),
        OTHER,
    ]
    for now_s in (0.0, 1.0):
        ended = evidence.ended_workers(
            {"w1": 0.0}, {"w2"}, entries, now_s, {"w1": place}
        )
    assert ended == {"w1": EndedWorker(replaced=False, in_outage=False)}

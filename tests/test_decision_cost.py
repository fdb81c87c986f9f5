"""Bound the work and the memory of one decision by counts."""

from bench.decision_cost import Load, measure, steady

SMALL_WORKERS = 96
LARGE_WORKERS = 768
TASKS_PER_WORKER = 2
CELL_WORKERS = 128
CELL_LIMIT_BYTES = 2_000_000


def scored_per_decision(workers: int) -> float:
    """Return the blocks that a decision scores after a few changes.

    Cells with fewer racks than the changes touch would score less.
    """
    load = Load(workers)
    for _ in range(TASKS_PER_WORKER * workers):
        load.add()
    load.decide()
    steady(load)
    return steady(load)[1]


def test_decision_does_not_grow_with_the_cell() -> None:
    small = scored_per_decision(SMALL_WORKERS)
    large = scored_per_decision(LARGE_WORKERS)
    assert large <= 1.25 * small


def test_decision_without_a_change_scores_nothing() -> None:
    load = Load(SMALL_WORKERS)
    load.add()
    load.decide()
    load.decide()
    before = load.scored()
    load.decide()
    assert load.scored() == before


def test_memory_of_a_cell_fits_a_process() -> None:
    """Bound a target cell with 1,000 tasks and a queue of 1,000 jobs."""
    cost = measure(CELL_WORKERS)
    held_bytes = cost.cell_bytes * CELL_WORKERS
    held_bytes += 1000 * (cost.job_bytes + cost.queued_bytes)
    assert held_bytes <= CELL_LIMIT_BYTES

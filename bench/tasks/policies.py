"""Define the compared policies: the full one, partial ones and first fit."""

from collections.abc import Iterator
from contextlib import contextmanager

from bench.tasks.day_simulation import Policy
from damaskstall.tasks import policy as policy_module
from damaskstall.tasks import run_monitor as run_monitor_module
from damaskstall.tasks.packing import CapacityPlan, PlacementRequest, pack
from damaskstall.tasks.policy import (
    Decision,
    RoundResult,
    StartUnit,
    decide,
)
from damaskstall.tasks.ranking import by_arrival
from damaskstall.tasks.scheduling_input import SchedulingInput

FIRST_FIT = "first-fit"
FULL = "full"
NO_RESERVATIONS = "no-reservations"
NO_STOPS = "no-stops"
NO_PACE = "no-pace"
NO_WAITS = "no-waits"
POLICIES = (FIRST_FIT, NO_STOPS, NO_RESERVATIONS, NO_PACE, NO_WAITS, FULL)

# The module, the limit and its value that disable one part of the policy.
LIMIT_OVERRIDES: dict[str, tuple[object, str, float]] = {
    NO_RESERVATIONS: (policy_module, "RESERVATIONS_LIMIT", 0),
    NO_STOPS: (policy_module, "PREEMPTION_SEARCH_LIMIT", 0),
    NO_WAITS: (policy_module, "WAIT_LIMIT_S", 0),
    NO_PACE: (run_monitor_module, "CHECK_INTERVAL_S", float("inf")),
}


def first_fit(inputs: SchedulingInput, now_s: float) -> RoundResult:
    """Place units in order of acceptance on the first workers that fit."""
    plan = CapacityPlan(inputs.free_capacities)
    decisions: list[Decision] = []
    for progress in by_arrival(inputs.jobs):
        for units in progress.waiting_steps(now_s):
            for unit in units:
                step = progress.step_of(unit)
                placement = PlacementRequest(
                    step, progress.job.service, frozenset(), {}
                )
                workers = pack(plan, placement, plan.free)
                if workers is None:
                    break
                for worker in workers:
                    plan.allocate(worker, step.demand)
                decisions.append(StartUnit(progress, unit, workers))
    return RoundResult(decisions, inputs.claims, [])


@contextmanager
def override_limit(name: str) -> Iterator[None]:
    """Disable the part that a policy leaves out, within the context."""
    if name not in LIMIT_OVERRIDES:
        yield
        return
    module, limit, value = LIMIT_OVERRIDES[name]
    before = getattr(module, limit)
    setattr(module, limit, value)
    try:
        yield
    finally:
        setattr(module, limit, before)


def policy_of(name: str) -> Policy:
    """Return the function that takes the decisions of a policy."""
    return first_fit if name == FIRST_FIT else decide

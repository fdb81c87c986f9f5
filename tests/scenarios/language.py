"""Read scenarios written in YAML.

A scenario names a cluster, gives steps in order, and says how its jobs have
to end. Each step is a mapping with one key, the verb:

    apply: [resources]         declare resources through an entry
    submit: {prefix, count, spec}    declare jobs
    wait: {state, count, within_s}   until that many jobs are in a state
    advance_s: 5               let time pass
    kill / restart / freeze / thaw: process
    cut / heal: {from, to}     both ways between two patterns of names
    cut_one_way: {from, to}
    platform: {down, delay_s, lose_answers, callers}
    worker_fault: {worker, ...}
    drain / restore: failure domain
    cancel: selector
    race: {kind, name, writers}      operators replace the same version
    expect: {state: count}     of the jobs now

A process is named as in the cluster; ``holder:a`` is the scheduler that holds
the first cell of failure domain a.
"""

from pathlib import Path
from typing import Any, NamedTuple

from yaml import safe_load

DIRECTORY = Path(__file__).resolve().parent
VERBS = frozenset(
    {
        "apply",
        "submit",
        "wait",
        "advance_s",
        "kill",
        "restart",
        "freeze",
        "thaw",
        "cut",
        "heal",
        "cut_one_way",
        "platform",
        "worker_fault",
        "drain",
        "restore",
        "cancel",
        "race",
        "expect",
    }
)


class ScenarioError(Exception):
    """A scenario is not written as the language asks."""


class Layout(NamedTuple):
    """Size the cluster of a scenario."""

    failure_domains: int = 2
    workers: int = 4
    accelerators: int = 8
    schedulers: int = 2
    entries: int = 1


class Step(NamedTuple):
    """Hold one step: its verb and what the verb takes."""

    verb: str
    value: Any


class Scenario(NamedTuple):
    """Hold one scenario."""

    name: str
    proves: str
    seed: int
    layout: Layout
    steps: tuple[Step, ...]
    end_within_s: float
    end_states: dict[str, int]


def read_scenario(path: Path) -> Scenario:
    """Return the scenario of a file; raise ScenarioError on a bad one."""
    value = safe_load(path.read_text())
    return Scenario(
        name=path.stem,
        proves=value["proves"],
        seed=value.get("seed", 1),
        layout=Layout(**value.get("cluster", {})),
        steps=tuple(read_step(path, step) for step in value["steps"]),
        end_within_s=value["end"]["within_s"],
        end_states=value["end"].get("states", {}),
    )


def read_step(path: Path, step: Any) -> Step:
    """Return one step; raise ScenarioError when its verb is unknown."""
    if not isinstance(step, dict) or len(step) != 1:
        raise ScenarioError(f"{path.name}: the step {step!r} has no one verb.")
    [(verb, value)] = step.items()
    if verb not in VERBS:
        raise ScenarioError(f"{path.name}: there is no verb {verb!r}.")
    return Step(verb, value)


def scenario_files() -> list[Path]:
    """Return the files of all scenarios by name."""
    return sorted(DIRECTORY.glob("*.yaml"))

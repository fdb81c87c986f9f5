"""Format jobs, racks and guarantees as text for the terminal."""

from collections import Counter
from typing import Any

from damaskstall.resources.records import JOB_PLACED, JOB_RUNNING

FREE = "."
LETTERS = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
HOLDING_STATES = (JOB_PLACED, JOB_RUNNING)


def job_table(jobs: list[dict[str, Any]], now_unix_s: float) -> str:
    """Return a table of jobs: state, attempts, cell, duration and reason."""
    lines = [
        f"{'job':<18}{'state':<12}{'tries':>5}  {'cell':<5}{'s':>6}  reason"
    ]
    for job in jobs:
        status = job["status"]
        end_unix_s = status["ended_unix_s"] or now_unix_s
        elapsed_s = end_unix_s - status["created_unix_s"]
        lines.append(
            f"{job['name']:<18}{status['state']:<12}{status['attempt']:>5}  "
            f"{status['cell'] or '-':<5}{elapsed_s:>6.1f}  "
            f"{status['reason'][:60]}"
        )
    return "\n".join(lines)


def state_line(jobs: list[dict[str, Any]]) -> str:
    """Return one line with the number of jobs in each state."""
    counts = Counter(job["status"]["state"] for job in jobs)
    return "  ".join(f"{state} {n}" for state, n in sorted(counts.items()))


def rack_diagrams(
    jobs: list[dict[str, Any]], workers: dict[str, list[str]], width: int
) -> str:
    """Return the racks side by side, with one line for each worker.

    A line has a letter for each accelerator in use, the same for all tasks
    of a job, and ``width`` is the number of accelerators of a worker.
    """
    worker_rows: dict[str, list[str]] = {}
    for number, job in enumerate(jobs_holding_accelerators(jobs)):
        letter = LETTERS[number % len(LETTERS)]
        _, _, first, count = job["status"]["block"]
        for worker in job["status"]["tasks"]:
            row = worker_rows.setdefault(worker, [FREE] * width)
            row[first : first + count] = [letter] * count
    columns = []
    for domain, names in workers.items():
        lines = [f"rack {domain}".ljust(width)]
        for name in names:
            lines.append("".join(worker_rows.get(name, [FREE] * width)))
        columns.append(lines)
    rows = zip(*columns, strict=True)
    return "\n".join("  " + "    ".join(row) for row in rows)


def guarantee_table(
    jobs: list[dict[str, Any]], teams: list[dict[str, Any]]
) -> str:
    """Return a table of accelerators by team.

    The columns are the guaranteed number, and the numbers held within the
    guarantees and beyond them (borrowed).
    """
    guaranteed: Counter[str] = Counter()
    borrowed: Counter[str] = Counter()
    for job in jobs_holding_accelerators(jobs):
        spec = job["spec"]
        count = spec["hosts"] * spec["accelerators_per_host"]
        counts_by_team = (
            guaranteed if job["status"]["guaranteed"] else borrowed
        )
        counts_by_team[spec["team"]] += count
    lines = [f"{'team':<16}{'promised':>9}{'in use':>8}{'borrowed':>10}"]
    for team in teams:
        promised = sum(
            g["hosts"] * g["accelerators_per_host"] * g["count"]
            for g in team["spec"]["guarantees"]
        )
        name = team["name"]
        lines.append(
            f"{name:<16}{promised:>9}{guaranteed[name]:>8}"
            f"{borrowed[name]:>10}"
        )
    return "\n".join(lines)


def jobs_holding_accelerators(
    jobs: list[dict[str, Any]],
) -> list[dict[str, Any]]:
    """Return the jobs that are placed or running."""
    return [job for job in jobs if job["status"]["state"] in HOLDING_STATES]

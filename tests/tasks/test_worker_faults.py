"""Guarantees hold while workers crash, refuse, stall or are unreachable."""

from trio import current_time, sleep

from damaskstall.tasks.worker_health import (
    FAILURE_BACKOFF_S,
    PROBE_INTERVAL_S,
    REFUSAL_BACKOFF_S,
)
from standins.operators.run_history import Run
from tests.tasks.cluster import (
    URGENT,
    Cluster,
    Scenario,
    run_scenario,
)
from tests.tasks.job_specs import (
    FOUR_TASKS,
    GANG,
    ONE_TASK,
    WHOLE_WORKERS,
    job_id,
)
from tests.tasks.run_checker import check_finished_once, check_runs


def test_successor_does_not_treat_unlisted_workers_as_crashed() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [WHOLE_WORKERS], work_s=6.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 2)
        for name in cluster.workers:
            cluster.store.remove("servers", name)
        holder = cluster.holder()
        assert holder is not None
        cluster.kill_node(holder)
        await cluster.wait(lambda: cluster.holder() is not None)
        await sleep(1.0)
        for worker in cluster.workers.values():
            cluster.register_worker(worker)
        node = cluster.other_node(None)
        await cluster.wait_state(job_id(1), "completed", node=node)
        assert len(cluster.history.runs) == 2
        check_runs(cluster)

    run_scenario(scenario)


def test_new_incarnation_in_the_list_reveals_a_crash() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=3.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        worker = cluster.workers[cluster.history.runs[0].worker]
        worker.crash()
        await sleep(1.0)
        assert cluster.nursery is not None
        await worker.restart(cluster.nursery)
        cluster.register_worker(worker)
        await cluster.wait_state(job_id(1), "completed", limit_s=8.0)
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)

    run_scenario(scenario)


def test_unreachable_worker_continues_until_its_lease_expires() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=12.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        name = cluster.history.runs[0].worker
        cluster.disconnect_worker(name)
        await cluster.wait_state(job_id(1), "completed")
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)

    run_scenario(scenario)


def test_delayed_start_does_not_run_a_task_twice() -> None:
    async def scenario(cluster: Cluster) -> None:
        for worker in cluster.workers.values():
            worker.order_delays_s = [4.0, 3.0]
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=2.0)
        await cluster.submit(job_id(2), [GANG], work_s=2.0)
        for number in (1, 2):
            await cluster.wait_state(job_id(number), "completed")
            check_finished_once(cluster, job_id(number))
        check_runs(cluster)

    run_scenario(scenario)


def test_worker_that_refuses_starts_does_not_delay_a_gang() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.workers["w00"].refuse_starts = True
        await cluster.submit(job_id(1), [GANG], URGENT, work_s=1.0)
        await cluster.wait_state(job_id(1), "completed", URGENT, limit_s=5.0)
        check_runs(cluster)

    run_scenario(scenario, racks=2, per_rack=3)


def test_runs_of_a_temporarily_silent_worker_continue() -> None:
    """A run without progress reports is not treated as stalled."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=12.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        await sleep(2.0)
        name = cluster.history.runs[0].worker
        cluster.disconnect_worker(name)
        await sleep(6.0)
        cluster.reconnect_worker(name)
        await cluster.wait_state(job_id(1), "completed")
        assert len(cluster.history.runs) == 4
        check_runs(cluster)

    run_scenario(scenario)


def test_stalled_run_restarts_on_another_worker() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.workers["w00"].stall_starts = True
        await cluster.submit(job_id(1), [ONE_TASK], work_s=2.0)
        await cluster.wait_state(job_id(1), "completed", limit_s=8.0)
        assert len(cluster.history.runs) == 2
        check_runs(cluster)

    run_scenario(scenario)


def test_new_incarnation_in_answers_alone_reveals_a_crash() -> None:
    async def scenario(cluster: Cluster) -> None:
        await sleep(10.0)
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=3.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        await sleep(1.0)
        worker = cluster.workers[cluster.history.runs[0].worker]
        assert cluster.nursery is not None
        worker.crash()
        await worker.restart(cluster.nursery)
        await cluster.wait_state(job_id(1), "completed", limit_s=6.0)
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)

    run_scenario(scenario)


def test_gang_stops_when_a_start_stays_unanswered() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.workers["w00"].order_delays_s = [5.0] * 12
        await cluster.submit(job_id(1), [GANG], work_s=1.0)
        await cluster.wait_state(job_id(1), "completed")
        check_finished_once(cluster, job_id(1))
        check_runs(cluster)

    run_scenario(scenario, racks=1)


def test_last_outcomes_of_a_worker_are_acknowledged() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS])
        await cluster.wait_state(job_id(1), "completed")
        await sleep(0.5)
        assert all(
            run.acknowledged_s is not None for run in cluster.history.runs
        )

    run_scenario(scenario)


def test_worker_that_is_listed_again_gets_a_new_session() -> None:
    """The pool must not keep an ended session of a worker as a live one."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=2.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        for name in cluster.workers:
            cluster.store.remove("servers", name)
        await cluster.wait_state(job_id(1), "completed")
        for worker in cluster.workers.values():
            cluster.register_worker(worker)
        await cluster.submit(job_id(2), [FOUR_TASKS], work_s=13.0)
        await cluster.wait_state(job_id(2), "completed", limit_s=16.0)
        assert len(cluster.history.runs) == 8
        check_runs(cluster)

    for wait in range(4):
        run_scenario(scenario, seed=wait)


def test_refused_retry_of_a_start_does_not_prove_it_never_ran() -> None:
    """An earlier attempt that was not answered may have started the run."""

    def scenario_with(unanswered_orders: int) -> Scenario:
        async def scenario(cluster: Cluster) -> None:
            order_delays_s = [1.0, 1.0] + [5.0] * unanswered_orders
            cluster.workers["w00"].order_delays_s = order_delays_s
            await cluster.submit(job_id(1), [FOUR_TASKS], work_s=4.0)
            await cluster.wait_state(job_id(1), "completed")
            check_finished_once(cluster, job_id(1))
            check_runs(cluster)

        return scenario

    for unanswered_orders in range(2, 14):
        run_scenario(scenario_with(unanswered_orders))


def test_gang_with_a_stalled_member_restarts_elsewhere() -> None:
    """Each member reports its own progress, so one may stall alone."""

    async def scenario(cluster: Cluster) -> None:
        cluster.workers["w00"].stall_starts = True
        await cluster.submit(job_id(1), [GANG], work_s=6.0)
        await cluster.wait_state(job_id(1), "completed", limit_s=13.0)
        assert {run.worker for run in cluster.history.runs[2:]}.isdisjoint(
            {"w00"}
        )
        check_runs(cluster)

    run_scenario(scenario, racks=1, per_rack=3)


def inject_unknown_run(cluster: Cluster, name: str) -> None:
    """Add a run to a worker as an earlier holder may have started it.

    No row of the job exists.
    """
    unknown = "f" * 16
    worker = cluster.workers[name]
    cluster.history.jobs[unknown] = {"steps": [{**WHOLE_WORKERS, "count": 1}]}
    cluster.history.work_s[unknown] = 20.0
    number = len(cluster.history.runs) + 1
    run = Run(f"{unknown}.0.0.0", number, name, current_time(), 0.0)
    worker.running[run.task, run.run] = run
    worker.lease_until_s = worker.clock_s() + 10.0
    cluster.history.record_start(run)


def test_run_without_a_row_still_occupies_its_worker() -> None:
    """Its worker gets no new tasks before the unknown run has stopped."""

    async def scenario(cluster: Cluster) -> None:
        holder = cluster.holder()
        assert holder is not None
        cluster.kill_node(holder)
        node = cluster.other_node(holder)
        await cluster.submit(job_id(1), [ONE_TASK], node=node)
        inject_unknown_run(cluster, "w00")
        await cluster.wait_state(job_id(1), "completed", node=node)
        assert cluster.history.runs[0].how == "stopped"
        check_runs(cluster)

    run_scenario(scenario, racks=1, per_rack=1)


def backoff_left_s(cluster: Cluster, name: str) -> float:
    """Return for how long the holder lets a worker back off."""
    node = cluster.holder()
    assert node is not None
    holder = cluster.nodes[node].election.holder
    assert holder is not None
    health = holder.pool.sessions[name].health
    return health.backoff_until_s - current_time()


def test_failures_that_arrive_together_back_off_a_worker_once() -> None:
    def outcome(run: Run) -> str:
        return "failed" if run.worker == "w00" else "done"

    async def scenario(cluster: Cluster) -> None:
        cluster.history.choose_outcome = outcome
        for number in range(1, 7):
            await cluster.submit(job_id(number), [ONE_TASK], work_s=2.0)
        await cluster.wait(lambda: backoff_left_s(cluster, "w00") > 0)
        for number in range(1, 7):
            await cluster.wait_state(job_id(number), "completed")
        assert backoff_left_s(cluster, "w00") < FAILURE_BACKOFF_S
        check_runs(cluster)

    run_scenario(scenario, racks=1)


def test_refusals_that_arrive_together_back_off_a_worker_once() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.workers["w00"].refuse_starts = True
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=2.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        assert backoff_left_s(cluster, "w00") <= REFUSAL_BACKOFF_S
        check_runs(cluster)

    run_scenario(scenario, racks=1)


def test_healthy_worker_is_used_before_its_backoff_ends() -> None:
    """Nor is a worker that refuses all starts called without a pause."""

    async def scenario(cluster: Cluster) -> None:
        cluster.workers["w00"].refuse_starts = True
        await cluster.submit(job_id(1), [ONE_TASK], work_s=1.0)
        refused_s = 12.0
        await sleep(refused_s)
        cluster.workers["w00"].refuse_starts = False
        await cluster.wait_state(job_id(1), "completed", limit_s=3.0)
        [run] = cluster.history.runs
        assert run.run <= 2 * refused_s / PROBE_INTERVAL_S
        check_runs(cluster)

    run_scenario(scenario, racks=1, per_rack=1)


def test_only_worker_of_two_jobs_is_probed_in_its_backoff() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.history.choose_outcome = lambda run: "failed"
        for number in (1, 2):
            await cluster.submit(job_id(number), [ONE_TASK], work_s=0.5)
        await cluster.wait(lambda: backoff_left_s(cluster, "w00") > 0)
        cluster.history.choose_outcome = lambda run: "done"
        for number in (1, 2):
            await cluster.wait_state(job_id(number), "completed", limit_s=4.0)
        check_runs(cluster)

    run_scenario(scenario, racks=1, per_rack=1)

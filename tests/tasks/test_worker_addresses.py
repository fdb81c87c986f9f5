"""A worker that moves to another address is called there."""

from trio import sleep

from damaskstall.addresses import Address
from standins.operators.worker import PORT, StandinWorker
from tests.tasks.cluster import CAPACITY, Cluster, run_scenario
from tests.tasks.job_specs import FOUR_TASKS, job_id
from tests.tasks.run_checker import check_runs


def test_worker_that_moves_to_another_address_keeps_its_runs() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [FOUR_TASKS], work_s=6.0)
        await cluster.wait(lambda: len(cluster.history.runs) == 4)
        worker = cluster.workers[cluster.history.runs[0].worker]
        assert cluster.nursery is not None
        earlier_address = worker.address
        await worker.move(cluster.nursery, Address("10.1.9.9", PORT))
        other = StandinWorker(
            cluster.network,
            cluster.history,
            "w09",
            earlier_address,
            worker.rack,
            CAPACITY,
        )
        await cluster.nursery.start(other.run)
        await sleep(0.5)
        cluster.register_worker(worker)
        await cluster.wait_state(job_id(1), "completed")
        check_runs(cluster)
        assert len(cluster.history.runs) == 4
        name = cluster.holder()
        assert name is not None
        holder = cluster.nodes[name].election.holder
        assert holder is not None
        assert holder.pool.is_reachable(worker.name)

    run_scenario(scenario)

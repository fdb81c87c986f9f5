"""Promises hold while nodes, workers and the store fail."""

from pytest import MonkeyPatch, mark
from trio import sleep

from standins.operators.store import BUSY, EVERYONE, MANY, RESET, SILENT
from tests.tasks.checker import check_finished_once, check_runs
from tests.tasks.jobs import FOUR, GANG, ONE, WHOLE, job_id
from tests.tasks.world import (
    BULK,
    NORMAL,
    URGENT,
    Scenario,
    World,
    play,
)


def other_than(world: World, name: str | None) -> str:
    """Return a node other than the named one."""
    return next(node for node in world.nodes if node != name)


def test_successor_adopts_what_runs_and_kills_nothing() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR], work_s=8.0)
        await world.submit(job_id(2), [GANG], work_s=8.0)
        await world.wait(lambda: len(world.book.runs) == 6)
        holder = world.holder()
        assert holder is not None
        world.kill_node(holder)
        took_s = await world.wait(lambda: world.holder() is not None)
        assert took_s < 3.0
        node = other_than(world, None)
        for number in (1, 2):
            await world.wait_state(job_id(number), "completed", node=node)
            check_finished_once(world, job_id(number))
        assert len(world.book.runs) == 6
        check_runs(world)

    play(scenario)


def test_ends_listed_while_nobody_decides_are_kept() -> None:
    """A successor reads all jobs before it acknowledges any end."""

    async def scenario(world: World) -> None:
        for number in range(1, 4):
            await world.submit(job_id(number), [FOUR], work_s=2.0)
        await world.wait(lambda: len(world.book.runs) == 12)
        holder = world.holder()
        assert holder is not None
        await sleep(1.0)
        world.kill_node(holder)
        await world.wait(lambda: world.holder() is not None)
        node = other_than(world, None)
        for number in range(1, 4):
            await world.wait_state(job_id(number), "completed", node=node)
        assert len(world.book.runs) == 12
        check_runs(world)

    play(scenario)


def test_ends_are_kept_while_the_store_refuses_the_holder() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR], work_s=2.0)
        await world.wait(lambda: len(world.book.runs) == 4)
        holder = world.holder()
        assert holder is not None
        world.store.faults[holder] = MANY
        node = other_than(world, holder)
        await world.wait_state(job_id(1), "completed", node=node)
        assert len(world.book.runs) == 4
        check_runs(world)

    play(scenario)


def test_unlisted_worker_is_not_taken_as_gone_by_a_successor() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [WHOLE], work_s=6.0)
        await world.wait(lambda: len(world.book.runs) == 2)
        for name in world.workers:
            world.store.remove("servers", name)
        holder = world.holder()
        assert holder is not None
        world.kill_node(holder)
        await world.wait(lambda: world.holder() is not None)
        await sleep(1.0)
        for worker in world.workers.values():
            world.list_worker(worker)
        node = other_than(world, None)
        await world.wait_state(job_id(1), "completed", node=node)
        assert len(world.book.runs) == 2
        check_runs(world)

    play(scenario)


def test_all_nodes_lose_power_right_after_an_acceptance() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR], work_s=6.0)
        await world.wait(lambda: len(world.book.runs) == 4)
        await world.submit(job_id(2), [ONE], work_s=1.0)
        for name in list(world.nodes):
            world.kill_node(name)
        await sleep(1.0)
        for name in ("n0", "n1"):
            await world.start_node(name)
        took_s = await world.wait(lambda: world.holder() is not None)
        assert took_s < 1.0
        for number in (1, 2):
            await world.wait_state(job_id(number), "completed")
            check_finished_once(world, job_id(number))
        assert len(world.book.runs) == 5
        check_runs(world)

    play(scenario)


@mark.parametrize("fault", [BUSY, MANY, RESET, SILENT])
def test_store_outage_loses_nothing(fault: str) -> None:
    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR], work_s=3.0)
        await world.wait(lambda: len(world.book.runs) == 4)
        world.store.faults[EVERYONE] = fault
        await sleep(1.0)
        reply = await world.submit(job_id(2), [FOUR])
        assert reply.status in (503, 504)
        await sleep(4.0)
        del world.store.faults[EVERYONE]
        await sleep(3.0)
        await world.wait_state(job_id(1), "completed")
        assert len(world.runs_of(job_id(1))) == 4
        check_runs(world)

    play(scenario)


def test_refused_job_never_runs() -> None:
    async def scenario(world: World) -> None:
        world.store.faults[EVERYONE] = BUSY
        reply = await world.submit(job_id(1), [ONE])
        assert reply.status == 503
        assert int(reply.headers["retry-after"]) >= 1
        del world.store.faults[EVERYONE]
        await sleep(5.0)
        assert not world.book.runs
        assert (
            await world.call("GET", f"/{NORMAL}/{job_id(1)}")
        ).status == 410

    play(scenario)


def test_lost_answer_of_the_store_is_settled() -> None:
    async def scenario(world: World) -> None:
        world.store.lose_answers = 1
        reply = await world.submit(job_id(1), [ONE])
        assert reply.status == 200
        await world.wait_state(job_id(1), "completed")
        check_finished_once(world, job_id(1))

    play(scenario)


def test_late_write_of_the_store_is_never_called_refused() -> None:
    async def scenario(world: World) -> None:
        world.store.late_writes_s = [4.0]
        reply = await world.submit(job_id(1), [ONE])
        assert reply.status in (200, 504)
        await sleep(5.0)
        again = await world.submit(job_id(1), [ONE])
        assert again.status == 200
        await world.wait_state(job_id(1), "completed")
        check_finished_once(world, job_id(1))
        check_runs(world)

    play(scenario)


def test_dropped_history_is_read_anew() -> None:
    async def scenario(world: World) -> None:
        world.store.deaf = True
        await world.submit(job_id(1), [FOUR])
        await sleep(0.5)
        world.store.drop_history()
        await world.wait_state(job_id(1), "completed", limit_s=5.0)
        check_runs(world)

    play(scenario)


def test_crashed_worker_is_known_by_its_next_life() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR], work_s=3.0)
        await world.wait(lambda: len(world.book.runs) == 4)
        worker = world.workers[world.book.runs[0].worker]
        worker.crash()
        await sleep(1.0)
        assert world.nursery is not None
        await worker.restart(world.nursery)
        world.list_worker(worker)
        await world.wait_state(job_id(1), "completed", limit_s=8.0)
        check_finished_once(world, job_id(1))
        check_runs(world)

    play(scenario)


def test_worker_that_is_cut_off_runs_on_until_its_lease_lapses() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR], work_s=12.0)
        await world.wait(lambda: len(world.book.runs) == 4)
        name = world.book.runs[0].worker
        world.cut_worker(name)
        await world.wait_state(job_id(1), "completed")
        check_finished_once(world, job_id(1))
        check_runs(world)

    play(scenario)


def test_order_carried_out_late_does_not_run_twice() -> None:
    async def scenario(world: World) -> None:
        for worker in world.workers.values():
            worker.late_orders_s = [4.0, 3.0]
        await world.submit(job_id(1), [FOUR], work_s=2.0)
        await world.submit(job_id(2), [GANG], work_s=2.0)
        for number in (1, 2):
            await world.wait_state(job_id(number), "completed")
            check_finished_once(world, job_id(number))
        check_runs(world)

    play(scenario)


def test_worker_that_refuses_starts_does_not_hold_a_gang_up() -> None:
    async def scenario(world: World) -> None:
        world.workers["w00"].refuse_starts = True
        await world.submit(job_id(1), [GANG], URGENT, work_s=1.0)
        await world.wait_state(job_id(1), "completed", URGENT, limit_s=5.0)
        check_runs(world)

    play(scenario, racks=2, per_rack=3)


def test_two_holders_in_turn_over_a_cut_store() -> None:
    """A holder that neither store nor peers hear gives way to the next."""

    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR, {**FOUR, "after": [0]}], BULK)
        first = world.holder()
        assert first is not None
        for host in ("store", *world.nodes):
            world.network.cut(first, host)
        await world.submit(
            job_id(2), [GANG], URGENT, node=other_than(world, first)
        )
        await world.wait(lambda: world.holder() not in (None, first))
        for host in ("store", *world.nodes):
            world.network.heal(first, host)
        for number, queue in ((1, BULK), (2, URGENT)):
            await world.wait_state(job_id(number), "completed", queue)
            check_finished_once(world, job_id(number))
        check_runs(world)

    play(scenario)


def test_planned_stop_hands_over_and_serves_on() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR], work_s=5.0)
        await world.wait(lambda: len(world.book.runs) == 4)
        holder = world.holder()
        assert holder is not None
        assert world.nursery is not None
        world.nursery.start_soon(world.stop_node, holder)
        took_s = await world.wait(lambda: world.holder() not in (None, holder))
        assert took_s < 1.2
        reply = await world.submit(job_id(2), [ONE], node=holder)
        assert reply.status == 200
        node = other_than(world, holder)
        await world.wait_state(job_id(1), "completed", node=node)
        assert len(world.runs_of(job_id(1))) == 4
        check_runs(world)

    play(scenario)


def test_runs_of_a_worker_that_is_silent_for_a_while_go_on() -> None:
    """A run that nobody can see is not taken as standing still."""

    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR], work_s=12.0)
        await world.wait(lambda: len(world.book.runs) == 4)
        await sleep(2.0)
        name = world.book.runs[0].worker
        world.cut_worker(name)
        await sleep(6.0)
        world.heal_worker(name)
        await world.wait_state(job_id(1), "completed")
        assert len(world.book.runs) == 4
        check_runs(world)

    play(scenario)


def test_run_that_stands_still_goes_on_elsewhere() -> None:
    async def scenario(world: World) -> None:
        world.workers["w00"].stall_starts = True
        await world.submit(job_id(1), [ONE], work_s=2.0)
        await world.wait_state(job_id(1), "completed", limit_s=8.0)
        assert len(world.book.runs) == 2
        check_runs(world)

    play(scenario)


def isolate(world: World, name: str) -> None:
    """Cut a node off from the store and from the other nodes."""
    for host in ("store", *world.nodes):
        world.network.cut(name, host)
        world.network.cut(host, name)


def test_ends_that_only_a_cut_off_holder_saw_are_not_lost() -> None:
    """An end is acknowledged once it is stored, and not before."""

    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR], work_s=2.0)
        await world.submit(job_id(2), [ONE], work_s=20.0)
        await world.wait(lambda: len(world.book.runs) == 5)
        holder = world.holder()
        assert holder is not None
        await sleep(1.6)
        isolate(world, holder)
        await sleep(0.6)
        world.kill_node(holder)
        await world.wait(lambda: world.holder() is not None)
        node = other_than(world, holder)
        await world.wait_state(job_id(1), "completed", node=node)
        check_finished_once(world, job_id(1))
        check_runs(world)

    play(scenario)


def test_job_whose_storing_is_unknown_is_not_called_refused() -> None:
    async def scenario(world: World) -> None:
        assert world.nursery is not None
        await sleep(1.0)

        async def refuse_after_loss() -> None:
            await world.wait(lambda: world.store.lose_answers == 0)
            world.store.faults[EVERYONE] = BUSY

        world.store.lose_answers = 1
        world.nursery.start_soon(refuse_after_loss)
        reply = await world.submit(job_id(1), [ONE], node="n1")
        del world.store.faults[EVERYONE]
        if reply.status == 503:
            await sleep(5.0)
            assert not world.book.runs

    for seed in range(8):
        play(scenario, seed=seed)


def test_next_life_of_a_worker_is_told_by_its_answers_alone() -> None:
    async def scenario(world: World) -> None:
        await sleep(10.0)
        await world.submit(job_id(1), [FOUR], work_s=3.0)
        await world.wait(lambda: len(world.book.runs) == 4)
        await sleep(1.0)
        worker = world.workers[world.book.runs[0].worker]
        assert world.nursery is not None
        worker.crash()
        await worker.restart(world.nursery)
        await world.wait_state(job_id(1), "completed", limit_s=6.0)
        check_finished_once(world, job_id(1))
        check_runs(world)

    play(scenario)


def test_gang_start_that_is_lost_for_long_stops_the_gang() -> None:
    async def scenario(world: World) -> None:
        world.workers["w00"].late_orders_s = [5.0] * 12
        await world.submit(job_id(1), [GANG], work_s=1.0)
        await world.wait_state(job_id(1), "completed")
        check_finished_once(world, job_id(1))
        check_runs(world)

    play(scenario, racks=1)


def test_last_ends_of_a_worker_are_acknowledged() -> None:
    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR])
        await world.wait_state(job_id(1), "completed")
        await sleep(0.5)
        assert all(run.noted_s is not None for run in world.book.runs)

    play(scenario)


def test_worker_that_is_listed_again_is_spoken_to_again() -> None:
    """A session that has ended is not taken for a live one."""

    async def scenario(world: World) -> None:
        await world.submit(job_id(1), [FOUR], work_s=2.0)
        await world.wait(lambda: len(world.book.runs) == 4)
        for name in world.workers:
            world.store.remove("servers", name)
        await world.wait_state(job_id(1), "completed")
        for worker in world.workers.values():
            world.list_worker(worker)
        await world.submit(job_id(2), [FOUR], work_s=13.0)
        await world.wait_state(job_id(2), "completed", limit_s=16.0)
        assert len(world.book.runs) == 8
        check_runs(world)

    for wait in range(4):
        play(scenario, seed=wait)


def test_refused_repeat_of_a_start_is_no_proof_that_it_never_ran() -> None:
    """An earlier try that was not answered may have been carried out."""

    def scenario_with(lost_orders: int) -> Scenario:
        async def scenario(world: World) -> None:
            late_orders_s = [1.0, 1.0] + [5.0] * lost_orders
            world.workers["w00"].late_orders_s = late_orders_s
            await world.submit(job_id(1), [FOUR], work_s=4.0)
            await world.wait_state(job_id(1), "completed")
            check_finished_once(world, job_id(1))
            check_runs(world)

        return scenario

    for lost_orders in range(2, 14):
        play(scenario_with(lost_orders))


def test_successor_knows_all_jobs_though_they_fill_several_pages(
    monkeypatch: MonkeyPatch,
) -> None:
    monkeypatch.setattr("standins.operators.rows.PAGE_ROWS", 2)

    async def scenario(world: World) -> None:
        numbers = range(1, 41)
        for number in numbers:
            await world.submit(job_id(number), [WHOLE], work_s=0.5)
        holder = world.holder()
        assert holder is not None
        world.kill_node(holder)
        node = other_than(world, None)
        for number in numbers:
            await world.wait_state(job_id(number), "completed", node=node)
        check_runs(world)

    play(scenario)


def test_gang_of_which_one_member_stands_still_goes_on_elsewhere() -> None:
    """Each member tells a percent of its own."""

    async def scenario(world: World) -> None:
        world.workers["w00"].stall_starts = True
        await world.submit(job_id(1), [GANG], work_s=6.0)
        await world.wait_state(job_id(1), "completed", limit_s=13.0)
        assert {run.worker for run in world.book.runs[2:]}.isdisjoint({"w00"})
        check_runs(world)

    play(scenario, racks=1, per_rack=3)


def test_planned_stop_hands_over_though_a_renewal_is_under_way() -> None:
    """A renewal that is cancelled may still move the row of the lease."""

    def scenario_after(wait_s: float) -> Scenario:
        async def scenario(world: World) -> None:
            world.store.slow_factor = 40.0
            await sleep(3.0 + wait_s)
            holder = world.holder()
            assert holder is not None
            assert world.nursery is not None
            world.nursery.start_soon(world.stop_node, holder)
            took_s = await world.wait(
                lambda: world.holder() not in (None, holder)
            )
            # Urgent work must begin 2.7 s after its acceptance.
            assert took_s < 2.5

        return scenario

    for number in range(6):
        play(scenario_after(0.1 * number))

"""Test jobs while real scheduler processes are killed and frozen."""

from pathlib import Path

from tests.processes.cluster import Bench, run_with_cluster


def test_killed_holder_loses_no_job(tmp_path: Path) -> None:
    async def scenario(bench: Bench) -> None:
        await bench.submit(4, run_s=3)
        await bench.wait_state("running", 1)
        bench.kill(await bench.holder())
        await bench.wait_ended()
        assert await bench.broken() == []

    run_with_cluster(tmp_path, scenario)


def test_frozen_holder_wakes_harmless(tmp_path: Path) -> None:
    async def scenario(bench: Bench) -> None:
        await bench.submit(6, run_s=3)
        await bench.wait_state("running", 1)
        frozen = await bench.holder()
        bench.freeze(frozen)
        await bench.wait_other_holder(frozen)
        bench.thaw(frozen)
        await bench.wait_ended()
        assert await bench.broken() == []

    run_with_cluster(tmp_path, scenario)


def test_frozen_platform_delays_and_loses_nothing(tmp_path: Path) -> None:
    async def scenario(bench: Bench) -> None:
        await bench.submit(4, run_s=3)
        await bench.wait_state("running", 1)
        bench.freeze("platform")
        finished = 0
        while not finished:
            records = await bench.records()
            finished = sum(r["event"] == "finished" for r in records)
        bench.thaw("platform")
        await bench.wait_ended()
        assert await bench.broken() == []

    run_with_cluster(tmp_path, scenario)


def test_planned_stop_hands_the_cell_over(tmp_path: Path) -> None:
    async def scenario(bench: Bench) -> None:
        await bench.submit(4, run_s=3)
        await bench.wait_state("running", 1)
        former = await bench.holder()
        process = bench.processes.running[former].process
        process.terminate()
        assert await process.wait() == 0
        await bench.wait_ended()
        assert await bench.broken() == []

    run_with_cluster(tmp_path, scenario)

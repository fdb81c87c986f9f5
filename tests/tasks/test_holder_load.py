"""The holder measures its rounds and its own delay, and logs when it lags."""

from pytest import MonkeyPatch, approx
from trio import sleep
from trio.lowlevel import current_clock
from trio.testing import MockClock

from damaskstall.events import Event
from damaskstall.metrics import render_metrics
from damaskstall.tasks.events import HOLDER_CAUGHT_UP, HOLDER_DELAYED
from damaskstall.tasks.holder_load import (
    CAUGHT_UP_S,
    DELAY_LIMIT_S,
    PEAK_KEPT_S,
    PROBE_INTERVAL_S,
    RECENT_S,
    HolderLoad,
    WorkCounts,
)
from damaskstall.tasks.metrics import HOLDER_DELAY_SECONDS, NO_LABELS
from tests.tasks.cluster import Cluster, run_scenario
from tests.tasks.job_specs import ONE_TASK, job_id

Line = tuple[Event, dict[str, object]]
COUNTS = WorkCounts(3, 20, 4)


def record_lines(monkeypatch: MonkeyPatch) -> list[Line]:
    """Collect the events that are logged about the holder's load."""
    lines: list[Line] = []
    monkeypatch.setattr(
        "damaskstall.tasks.holder_load.log",
        lambda event, **fields: lines.append((event, fields)),
    )
    return lines


def probe_for(
    load: HolderLoad, delay_s: float, start_s: float, duration_s: float
) -> float:
    """Record the same delay at each probe; return the time afterwards."""
    now_s = start_s
    while now_s < start_s + duration_s:
        now_s += PROBE_INTERVAL_S + delay_s
        load.record_delay(delay_s, now_s)
    return now_s


def test_delay_is_logged_with_the_work_of_the_holder(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)
    load = HolderLoad(lambda: COUNTS)
    load.record_round(0.12)
    load.record_delay(DELAY_LIMIT_S, 9.0)
    assert not lines
    load.record_delay(0.4, 10.0)
    assert lines == [
        (
            HOLDER_DELAYED,
            {
                "delay_s": 0.4,
                "greatest_delay_s": 0.4,
                "round_s": 0.12,
                "jobs": 3,
                "waiting_units": 20,
                "workers": 4,
            },
        )
    ]


def test_lasting_delay_is_logged_at_most_once_a_second(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)
    counted: list[None] = []

    def count_work() -> WorkCounts:
        counted.append(None)
        return COUNTS

    probe_for(HolderLoad(count_work), 0.25, 0.0, 10.0)
    assert 8 <= len(lines) <= 10
    assert {event for event, _ in lines} == {HOLDER_DELAYED}
    assert len(counted) == len(lines)


def test_holder_that_caught_up_is_logged_once(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)
    load = HolderLoad(lambda: COUNTS)
    now_s = probe_for(load, 0.25, 0.0, 2.0)
    load.record_delay(0.8, now_s)
    now_s = probe_for(load, 0.01, now_s, CAUGHT_UP_S - 0.2)
    assert HOLDER_CAUGHT_UP not in {event for event, _ in lines}
    now_s = probe_for(load, 0.01, now_s, 20.0)
    found = [fields for event, fields in lines if event is HOLDER_CAUGHT_UP]
    assert [fields["greatest_delay_s"] for fields in found] == [0.8]
    load.record_delay(0.3, now_s)
    assert lines[-1][1]["greatest_delay_s"] == 0.3


def test_metric_keeps_the_greatest_recent_delay() -> None:
    load = HolderLoad(lambda: COUNTS)
    load.record_delay(0.15, 1.0)
    load.record_delay(0.01, 1.5)
    assert HOLDER_DELAY_SECONDS.get(NO_LABELS) == 0.15
    load.record_delay(0.02, 1.0 + PEAK_KEPT_S)
    assert HOLDER_DELAY_SECONDS.get(NO_LABELS) == 0.02


def test_stopped_event_loop_of_the_holder_is_logged(
    monkeypatch: MonkeyPatch,
) -> None:
    lines = record_lines(monkeypatch)

    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK], work_s=8.0)
        await sleep(1.0)
        assert not lines
        clock = current_clock()
        assert isinstance(clock, MockClock)
        clock.jump(0.4)
        await sleep(1.0)
        assert [event for event, _ in lines] == [HOLDER_DELAYED]
        fields = lines[0][1]
        assert fields["delay_s"] == approx(0.4, abs=PROBE_INTERVAL_S)
        assert (fields["jobs"], fields["workers"]) == (1, 4)
        await sleep(CAUGHT_UP_S)
        assert [event for event, _ in lines] == [
            HOLDER_DELAYED,
            HOLDER_CAUGHT_UP,
        ]
        holder = cluster.holder()
        assert holder is not None
        await cluster.stop_node(holder)

    run_scenario(scenario, nodes=1)
    assert HOLDER_DELAY_SECONDS.get(NO_LABELS) == 0


def test_rounds_are_among_the_metrics() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.submit(job_id(1), [ONE_TASK])
        await cluster.wait_state(job_id(1), "completed")

    run_scenario(scenario)
    assert b"damaskstall_round_seconds_bucket{" in render_metrics()[0]


def test_delays_are_forgotten_on_a_holder_that_calls_no_worker() -> None:
    load = HolderLoad(lambda: COUNTS)
    probe_for(load, 0.0, 0.0, 600.0)
    assert len(load._recent) <= 1.0 + RECENT_S / PROBE_INTERVAL_S

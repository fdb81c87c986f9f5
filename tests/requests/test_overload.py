"""Test that excess load is refused early and shared fairly by teams."""

from functools import partial
from typing import Any

from trio import Event, open_nursery, sleep

from damaskstall.http.client import HttpConnection
from tests.request_checker import ANSWERED, NOT_RUN, CallerRecord
from tests.requests.cluster import (
    CallSpec,
    Cluster,
    Entry,
    offer_load,
    run_in_cluster,
)

DEADLINE_S = 2.0
SERVICE_TIME_S = 0.2
CAPACITY_PER_S = 2 * 4 / SERVICE_TIME_S


async def start(cluster: Cluster, **settings: Any) -> list[Entry]:
    """Start two backend servers of four slots each and two entries."""
    for number in range(2):
        await cluster.add_backend(
            f"b{number}", slots=4, service_time_s=SERVICE_TIME_S
        )
    entries = [await cluster.add_entry(f"e{n}", **settings) for n in range(2)]
    await cluster.wait_for_health_checks()
    return entries


def team_call(
    team: str, name: str, deadline_s: float = DEADLINE_S
) -> CallSpec:
    """Return one call of a team."""
    return CallSpec(name, team=team, deadline_s=deadline_s)


class Load:
    """A source of calls whose tags differ from those of other loads."""

    def __init__(self, name: str) -> None:
        """Start all tags with ``name``."""
        self.name = name

    def call(self, number: int) -> CallSpec:
        """Return one call."""
        return team_call("press", f"{self.name}{number}")


def goodput(records: list[CallerRecord]) -> int:
    """Return the number of callers that were answered in time."""
    return sum(
        r.outcome == ANSWERED and r.elapsed_s <= DEADLINE_S for r in records
    )


def test_goodput_stays_near_its_peak() -> None:
    async def scenario(cluster: Cluster) -> None:
        entries = await start(cluster)
        counts = []
        for times in (1, 3):
            records = await offer_load(
                cluster,
                entries,
                times * CAPACITY_PER_S,
                6,
                Load(f"x{times}-").call,
            )
            counts.append(goodput(records))
        assert counts[1] > 0.85 * counts[0]

    run_in_cluster(scenario)


def test_excess_load_is_refused_early() -> None:
    async def scenario(cluster: Cluster) -> None:
        entries = await start(cluster)
        records = await offer_load(
            cluster,
            entries,
            4 * CAPACITY_PER_S,
            5,
            lambda n: team_call("press", f"t{n}"),
        )
        refused = [r.elapsed_s for r in records if r.outcome == NOT_RUN]
        late = [s for s in refused if s > DEADLINE_S / 4]
        assert len(refused) > 300
        assert len(late) < 0.1 * len(refused)

    run_in_cluster(scenario)


def test_burst_of_one_team_leaves_the_others_their_share() -> None:
    async def scenario(cluster: Cluster) -> None:
        entries = await start(cluster)
        quiet: list[CallerRecord] = []

        async def offer_light_load() -> None:
            quiet.extend(
                await offer_load(
                    cluster,
                    entries,
                    0.4 * CAPACITY_PER_S,
                    6,
                    lambda n: team_call("clerks", f"c{n}"),
                )
            )

        async with open_nursery() as nursery:
            nursery.start_soon(offer_light_load)
            await offer_load(
                cluster,
                entries,
                4 * CAPACITY_PER_S,
                6,
                lambda n: team_call("press", f"p{n}"),
            )
        assert goodput(quiet) > 0.9 * len(quiet)

    run_in_cluster(scenario)


def test_weights_set_the_shares() -> None:
    async def scenario(cluster: Cluster) -> None:
        cluster.weights = {"press": 3.0, "clerks": 1.0}
        entries = await start(cluster)
        counts = {}

        async def offer(team: str) -> None:
            records = await offer_load(
                cluster,
                entries,
                3 * CAPACITY_PER_S,
                6,
                lambda n: team_call(team, f"{team}{n}"),
            )
            counts[team] = goodput(records)

        async with open_nursery() as nursery:
            nursery.start_soon(offer, "press")
            nursery.start_soon(offer, "clerks")
        assert 2.2 < counts["press"] / counts["clerks"] < 4.0

    run_in_cluster(scenario)


def test_full_queue_is_refused_at_once() -> None:
    async def scenario(cluster: Cluster) -> None:
        entries = await start(cluster, queue_limit=2)
        async with open_nursery() as nursery:
            for number in range(30):
                call = team_call("press", f"t{number}", deadline_s=60)
                nursery.start_soon(cluster.call, entries[0], call)
        full = [r for r in cluster.callers if r.status == 429]
        assert len(full) >= 10
        assert max(r.elapsed_s for r in full) < 0.1

    run_in_cluster(scenario)


def test_queued_request_of_a_disconnected_caller_is_dropped() -> None:
    async def scenario(cluster: Cluster) -> None:
        entries = await start(cluster)
        release = Event()

        async def occupy_slot(number: int) -> None:
            call = CallSpec(f"hold{number}", run_s=1.0)
            await cluster.call(entries[0], call)

        async def call_and_disconnect() -> None:
            connection = await HttpConnection.open(
                cluster.network.endpoint("gone"), entries[0].address
            )
            call = CallSpec("gone")
            headers = (("damaskstall-team", "press"),)
            await connection.send(
                "POST", "/v1/requests/minutes", headers, call.body()
            )
            await sleep(0.2)
            await connection.close()
            release.set()

        async with open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(occupy_slot, number)
            await sleep(0.1)
            nursery.start_soon(call_and_disconnect)
            await release.wait()
            await sleep(0.1)
            assert entries[0].gateway.in_flight == 4
        assert not any(run.tag == "gone" for run in cluster.runs())

    run_in_cluster(scenario)


def test_removed_service_refuses_its_queued_requests() -> None:
    async def scenario(cluster: Cluster) -> None:
        entries = await start(cluster)
        async with open_nursery() as nursery:
            for number in range(8):
                call = CallSpec(f"t{number}", run_s=1.0, deadline_s=30)
                nursery.start_soon(cluster.call, entries[0], call)
            await sleep(0.2)
            entries[0].config.apply(cluster.removal("minutes"), 0)
        refused = [r for r in cluster.callers if r.outcome == NOT_RUN]
        assert refused
        assert max(r.elapsed_s for r in refused) < 0.5

    run_in_cluster(scenario)


def test_late_arrival_is_not_refused_while_the_first_requests_run() -> None:
    """No request has completed, so no wait in the queue is known.

    The servers hold eight requests of 6 s; more arrive one after the other.
    The burst comes at several phases of the entry's periodic work.
    """

    async def scenario(cluster: Cluster, phase_s: float) -> None:
        for number in range(2):
            await cluster.add_backend(f"b{number}", service_time_s=6.0)
        entry = await cluster.add_entry("e0")
        await cluster.wait_for_health_checks()
        await sleep(phase_s)
        async with open_nursery() as nursery:
            for number in range(12):
                call = team_call("press", f"slow-{number}", deadline_s=20.0)
                call = call._replace(run_s=6.0)
                nursery.start_soon(cluster.call, entry, call)
                await sleep(0.001 if number < 9 else 2.0)
        assert {record.outcome for record in cluster.callers} == {ANSWERED}

    for step in range(5):
        run_in_cluster(partial(scenario, phase_s=step * 0.02), seed=1)


def test_known_latency_keeps_the_estimated_wait_between_completions() -> None:
    """Requests complete in bursts that are seconds apart."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.add_backend("b0", slots=4, service_time_s=4.0)
        entry = await cluster.add_entry("e0")
        await cluster.wait_for_health_checks()
        async with open_nursery() as nursery:
            first = team_call("press", "first", deadline_s=30.0)
            await cluster.call(entry, first)
            for number in range(6):
                call = team_call("press", f"next-{number}", deadline_s=25.0)
                nursery.start_soon(cluster.call, entry, call)
                await sleep(0.01 if number < 4 else 3.5)
        assert {record.outcome for record in cluster.callers} == {ANSWERED}

    run_in_cluster(scenario, seed=1)

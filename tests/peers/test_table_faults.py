"""Test operators racing, lost answers, late answers and forgotten changes."""

from random import Random

from trio import current_time, open_nursery, sleep

from damaskstall.addresses import Address
from damaskstall.errors import (
    PlatformError,
    TableConflictError,
    TableOutcomeUnknownError,
)
from damaskstall.generated.settings import EntrySettings
from damaskstall.peers.config_store import ConfigStore
from damaskstall.peers.follower import ConfigFollower, PeerIdentity
from damaskstall.platform.keys import config_key
from damaskstall.platform.settle import commit_settled
from damaskstall.platform.types import ABSENT, ChangePage, Write
from standins.platform.faults import FaultRule
from standins.platform.memory import MemoryTable, Platform
from tests.peers.cluster import Cluster, cluster, team_value
from tests.virtual_time import run_virtual

NAMES = ("a", "b", "c")
IN_FORCE_LIMIT_S = 3.0
ROUNDS = 30
KEY = config_key("team", "press")


class Accepted:
    """Record the writes that operators were told are accepted."""

    def __init__(self) -> None:
        """Start with none."""
        self.bases: list[int] = []
        self.lost_races = 0
        self.unknown = 0


async def operate(net: Cluster, name: str, accepted: Accepted) -> None:
    """Change one team again and again, as one operator of several."""
    table = MemoryTable(net.platform, name)
    random = Random(name)
    for number in range(ROUNDS):
        await sleep(random.uniform(0, 0.5))
        try:
            row = await table.read(KEY)
            base = row.revision if row else ABSENT
            await sleep(random.uniform(0, 0.5))
            write = Write(KEY, team_value(random.random()), base)
            revision = await commit_settled(table, (write,), f"{name}{number}")
        except TableConflictError:
            accepted.lost_races += 1
        except TableOutcomeUnknownError:
            accepted.unknown += 1
        except PlatformError:
            continue
        else:
            accepted.bases.append(base)
            net.nursery.start_soon(check_in_force, net, revision)


async def check_in_force(net: Cluster, revision: int) -> None:
    """Check after the limit that every process has a write or a later one."""
    await sleep(IN_FORCE_LIMIT_S)
    for process in net.processes.values():
        assert process.store.entries[KEY].revision >= revision


def test_racing_operators_have_one_winner_and_no_write_reverts() -> None:
    async def scenario() -> None:
        accepted = Accepted()
        async with cluster() as net:
            for name in NAMES:
                await net.start(name, NAMES)
            net.platform.faults.rules = (FaultRule(("op",), False, 0, 0.4),)
            async with open_nursery() as operators:
                for name in ("op1", "op2", "op3"):
                    operators.start_soon(operate, net, name, accepted)
            await sleep(IN_FORCE_LIMIT_S + 0.1)
        assert len(accepted.bases) == len(set(accepted.bases))
        assert accepted.bases and accepted.lost_races

    run_virtual(scenario)


class HeldTable(MemoryTable):
    """Read at once and answer late, as a paused process sees it."""

    hold_s = 0.0

    async def changes(
        self, prefix: str, after_revision: int, limit: int
    ) -> ChangePage:
        """Return a page that was read some time ago."""
        page = await super().changes(prefix, after_revision, limit)
        await sleep(self.hold_s)
        return page


def test_paused_process_wakes_with_an_old_age() -> None:
    pause_s = 20.0

    async def scenario() -> None:
        platform = Platform(0)
        table = HeldTable(platform, "a")
        store = ConfigStore()
        async with cluster() as net:
            follower = ConfigFollower(
                net.network.end("a"),
                table,
                store,
                PeerIdentity("a", "fd1", "damaskstall-entry"),
                EntrySettings(instance="a", failure_domain="fd1"),
            )
            await net.nursery.start(follower.run)
            await sleep(3)
            table.hold_s = pause_s
            await sleep(pause_s)
            platform.table.commit(
                (Write(KEY, team_value(1.0), ABSENT),), "m", current_time()
            )
            assert store.age_s(current_time()) >= pause_s - 1.1
            table.hold_s = 0.0
            # The held answer comes now, and is older than the write.
            await sleep(1.5)
            assert store.age_s(current_time()) >= pause_s or KEY in (
                store.entries
            )
            await sleep(IN_FORCE_LIMIT_S)
            assert KEY in store.entries

    run_virtual(scenario)


def test_paused_peer_does_not_pass_itself_off_as_fresh() -> None:
    async def scenario() -> None:
        async with cluster() as net:
            net.cut_from_table("b")
            await net.start("a", ("b",))
            process = await net.start("b", ("a",))
            await sleep(5)
            net.network.freeze("a")
            frozen_s = current_time()
            net.write("team", "press", team_value(1.0))
            await sleep(20)
            assert process.store.age_s(current_time()) >= 20 - 0.1
            assert process.store.confirmed_s <= frozen_s
            net.network.thaw("a")
            await sleep(IN_FORCE_LIMIT_S)
            assert KEY in process.store.entries
            assert process.store.age_s(current_time()) < IN_FORCE_LIMIT_S

    run_virtual(scenario)


def test_forgotten_changes_lead_to_a_full_scan_without_the_deleted() -> None:
    async def scenario() -> None:
        async with cluster() as net:
            net.write("team", "gone", team_value(1.0))
            process = await net.start("a", ())
            await sleep(2)
            net.cut_from_table("a")
            await sleep(1)
            net.write("team", "gone", None)
            for number in range(3):
                net.write("team", f"t{number}", team_value(1.0))
            net.platform.table.forget_changes(1)
            net.cut_from_table()
            await sleep(IN_FORCE_LIMIT_S)
            held = process.store.resources("team")
            assert sorted(held) == ["t0", "t1", "t2"]
            assert process.store.age_s(current_time()) < 2

    run_virtual(scenario)


def test_restarted_process_gets_everything_from_a_peer() -> None:
    async def scenario() -> None:
        async with cluster() as net:
            for number in range(5):
                net.write("team", f"t{number}", team_value(1.0))
            net.write("team", "t0", None)
            await net.start("a", ())
            await sleep(2)
            net.cut_from_table("a", "b")
            process = await net.start("b", ("a",))
            await sleep(IN_FORCE_LIMIT_S)
            held = process.store.resources("team")
            assert sorted(held) == ["t1", "t2", "t3", "t4"]

    run_virtual(scenario)


def test_large_configuration_travels_in_several_frames() -> None:
    async def scenario() -> None:
        async with cluster() as net:
            value = team_value(1.0)
            value["spec"]["padding"] = "x" * 700_000
            for number in range(9):
                net.write("team", f"t{number}", value)
            await net.start("a", ())
            await sleep(2)
            net.cut_from_table("a", "b")
            process = await net.start("b", ("a",))
            await sleep(IN_FORCE_LIMIT_S)
            assert len(process.store.resources("team")) == 9

    run_virtual(scenario)


def test_survey_hears_processes_it_does_not_talk_to() -> None:
    async def scenario() -> None:
        async with cluster() as net:
            names = tuple(f"p{number:02}" for number in range(30))
            for name in names:
                net.address(name)
            for name in names:
                await net.start(name, names)
            await sleep(3)
            follower = net.processes["p00"].follower
            assert len(follower.clients) < len(names) / 2
            rows = await follower.survey()
            assert [row.instance for row in rows] == list(names)
            assert Address("127.0.0.1", 7003) not in follower.clients

    run_virtual(scenario)

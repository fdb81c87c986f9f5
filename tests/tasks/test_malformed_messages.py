"""No message of another process ends this one, whatever it contains.

Each reader gets valid messages in which one value was replaced.
"""

from collections.abc import Callable
from copy import deepcopy
from json import dumps
from pathlib import Path
from tempfile import NamedTemporaryFile
from typing import Any

from hypothesis import example, given
from hypothesis import strategies as st
from pytest import raises
from trio import sleep

from damaskstall.addresses import Address
from damaskstall.errors import (
    DECODE_ERRORS,
    CommandOutcomeUnknownError,
    MachineListUnavailableError,
    MalformedRowError,
    SettingsError,
    TableConflictError,
    TableOutcomeUnknownError,
    TableUnavailableError,
    UnsupportedJobError,
    ValidationError,
)
from damaskstall.generated.messages import TableCall
from damaskstall.http.client import JsonResponse
from damaskstall.network import TcpNetwork
from damaskstall.platform.job_bodies import JobBodyCodec
from damaskstall.platform.local_settings import read_settings
from damaskstall.platform.machine_list import decode_page
from damaskstall.platform.operator_rows import OperatorsPlatform
from damaskstall.platform.row_store import (
    RowStore,
    conflict_error,
    decode_changes,
    decode_revision,
    decode_scan,
)
from damaskstall.platform.types import ABSENT, Row, Write
from damaskstall.platform.worker_client import decode_clock_s, decode_report
from damaskstall.tasks.job_rows import (
    JOB_TABLE,
    PROGRESS_TABLE,
    decode_job,
    encode_job,
    encode_progress,
    job_row_key,
    progress_row_key,
)
from damaskstall.tasks.job_validation import check_declaration
from damaskstall.tasks.peer_table import (
    decode_changes as decode_peer_changes,
)
from damaskstall.tasks.peer_table import decode_scan as decode_peer_scan
from damaskstall.tasks.peer_table import perform_call
from damaskstall.tasks.ports import ConfigurationReport
from damaskstall.tasks.supervision import RESTART_DELAY_S, restart_on_error
from tests.failures import expects_failures
from tests.tasks.cluster import Cluster, configuration, run_scenario
from tests.tasks.fleet import URGENT, Fleet
from tests.tasks.job_specs import ONE_TASK, job_id
from tests.virtual_time import run_virtual

VALUES: st.SearchStrategy[Any] = (
    st.none()
    | st.booleans()
    | st.integers(-2, 2)
    | st.just(10**400)
    | st.floats()
    | st.text(max_size=4)
    | st.just([])
    | st.just({})
    | st.just([1])
    | st.just({"a": 1})
)
PLACES = st.lists(st.integers(0, 7), max_size=6)
TASK = "00000000000000aa.0.0.1"


def with_replacement(message: Any, place: list[int], value: Any) -> Any:
    """Return a copy of a message with the value at a place replaced."""
    if not place or not isinstance(message, (dict, list)) or not message:
        return value
    changed = deepcopy(message)
    keys = (
        sorted(message) if isinstance(message, dict) else range(len(message))
    )
    key = list(keys)[place[0] % len(message)]
    changed[key] = with_replacement(message[key], place[1:], value)
    return changed


REPORT = {
    "clock_ms": 1000,
    "born": 5,
    "running": [[TASK, 2, "checkpoint", 41]],
    "ended": [[58, TASK, 1, "done", ""]],
}


@given(PLACES, VALUES)
@example([2, 0, 0], 1)
@example([3, 0, 0], "5")
@example([1], float("nan"))
def test_worker_report(place: list[int], value: Any) -> None:
    message = with_replacement(REPORT, place, value)
    try:
        report = decode_report(message)
    except CommandOutcomeUnknownError:
        return
    assert isinstance(report.clock_s, float)
    assert all(isinstance(run.percent, float) for run in report.running)
    assert all(isinstance(end.number, int) for end in report.ended)


@given(VALUES)
def test_worker_answer_to_a_start(value: Any) -> None:
    for message in (value, {"clock_ms": value}):
        try:
            assert isinstance(decode_clock_s(message), float)
        except CommandOutcomeUnknownError:
            pass


PAGE = {
    "rows": [
        {
            "table": "op",
            "part": "",
            "key": "config",
            "value": "e30=",
            "version_number": 7,
        }
    ],
    "more_pages": True,
    "version_number": 9,
}


@given(PLACES, VALUES)
def test_store_answer(place: list[int], value: Any) -> None:
    message = with_replacement(PAGE, place, value)
    for decode in (decode_scan, decode_changes):
        try:
            rows = decode(message).rows
        except TableUnavailableError:
            continue
        assert all(isinstance(row.revision, int) for row in rows)
    write = Write("progress@00/x", {}, ABSENT)
    errors = (TableConflictError, TableOutcomeUnknownError)
    try:
        error = conflict_error(JsonResponse(412, {}, message), (write,))
    except TableOutcomeUnknownError as unknown:
        assert isinstance(unknown, errors)
    else:
        assert isinstance(error, TableConflictError)
    try:
        assert isinstance(decode_revision(message), int)
    except TableOutcomeUnknownError:
        pass


@given(PLACES, VALUES)
def test_list_of_machines(place: list[int], value: Any) -> None:
    page = {
        "machines": [{"machine": "m1", "state": "up", "identifier": "w1"}],
        "next_page_token": "",
    }
    message = with_replacement(page, place, value)
    try:
        decode_page(message)
    except (*DECODE_ERRORS, MachineListUnavailableError):
        # The caller turns these into MachineListUnavailableError.
        pass


WORKER = {
    "service": "svc",
    "address": "10.0.0.1:80",
    "zone": "fd0",
    "state": "draining",
    "remaining_ms": 500,
    "born": 1,
    "capacity": {"cpu": 64000, "task_memory_mb": 1000, "gpus": 8},
    "labels": ["a", "r1-0"],
}


UNUSED_ADDRESS = Address("10.0.0.9", 1)


def operators_platform() -> OperatorsPlatform:
    """Return an adapter that calls nothing."""
    return OperatorsPlatform(TcpNetwork(), UNUSED_ADDRESS, None)


@given(PLACES, VALUES)
@example([0], 5)
def test_worker_entry(place: list[int], value: Any) -> None:
    platform = operators_platform()
    state = platform.desired_state(Row("op/config", 1, "", configuration(1)))
    message = with_replacement(WORKER, place, value)
    try:
        platform.worker(Row("servers/w1", 1, "", message), state)
    except MalformedRowError:
        pass


@given(PLACES, VALUES)
@example([3, 0], "x")
def test_configuration_row(place: list[int], value: Any) -> None:
    message = with_replacement(configuration(1), place, value)
    try:
        operators_platform().desired_state(Row("op/config", 1, "", message))
    except MalformedRowError:
        pass


BODY = {
    "specification": "text",
    "repetitions": 2,
    "first_run_ms": 5,
    "interval_ms": 5,
    "steps": [
        {"count": 2, "cpu": 500, "task_memory_mb": 256, "gpus": 1},
        {
            "count": 3,
            "cpu": 2000,
            "estimate_ms": 7000,
            "after": [0],
            "gang": True,
            "same_rack": True,
            "anti_affinity": 1,
        },
    ],
}


@given(PLACES, VALUES)
def test_submitted_job_is_decided_on_or_refused(
    place: list[int], value: Any
) -> None:
    """A job that is accepted harms no decision and can be stored."""
    message = with_replacement(BODY, place, value)
    fleet = Fleet(racks=2, per_rack=2)
    try:
        body = dumps(message).encode()
        declaration = JobBodyCodec().declaration(body)
        check_declaration(declaration)
    except (ValidationError, UnsupportedJobError):
        return
    progress = fleet.add(URGENT, *declaration.steps)
    fleet.add(URGENT, *declaration.steps)
    fleet.decide_and_apply()
    stored = encode_job(progress.job)
    assert decode_job(progress.job_id, stored) == progress.job
    encode_progress(progress)


@given(PLACES, VALUES)
def test_peer_messages(place: list[int], value: Any) -> None:
    page = [[["op/config", 7, "id", {"version": 1}]], "", 9]
    message = with_replacement(page, place, value)
    decoders: tuple[Callable[[Any], object], ...] = (
        decode_peer_scan,
        decode_peer_changes,
    )
    for decode in decoders:
        try:
            decode(message)
        except DECODE_ERRORS:
            # The caller turns these into the error of a lost reply.
            pass


class CandidateStore(RowStore):
    """A store as an instance offers it to its peers."""

    async def can_hold_lease(self) -> bool:
        """Return that the instance competes for the lease."""
        return True

    async def configuration(
        self, row_revision: int, max_age_s: float
    ) -> ConfigurationReport:
        """Return a report without a row."""
        return ConfigurationReport(max_age_s, row_revision, None, ())


OPERATIONS = [
    "read",
    "scan",
    "watch",
    "commit",
    "can_hold_lease",
    "configuration",
    "",
]


@given(st.sampled_from(OPERATIONS), VALUES)
def test_peer_call(operation: str, value: Any) -> None:
    async def main() -> None:
        table = CandidateStore(TcpNetwork(), UNUSED_ADDRESS)
        arguments = {"key": value, "writes": value, "mutation_id": value}
        for each in (value, arguments):
            call = TableCall(operation, dumps(each).encode())
            await perform_call(table, call)

    run_virtual(main)


SETTINGS = {
    "node_name": "n0",
    "zone": "fd0",
    "ip_address": "10.0.0.1",
    "listen_addresses": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2"},
    "internal_port_range": [3, 4],
    "platform": {"address": "10.0.0.2:5"},
    "cloud_api": {"address": "10.0.0.2:6"},
    "limits": {"cpu": 1.0},
    "bounds": {
        "grace_s": 6,
        "revoke_ms": 5000,
        "hold_maximum_ms": 10000,
        "status_s": 120,
    },
}


@given(PLACES, VALUES)
@example([4, 0], 5)
@example([3], "x")
def test_settings_file(place: list[int], value: Any) -> None:
    """A file that is read while it is written may contain anything."""
    message = with_replacement(SETTINGS, place, value)
    with NamedTemporaryFile("w", suffix=".json") as file:
        file.write(dumps(message))
        file.flush()
        try:
            read_settings(file.name)
        except SettingsError:
            pass


def test_settings_of_the_fuzzer_are_valid(tmp_path: Path) -> None:
    path = tmp_path / "settings.json"
    path.write_text(dumps(SETTINGS))
    assert read_settings(str(path)).instance == "n0"
    path.write_text(dumps(SETTINGS)[:40])
    with raises(SettingsError):
        read_settings(str(path))


def test_unreadable_job_does_not_keep_the_others_from_running() -> None:
    """A job's rows that a later version wrote are left alone."""

    async def scenario(cluster: Cluster) -> None:
        for number, key in ((7, job_row_key), (8, progress_row_key)):
            location = key(job_id(number)).partition("/")
            table, _, part = location[0].partition("@")
            for name in {table, JOB_TABLE, PROGRESS_TABLE}:
                value = {"id": "x", "value": {"steps": 5, "state": "odd"}}
                cluster.store.put(name, job_id(number), value, part)
        holder = cluster.holder()
        assert holder is not None
        await cluster.submit(job_id(1), [ONE_TASK], work_s=1.0)
        cluster.kill_node(holder)
        await cluster.wait(lambda: cluster.holder() is not None)
        node = cluster.holder()
        assert node is not None
        await cluster.wait_state(job_id(1), "completed", node=node)

    run_scenario(scenario)


@expects_failures
def test_background_task_starts_again_after_an_unexpected_error() -> None:
    calls: list[int] = []

    async def task() -> None:
        calls.append(1)
        await sleep(0)
        if len(calls) < 3:
            raise RuntimeError("unexpected")

    async def main() -> None:
        await restart_on_error("test", task)

    assert RESTART_DELAY_S > 0
    run_virtual(main)
    assert len(calls) == 3

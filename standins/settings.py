"""Settings of the programs, generated from the schema."""

from typing import NamedTuple

from damaskstall.setting_fields import ProgramFields, SettingField


class PlatformStandinSettings(NamedTuple):
    """Settings of platform-standin."""

    listen: str = "127.0.0.1:0"
    seed: int = 1
    list_lag_s: float = 2.0
    operations_per_s: float = 2000.0


PLATFORM_STANDIN_SETTINGS = ProgramFields(
    "platform-standin",
    (
        SettingField(
            "listen",
            str,
            "127.0.0.1:0",
            "host:port",
            None,
            None,
            "listening address of the platform's services",
        ),
        SettingField(
            "seed",
            int,
            1,
            "",
            0.0,
            1000000000.0,
            "random seed of the injected faults",
        ),
        SettingField(
            "list_lag_s",
            float,
            2.0,
            "s",
            0.0,
            600.0,
            "time by which the instance list lags behind the real state",
        ),
        SettingField(
            "operations_per_s",
            float,
            2000.0,
            "reads/s",
            1.0,
            1000000.0,
            "reads per second that the table serves; a write costs five reads",
        ),
    ),
)


class WorkerStandinSettings(NamedTuple):
    """Settings of worker-standin."""

    listen: str = "127.0.0.1:0"
    name: str = ""
    accelerators: int = 8
    platform: str = ""
    time_scale: float = 1.0
    seed: int = 1
    workers: int = 1


WORKER_STANDIN_SETTINGS = ProgramFields(
    "worker-standin",
    (
        SettingField(
            "listen",
            str,
            "127.0.0.1:0",
            "host:port",
            None,
            None,
            "listening address of the worker",
        ),
        SettingField("name", str, "", "", None, None, "name of the worker"),
        SettingField(
            "accelerators",
            int,
            8,
            "accelerators",
            1.0,
            64.0,
            "number of the worker's accelerators",
        ),
        SettingField(
            "platform",
            str,
            "",
            "host:port",
            None,
            None,
            "address of the object store",
        ),
        SettingField(
            "time_scale",
            float,
            1.0,
            "ratio",
            0.0001,
            1000.0,
            "factor by which the run time of tasks is multiplied",
        ),
        SettingField(
            "seed",
            int,
            1,
            "",
            0.0,
            1000000000.0,
            "random seed of the injected faults",
        ),
        SettingField(
            "workers",
            int,
            1,
            "workers",
            1.0,
            4096.0,
            "number of workers that run in this process, on consecutive ports",
        ),
    ),
)


class BackendStandinSettings(NamedTuple):
    """Settings of backend-standin."""

    listen: str = "127.0.0.1:0"
    name: str = ""
    slots: int = 8
    connection_limit: int = 64
    service_time_s: float = 0.05
    platform: str = ""
    seed: int = 1
    queue_limit: int = 4
    failure_domain: str = ""


BACKEND_STANDIN_SETTINGS = ProgramFields(
    "backend-standin",
    (
        SettingField(
            "listen",
            str,
            "127.0.0.1:0",
            "host:port",
            None,
            None,
            "listening address of the server",
        ),
        SettingField("name", str, "", "", None, None, "name of the server"),
        SettingField(
            "slots",
            int,
            8,
            "requests",
            1.0,
            1024.0,
            "largest number of requests that run at once",
        ),
        SettingField(
            "connection_limit",
            int,
            64,
            "connections",
            1.0,
            4096.0,
            "largest number of open connections",
        ),
        SettingField(
            "service_time_s",
            float,
            0.05,
            "s",
            0.0,
            600.0,
            "mean run time of a request that specifies none",
        ),
        SettingField(
            "platform",
            str,
            "",
            "host:port",
            None,
            None,
            "address of the instance list",
        ),
        SettingField(
            "seed",
            int,
            1,
            "",
            0.0,
            1000000000.0,
            "random seed of the injected faults",
        ),
        SettingField(
            "queue_limit",
            int,
            4,
            "requests",
            0.0,
            4096.0,
            "largest number of requests in the queue; more are refused",
        ),
        SettingField(
            "failure_domain",
            str,
            "",
            "",
            None,
            None,
            "failure domain of the server in the instance list",
        ),
    ),
)

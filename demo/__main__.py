"""Run the demonstration: ``python -m demo [--keep] [--logs=DIRECTORY]``."""

from pathlib import Path
from sys import argv, exit
from tempfile import TemporaryDirectory

from trio import run

from damaskstall.program import stop_signal
from demo.cluster import ClusterSize, start_cluster
from demo.processes import Processes
from demo.walkthrough import Walkthrough

KEEP_FLAG = "--keep"
LOGS_FLAG = "--logs="
SUCCEEDED = 0
FAILED = 1
INTERRUPTED = 130


async def demonstrate(log_directory: Path, keep: bool) -> int:
    """Run the demonstration in real processes; return the exit code."""
    processes = Processes(log_directory)
    try:
        print("Starting the stand-ins and the product ...", flush=True)
        cluster = await start_cluster(
            processes, ClusterSize(entry_settings={"drain_notice_s": 1})
        )
        walkthrough = Walkthrough(cluster)
        violations = await walkthrough.execute()
        if keep:
            await wait_for_signal(walkthrough)
    finally:
        codes = await processes.stop_all()
    failed = {name: code for name, code in codes.items() if code}
    if failed:
        violations.append(
            f"Processes did not stop gracefully; exit codes: {failed}."
        )
    print("\nSummary")
    for sentence in violations or ["Every checked guarantee held."]:
        print(f"  {sentence}")
    return FAILED if violations else SUCCEEDED


async def wait_for_signal(walkthrough: Walkthrough) -> None:
    """Print the operator address; wait for a signal to stop."""
    print(f"\nThe cluster still runs. Operator address: {walkthrough.server}")
    print("Press Ctrl-C to stop all processes.", flush=True)
    async with stop_signal() as stop:
        await stop.wait()


def main() -> None:
    """Run the demonstration; exit with its code."""
    keep = KEEP_FLAG in argv[1:]
    with TemporaryDirectory(prefix="damaskstall-demo-") as temporary:
        directory = log_directory(argv[1:], Path(temporary))
        code = INTERRUPTED
        try:
            code = run(demonstrate, directory, keep)
        except* KeyboardInterrupt:
            print("\nInterrupted: every process was stopped.")
        exit(code)


def log_directory(arguments: list[str], temporary: Path) -> Path:
    """Return the directory of ``--logs``, or else the temporary one."""
    for argument in arguments:
        if argument.startswith(LOGS_FLAG):
            directory = Path(argument.removeprefix(LOGS_FLAG))
            directory.mkdir(parents=True, exist_ok=True)
            return directory
    return temporary


if __name__ == "__main__":
    main()

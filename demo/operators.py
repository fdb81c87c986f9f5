"""Call the product from outside, as an operator and as a client."""

from pathlib import Path
from sys import executable
from typing import Any

from trio import run_process

from damaskstall.addresses import Address
from damaskstall.http.client import HttpClient
from damaskstall.network import TcpNetwork

CALL_TIMEOUT_S = 20
PAGE_LIMIT = 500


class CommandError(Exception):
    """A command of damaskstallctl failed."""


async def damaskstallctl(server: Address, *arguments: str) -> str:
    """Run one command of damaskstallctl; return its standard output.

    Raises CommandError when its exit code is not 0.
    """
    command = [executable, "-m", "damaskstall.cli.main", *arguments]
    done = await run_process(
        [*command, f"--server={server}"],
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    if done.returncode:
        text = (done.stdout + done.stderr).decode()
        raise CommandError(f"{' '.join(arguments)} failed: {text}")
    return done.stdout.decode()


async def apply(server: Address, path: Path) -> None:
    """Declare every resource of a file with ``damaskstallctl apply``."""
    await damaskstallctl(server, "apply", str(path))


async def read_json(address: Address, target: str) -> Any:
    """Send a GET request to an address; return the JSON of the response."""
    async with HttpClient(TcpNetwork(), address, CALL_TIMEOUT_S) as client:
        return (await client.call_json("GET", target)).value


async def read_jobs(server: Address) -> list[dict[str, Any]]:
    """Return all jobs, sorted by name; read page by page."""
    jobs: list[dict[str, Any]] = []
    after = ""
    while True:
        target = f"/v1/resources/job?limit={PAGE_LIMIT}&continue={after}"
        page = await read_json(server, target)
        jobs.extend(page["items"])
        after = page["continue"]
        if not after:
            return jobs


async def send_request(
    entry: Address, service: str, team: str, body: bytes, key: str
) -> tuple[int, bytes]:
    """Send one client's request; return the status and the body.

    An empty key sends no idempotency key.
    """
    headers = [("damaskstall-team", team)]
    if key:
        headers.append(("idempotency-key", key))
    async with HttpClient(TcpNetwork(), entry, CALL_TIMEOUT_S) as client:
        head, answer = await client.call(
            "POST", f"/v1/requests/{service}", body, tuple(headers)
        )
    return head.status, answer

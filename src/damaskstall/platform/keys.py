"""Build the keys of rows in the table service."""

CONFIG_PREFIX = "config/"
JOB_PREFIX = "job/"
CELL_PREFIX = "cell/"
QUARANTINE_PREFIX = "quarantine/"
IDEMPOTENCY_PREFIX = "idempotency/"
# Rows whose revision increases with operators' writes; see
# resources/guards.py.
GUARD_KEY = "guard/config"
GUARD_PREFIX = "guard/"


def config_key(kind: str, name: str) -> str:
    """Return the key of a team, failure domain or backend service."""
    return f"{CONFIG_PREFIX}{kind}/{name}"


def split_config_key(key: str) -> tuple[str, str]:
    """Return the kind and the name in a configuration key."""
    kind, _, name = key.removeprefix(CONFIG_PREFIX).partition("/")
    return kind, name


def job_key(name: str) -> str:
    """Return the key of a job."""
    return f"{JOB_PREFIX}{name}"


def cell_key(cell: str) -> str:
    """Return the key of a cell's lease."""
    return f"{CELL_PREFIX}{cell}"


def quarantine_key(worker: str) -> str:
    """Return the key of a worker's quarantine."""
    return f"{QUARANTINE_PREFIX}{worker}"


def idempotency_key(service: str, team: str, key: str) -> str:
    """Return the key of the claim of a request's idempotency key."""
    return f"{IDEMPOTENCY_PREFIX}{service}/{team}/{key}"


def bucket_guard_key(kind: str, bucket: int) -> str:
    """Return the key of the guard row of a bucket of resources."""
    return f"{GUARD_PREFIX}{kind}/{bucket}"

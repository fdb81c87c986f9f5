"""Encode and decode the configuration frames that peers exchange."""

from collections.abc import Iterator
from json import dumps, loads

from damaskstall.errors import FrameError
from damaskstall.generated.messages import ConfigDelta, ConfigRow
from damaskstall.peers.config_store import NEVER, ConfigStore
from damaskstall.platform.types import ChangePage, Row

DELTA_LIMIT_BYTES = 1024 * 1024
NEVER_AGE_S = -1.0


def reported_age_s(store: ConfigStore, now_s: float) -> float:
    """Return the age to send, in seconds; negative means never confirmed."""
    if store.confirmed_s == NEVER:
        return NEVER_AGE_S
    return store.age_s(now_s)


def confirmed_time(sent_s: float, age_s: float) -> float:
    """Return when a peer's answer was current, on the local clock."""
    return NEVER if age_s < 0 else sent_s - age_s


def answer_pull(
    store: ConfigStore, after_revision: int, now_s: float
) -> tuple[ConfigDelta, ...]:
    """Return the frames that update a peer from a revision.

    A peer that may have missed a discarded tombstone gets a snapshot.
    """
    snapshot = after_revision < store.tombstone_floor
    found = store.live_rows() if snapshot else store.rows_after(after_revision)
    parts = list(split_rows(found))
    last = len(parts) - 1
    return tuple(
        ConfigDelta(
            revision=store.revision,
            confirmed_age_s=reported_age_s(store, now_s),
            rows=rows,
            after_revision=after_revision,
            snapshot=snapshot,
            more=index < last,
        )
        for index, rows in enumerate(parts)
    )


def split_rows(rows: tuple[Row, ...]) -> Iterator[tuple[ConfigRow, ...]]:
    """Yield rows in parts that fit a frame; one empty part for no rows."""
    part: list[ConfigRow] = []
    size_bytes = 0
    for row in rows:
        encoded = encode_row(row)
        size_bytes += len(encoded.value)
        if part and size_bytes > DELTA_LIMIT_BYTES:
            yield tuple(part)
            part = []
            size_bytes = len(encoded.value)
        part.append(encoded)
    yield tuple(part)


def encode_row(row: Row) -> ConfigRow:
    """Return a row's encoding for a frame."""
    if row.value is None:
        return ConfigRow(row.key, row.revision, b"")
    text = dumps(row.value, separators=(",", ":"))
    return ConfigRow(row.key, row.revision, text.encode())


def decode_row(row: ConfigRow) -> Row:
    """Return a row received in a frame; raise FrameError if malformed."""
    if not row.value:
        return Row(row.key, row.revision, "", None)
    try:
        value = loads(row.value)
    except (ValueError, RecursionError) as error:
        raise FrameError(
            f"The value of the row {row.key!r} is not JSON."
        ) from error
    if not isinstance(value, dict) or not isinstance(value.get("spec"), dict):
        raise FrameError(f"The value of the row {row.key!r} has no spec.")
    return Row(row.key, row.revision, "", value)


def apply_answer(
    store: ConfigStore, parts: tuple[ConfigDelta, ...], sent_s: float
) -> bool:
    """Apply a complete answer; return False if the store refuses it."""
    last = parts[-1]
    rows = tuple(decode_row(row) for part in parts for row in part.rows)
    confirmed_s = confirmed_time(sent_s, last.confirmed_age_s)
    if last.snapshot:
        return store.apply_snapshot(rows, last.revision, confirmed_s)
    complete = confirmed_s != NEVER
    if last.revision < last.after_revision:
        # The peer is behind, but still confirms what is known here.
        store.confirm(last.revision, confirmed_s)
        return False
    page = ChangePage(rows, last.revision, complete)
    return store.apply(page, confirmed_s, last.after_revision)

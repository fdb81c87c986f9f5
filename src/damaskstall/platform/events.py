"""Define the log events of the platform's adapters, with their numbers."""

from damaskstall.events import Event

ROW_UNREADABLE = Event(
    7000,
    "WARNING",
    "row_unreadable",
    "A row of the store cannot be decoded: it counts as absent, one of "
    "another writer as empty.",
)

"""Make every test run repeatable."""

from hypothesis import settings

settings.register_profile(
    "repeatable", derandomize=True, deadline=None, database=None
)
settings.load_profile("repeatable")

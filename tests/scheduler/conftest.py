"""Keep the scheduler's log out of the tests' output."""

from loguru import logger

logger.disable("damaskstall")

"""Run one measurement in a process of its own and print its values."""

from json import dumps
from sys import argv

from loguru import logger
from trio import run

from bench.capacity.catalogue import MEASUREMENTS


def main() -> None:
    """Measure what the arguments name, at the size they name."""
    logger.remove()
    name, size = argv[1], int(argv[2])
    print(dumps(run(MEASUREMENTS[name].run, size)))


if __name__ == "__main__":
    main()

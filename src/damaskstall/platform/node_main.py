"""Start a node on the operators' platform.

The imports of the program take tenths of a second. SIGHUP, whose default
action ends a process, may arrive in that time, so it is ignored from the start
until the settings are read: a reload has nothing to do before.
"""

from signal import SIG_IGN, SIGHUP, signal


def main() -> None:
    """Ignore early reloads, then import and run the program."""
    signal(SIGHUP, SIG_IGN)
    from damaskstall.platform.node_program import run_program

    run_program()


if __name__ == "__main__":
    main()

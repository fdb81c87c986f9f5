"""Read the labels of workers and machines."""

# A label that begins with this prefix and contains a hyphen names a worker's
# rack; any other label names its kind.
RACK_LABEL_PREFIX = "r"


def rack_of(labels: frozenset[str]) -> str:
    """Return the rack among a worker's labels, or "" if there is none."""
    racks = [
        label
        for label in sorted(labels)
        if label.startswith(RACK_LABEL_PREFIX) and "-" in label
    ]
    return racks[0] if racks else ""

"""Stand-in for workers with task leases and faults on request."""

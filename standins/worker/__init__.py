"""Stand in for workers: leases, gangs of tasks, faults on request."""

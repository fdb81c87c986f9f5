"""Hold cell leases, place jobs and run them on workers."""

"""Exchange configuration and liveness with other processes."""

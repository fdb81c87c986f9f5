"""Exchange configuration and heartbeats with peer processes."""

"""A stand-in for the platform: table, object store and instance list."""

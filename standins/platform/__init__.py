"""Stand in for the platform: table, object store, instance list."""

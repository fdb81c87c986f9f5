"""Stand-ins for the external systems in tests and demonstrations."""

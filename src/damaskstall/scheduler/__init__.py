"""Hold cells, drive workers and see jobs through."""

"""Hold the project's development tools."""

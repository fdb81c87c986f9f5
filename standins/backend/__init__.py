"""A stand-in for a backend server that answers callers' requests."""

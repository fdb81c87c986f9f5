"""Decide which job runs where."""

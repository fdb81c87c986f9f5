"""Serve callers and operators at the front door."""

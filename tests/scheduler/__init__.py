"""Test the scheduler with the real worker stand-in."""

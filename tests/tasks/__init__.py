"""Test jobs of steps of tasks on a stand-in of the platform."""

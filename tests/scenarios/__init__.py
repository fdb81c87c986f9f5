"""Run scripted scenarios over the real processes' code."""

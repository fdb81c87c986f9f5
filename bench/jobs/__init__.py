"""Measure the decisions over whole streams of jobs, under a fake clock."""

"""Measure what each role costs and work it out for the target."""

"""Measure the request side of entries against a plain baseline."""

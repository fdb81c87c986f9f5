"""Test the entries' request side by its behaviour."""

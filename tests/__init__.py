"""Test damaskstall by its behaviour."""

"""Test the resource interface and its command line."""

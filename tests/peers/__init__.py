"""Test the exchange between processes."""

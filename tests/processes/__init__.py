"""Test real processes under real signals."""

"""Measure the product against baselines."""

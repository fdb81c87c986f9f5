"""Demonstration with the product and the stand-ins as real processes."""

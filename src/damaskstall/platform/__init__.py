"""Reach the platform's services behind small protocols."""

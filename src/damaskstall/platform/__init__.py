"""Adapt the platform's services to the interfaces of this program."""

"""Declare, validate, store and watch resources."""

"""Test where jobs start and which must leave."""

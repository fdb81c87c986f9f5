"""Implement HTTP/1.1 clients and servers over trio streams with h11."""

"""Speak HTTP/1.1 over trio streams through h11, on both sides."""

"""The entry process: the HTTP front end for callers and operators."""

"""Stand in for the operators' platform, in one process and virtual time.

Written to the published protocol: a store of rows in parts with a feed, and
workers that run tasks under leases, fencing tokens and numbered ends.
"""

"""Stand in for the operators' platform, in one process and virtual time.

The stand-in follows the published protocol: a store with partitioned rows and
a change feed, and workers that run tasks under leases, accept fencing tokens
and report numbered outcomes.
"""

"""Times that bind every VM, and what operators are told of acceptance."""

# Oldest knowledge with which a node admits, dispatches or spends, seconds.
MAX_AGE = 4.0

# After this time from acceptance every VM has a change or has stopped,
# seconds; above MAX_AGE by what a check may be early or late.
SETTLE_TIME = 5.0

"""Times that bind every VM, and what operators are told of acceptance."""

# Oldest knowledge with which a node admits, dispatches or spends, seconds.
MAX_AGE_SECONDS = 4.0

# After this time from acceptance every VM has a change or has stopped,
# seconds; above MAX_AGE_SECONDS by what a check may be early or late.
PROPAGATION_SECONDS = 5.0

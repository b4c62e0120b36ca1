"""Limits on the age of the configuration that VMs act on."""

# A node admits, dispatches and spends tokens only while it has confirmed its
# configuration within this time.
MAX_AGE_SECONDS = 4.0

# Within this time after its acceptance, every VM has applied a change or
# stopped serving. Exceeds MAX_AGE_SECONDS by the time by which a check may be
# early or late.
PROPAGATION_SECONDS = 5.0

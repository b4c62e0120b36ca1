"""The demonstration: every part a process of its own on loopback."""

"""Schemas of the messages between nodes, loaded by pycapnp."""

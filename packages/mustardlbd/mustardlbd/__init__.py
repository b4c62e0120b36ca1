"""The node daemon of mustardlb, which accepts client requests."""

from mustardlbd._app import main

__all__ = ['main']

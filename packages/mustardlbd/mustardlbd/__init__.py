"""The entry node of mustardlb."""

from mustardlbd._app import main

__all__ = ['main']

"""Command line for operators of mustardlb."""

from mustardlb_cli import _main

main = _main.main
